"""``azurefold explain``: why requests failed or were late, from gateways' logs.

Reads the lines that gateways write and sorts their requests by what became of them:
how many, when most of them, at which gateways, and one request's id to begin with.
Lines are read one at a time. What is kept grows with the reasons and with spans of
time, and spans are made longer before there are too many.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime

from azurefold.border.decoding import as_whole_number
from azurefold.commands.log_lines import read_fields, time_of
from azurefold.commands.reports import Exit, Report
from azurefold.core.clock import Millis

__all__ = ["Lateness", "explain"]

_ENDED = "event=request_end "
_NOT_ADMITTED = "event=request_refused "
_FIRST_SPAN_S = 1
_MOST_SPANS = 20_000
"""Of all services and reasons together: some 4 MB."""

_MOST_IDS = 3
_SHOWN_GATEWAYS = 3
_ON_TIME = "on_time"
_LAST = 2**53
_NO_PRIORITY = "unknown"
"""Of lines of older releases, and of requests that were not admitted."""


@dataclass(frozen=True, slots=True)
class Lateness:
    """From when on an answer counts as late.

    Parameters
    ----------
    first_ms, gap_ms : int
        Until its first event, and between two events.
    """

    first_ms: Millis = 500
    gap_ms: Millis = 150


@dataclass(frozen=True, slots=True)
class _Reason:
    service: str
    word: str
    priority: str = ""


@dataclass(slots=True)
class _Requests:
    """Requests that ended for one reason."""

    number: int = 0
    gateways: Counter[str] = field(default_factory=Counter)
    ids: list[str] = field(default_factory=list)

    def add(self, gateway: str, request: str) -> None:
        self.number += 1
        self.gateways[gateway] += 1
        if len(self.ids) < _MOST_IDS:
            self.ids.append(request)


@dataclass(slots=True)
class _Tally:
    """All requests by reason, and their numbers by spans of time."""

    lateness: Lateness
    by_priority: bool = False
    span_s: int = _FIRST_SPAN_S
    unreadable: int = 0
    requests: dict[_Reason, _Requests] = field(default_factory=dict)
    _spans: Counter[tuple[_Reason, int]] = field(default_factory=Counter)

    def read(self, line: str) -> None:
        """Take in one line; those that end no request are passed over."""
        if _ENDED not in line and _NOT_ADMITTED not in line:
            return
        fields = read_fields(line)
        try:
            second = int(time_of(fields).timestamp())
            reason = self._reason(fields)
            gateway, request = fields["process"], fields["request"]
        except (KeyError, OverflowError, ValueError):
            self.unreadable += 1
            return
        self.requests.setdefault(reason, _Requests()).add(gateway, request)
        self._spans[reason, second // self.span_s] += 1
        if len(self._spans) > _MOST_SPANS:
            self._lengthen_spans()

    def worst_span(self, reason: _Reason) -> tuple[datetime, int]:
        """Return the begin of the span with most requests, and their number."""
        spans = {
            span: number
            for (each, span), number in self._spans.items()
            if each == reason
        }
        span = max(spans, key=spans.__getitem__)
        return datetime.fromtimestamp(span * self.span_s, UTC), spans[span]

    def _reason(self, fields: dict[str, str]) -> _Reason:
        priority = fields.get("priority", _NO_PRIORITY) if self.by_priority else ""
        return _Reason(fields.get("service", ""), self._word(fields), priority)

    def _word(self, fields: dict[str, str]) -> str:
        """Return why a request failed or was late."""
        result = fields["result"]
        if fields["event"] != "request_end":
            return f"not_admitted_{result}"
        if not result.startswith("answered_2"):
            return result
        first = int(fields["first_ms"]) if fields["first_ms"] != "None" else 0
        if first > self.lateness.first_ms:
            queued = int(fields["queued_ms"])
            return "late_in_queue" if 2 * queued > first else "late_first_event"
        if int(fields["longest_gap_ms"]) > self.lateness.gap_ms:
            return "late_between_events"
        return _ON_TIME

    def _lengthen_spans(self) -> None:
        merged: Counter[tuple[_Reason, int]] = Counter()
        for (reason, span), number in self._spans.items():
            merged[reason, span // 2] += number
        self._spans = merged
        self.span_s *= 2


def explain(
    lines: Iterable[str], lateness: Lateness, *, by_priority: bool = False
) -> Report:
    """Sort the requests of logs by what became of them.

    Parameters
    ----------
    lines : iterable of str
        Of any number of gateways, in any order.
    lateness : Lateness
    by_priority : bool, default=False
        Whether requests of different priorities are counted apart.

    Returns
    -------
    Report
        A table, most frequent reason first, and most urgent priority before; bad input
        if no request ended in it.
    """
    tally = _Tally(lateness, by_priority)
    for line in lines:
        tally.read(line)
    if not tally.requests:
        told = "no line tells how a request ended; give logs of gateways"
        return Report(Exit.BAD_INPUT, (told,), {"requests": 0})
    reasons = sorted(
        tally.requests,
        key=lambda each: (_rank(each.priority), -tally.requests[each].number),
    )
    total = sum(each.number for each in tally.requests.values())
    rows = [_row(tally, reason, total) for reason in reasons]
    notes = [f"unreadable lines: {tally.unreadable}"] if tally.unreadable else []
    data = {"requests": total, "span_s": tally.span_s, "reasons": rows}
    return Report(Exit.OK, tuple([_text(row) for row in rows] + notes), data)


def _rank(priority: str) -> int:
    """Return the place of a priority in the table: those that are unknown come last."""
    return as_whole_number(priority, _LAST)


def _row(tally: _Tally, reason: _Reason, total: int) -> dict[str, object]:
    requests = tally.requests[reason]
    begin, number = tally.worst_span(reason)
    split = {"priority": reason.priority} if tally.by_priority else {}
    return split | {
        "service": reason.service,
        "reason": reason.word,
        "requests": requests.number,
        "share": round(requests.number / total, 4),
        "worst_at": begin.isoformat(),
        "worst_requests": number,
        "span_s": tally.span_s,
        "gateways": len(requests.gateways),
        "most_at": requests.gateways.most_common(_SHOWN_GATEWAYS),
        "ids": requests.ids,
    }


def _text(row: dict[str, object]) -> str:
    most = ",".join(f"{gateway}:{number}" for gateway, number in row["most_at"])
    priority = f"priority={row['priority']} " if "priority" in row else ""
    return (
        f"{row['requests']:7} {row['share']:6.1%} {priority}{row['service']} "
        f"{row['reason']}"
        f"  worst={row['worst_requests']} in {row['span_s']} s from {row['worst_at']}"
        f"  gateways={row['gateways']} most={most}  ids={','.join(row['ids'])}"
    )
