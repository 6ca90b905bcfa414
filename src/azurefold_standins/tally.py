"""Compares what callers got with what the endpoints say they ran."""

import json
from collections import Counter
from dataclasses import dataclass, field

from azurefold.core.attempts.ids import parse_answer_id
from azurefold_standins.callers import Outcome, Request
from azurefold_standins.operator import fetch
from azurefold_standins.site import Site
from azurefold_standins.text import confirmation

__all__ = ["Tally", "tally"]

_RESULTS = ("answered", "refused", "unknown")


@dataclass(slots=True)
class Tally:
    """Counts over all requests.

    Parameters
    ----------
    sent, answered, refused, unknown : int
    wrong : int
        Answers that differ from what the endpoint produced.
    lost : int
        Requests without any final answer, and those that were refused as not
        run though they ran.
    doubled : int
        Bookings that ran more than once.
    details : list of str
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: int = 0
    lost: int = 0
    doubled: int = 0
    details: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether every caller was served truthfully."""
        accounted = self.answered + self.refused + self.unknown
        faults = self.wrong + self.lost + self.doubled
        return faults == 0 and self.sent == accounted

    def line(self) -> str:
        """Return the one line that sums it up."""
        return (
            f"demo: sent={self.sent} answered={self.answered} "
            f"refused={self.refused} unknown={self.unknown} "
            f"wrong={self.wrong} lost={self.lost} doubled={self.doubled}"
        )


def tally(site: Site, requests: list[Request], outcomes: list[Outcome]) -> Tally:
    """Count outcomes against the journals of the endpoints."""
    booked = _bookings(site)
    counted = Tally(sent=len(requests))
    for request, outcome in zip(requests, outcomes, strict=True):
        if outcome is None or outcome.result not in _RESULTS:
            counted.lost += 1
            continue
        setattr(counted, outcome.result, getattr(counted, outcome.result) + 1)
        if request.kind == "booking":
            _count_booking(counted, request, outcome, booked[request.body])
        else:
            _count_draft(counted, site, request, outcome)
    return counted


def _count_booking(
    counted: Tally, request: Request, outcome: Outcome, runs: int
) -> None:
    if runs > 1:
        counted.doubled += 1
        counted.details.append(f"ran {runs} times: {request.body}")
    if outcome.result == "answered":
        expected = {"confirmed": confirmation(request.body.encode())}
        if runs == 0 or json.loads(outcome.text) != expected:
            counted.wrong += 1
            counted.details.append(f"wrong answer to {request.body}")
    elif outcome.result == "refused" and runs:
        counted.lost += 1
        counted.details.append(f"refused as not run, but ran: {request.body}")


def _count_draft(
    counted: Tally, site: Site, request: Request, outcome: Outcome
) -> None:
    if outcome.result != "answered":
        return
    produced = _produced(site, outcome.answer_id)
    if outcome.text != produced:
        counted.wrong += 1
        counted.details.append(f"wrong answer to {request.prompt!r}")


def _bookings(site: Site) -> Counter:
    counted: Counter = Counter()
    for endpoint in site.layout.endpoints:
        if endpoint.group is None:
            page = fetch(site.address(f"engine-{endpoint.name}", "http"), "/journal")
            counted.update(json.loads(page.body))
    return counted


def _produced(site: Site, answer_id: str) -> str:
    """Return the whole text that the engine has under an answer's id."""
    answer = parse_answer_id(answer_id)
    address = site.address(f"engine-{answer.endpoint}", "http")
    page = fetch(address, f"/v1/streams/{answer.attempt_id}?from=0")
    text = ""
    for line in page.body.decode().splitlines():
        if line.startswith("data: "):
            text += json.loads(line.removeprefix("data: ")).get("text", "")
    return text
