"""Callers as they should be written: they resume, repeat keys, and come back."""

import itertools
import json
import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import gevent

from azurefold_standins.client import Answer, Client, StreamEvent

__all__ = ["Caller", "Outcome", "Request", "read_requests"]

_TRIES = 12
_PAUSE_S = 0.3
_LONGEST_PAUSE_S = 3.0


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Parameters
    ----------
    kind : str
        ``"draft"`` or ``"booking"``.
    organisation : str
    prompt : str
    max_tokens : int
    key : str
    body : str
        JSON of a booking.
    """

    kind: str
    organisation: str
    prompt: str = ""
    max_tokens: int = 0
    key: str = ""
    body: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller has in the end.

    Parameters
    ----------
    result : str
        ``answered``, ``refused`` or ``unknown``.
    text : str
    answer_id : str
    tries : int
    """

    result: str
    text: str = ""
    answer_id: str = ""
    tries: int = 1


def read_requests(path: Path, rounds: int) -> list[Request]:
    """Read the prompts, the same ones each round but with keys of their own."""
    lines = [json.loads(line) for line in path.read_text("utf-8").splitlines()]
    pairs = itertools.product(range(rounds), lines)
    return [_request(number, line) for number, line in pairs]


def _request(number: int, line: dict) -> Request:
    if line["kind"] == "draft":
        return Request(
            "draft", line["organisation"], line["prompt"], line["max_tokens"]
        )
    body = json.dumps({**line["body"], "round": number})
    key = f"{line['key']}-{number}"
    return Request("booking", line["organisation"], key=key, body=body)


@dataclass(slots=True)
class Caller:
    """Sends requests to any of several entries.

    Parameters
    ----------
    entries : list of str
        Addresses, as a balancer in front would know them.
    """

    entries: list[str]

    def send(self, number: int, request: Request) -> Outcome:
        """Send one request until it has a final answer."""
        draw = random.Random(number)
        if request.kind == "booking":
            return self._book(draw, request)
        return self._draft(draw, request)

    def _client(self, draw: random.Random, request: Request) -> Client:
        return Client(draw.choice(self.entries), request.organisation)

    def _book(self, draw: random.Random, request: Request) -> Outcome:
        last = "unknown"
        for tries in range(1, _TRIES + 1):
            answer = self._client(draw, request).post(
                "/services/bookings/book",
                request.body.encode(),
                Idempotency_Key=request.key,
            )
            if answer.status == 200:
                answer_id = answer.headers.get("azurefold-answer-id", "")
                return Outcome("answered", answer.body.decode(), answer_id, tries)
            # A broken connection leaves it open whether the booking was made.
            # The key makes asking again safe, at any entry.
            last = _last_word(last, answer)
            gevent.sleep(_pause(answer))
        return Outcome(last, tries=_TRIES)

    def _draft(self, draw: random.Random, request: Request) -> Outcome:
        text, event_id = "", ""
        for tries in range(1, _TRIES + 1):
            client = self._client(draw, request)
            for event in self._events(client, request, event_id):
                if event.kind == "done":
                    return Outcome("answered", text, event_id, tries)
                if event.kind == "text":
                    text += event.text
                event_id = event.event_id or event_id
            if not text:
                event_id = ""
            gevent.sleep(_PAUSE_S)
        return Outcome("unknown", text, event_id, _TRIES)

    def _events(
        self, client: Client, request: Request, event_id: str
    ) -> Iterator[StreamEvent]:
        if event_id:
            return client.resume(event_id)
        return client.stream(request.prompt, request.max_tokens)


def _last_word(last: str, answer: Answer) -> str:
    if answer.status == 0:
        return "unknown"
    if answer.ran == "not_run":
        return "refused"
    return "unknown" if answer.ran == "unknown" else last


def _pause(answer: Answer) -> float:
    seconds = float(answer.headers.get("retry-after", _PAUSE_S))
    return min(seconds, _LONGEST_PAUSE_S)
