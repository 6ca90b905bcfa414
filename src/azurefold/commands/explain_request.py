"""``azurefold explain --request``: the decisions on one request, from gateways' logs.

Lines are read one at a time. Kept are the lines that name the request, and what was
last known at each gateway of endpoints that could not be chosen; both up to a limit.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from azurefold.commands.log_lines import number_of, read_fields, time_of
from azurefold.commands.reports import Exit, Report

__all__ = ["explain_request"]

_MOST_LINES = 1_000
"""Of the request. One attempt logs two; only an id that callers reuse has more."""

_MOST_SPANS = 20_000
"""Of all gateways together: some 8 MB."""

_SHOWN_NAMES = 5
_LIMIT_IS_RECENT = timedelta(seconds=5)
"""A limit that was logged longer before says little about the request's wait."""

_ARRIVED, _WAITED, _ENDED = -2, -1, float("inf")
_NEVER = datetime.fromisoformat("9999-01-01T00:00:00+00:00")

_LATER = "when the time in its Retry-After header is over"
_REFUSALS = {
    "deadline": ("its turn could not come before its deadline", _LATER),
    "queue_full": ("the queue was full", _LATER),
    "organisation_full": ("its organisation's part of the queue was full", _LATER),
    "displaced": ("more urgent requests took its place in the queue", _LATER),
    "evacuated": (
        "all data centres with endpoints were evacuated",
        "when an evacuation has ended",
    ),
    "cold": ("all endpoints were cold and its turn could not come in time", _LATER),
    "no_endpoints": ("the service had no endpoints", _LATER),
    "all_leaving": ("all endpoints were leaving", _LATER),
    "all_excluded": ("no endpoint was left that it had not tried", _LATER),
    "all_full": ("all endpoints were full", _LATER),
    "groups_down": ("all groups were down", "when a group runs again"),
    "out_of_reach": ("no endpoint could be reached", _LATER),
    "over_quota": ("all endpoints were at their quotas", _LATER),
    "backing_off": ("all endpoints had asked for a pause", _LATER),
    "endpoint_refused": ("each endpoint that it was sent to refused it", _LATER),
    "quarantined": (
        "endpoints had crashed under it",
        "when its quarantine has ended, and not as a retry",
    ),
    "on_trial": ("a part of its prompt was being tried elsewhere", _LATER),
}
"""Why a request is refused, and when it may come back; by the reason's word."""

_ENDINGS = {
    "deadline": "its deadline passed before an answer began",
    "caller_gone": "its caller closed the connection",
    "endpoint_error": "its caller got the endpoint's own error",
    "abandoned": "it was abandoned inside the gateway",
}

_BEGINNINGS = {
    "evacuation_in_force": ("data_centre", "evacuated"),
    "endpoint_cold": ("endpoint", "cold"),
    "endpoint_ejected": ("endpoint", "ejected"),
    "groups_paused": ("service", "paused"),
    "requests_limited": ("service", "limited"),
}
"""Field with the name of what a line excludes or limits, and how."""

_ENDS = {
    "evacuation_ended": ("data_centre", "evacuated"),
    "endpoint_warm": ("endpoint", "cold"),
}
_STARTED = "started"
_SHOWN_LINES = ("paused", "limited")
_STATE_EVENTS = (*_BEGINNINGS, *_ENDS, _STARTED)
_STATE_MARKS = tuple(f"event={event} " for event in _STATE_EVENTS)

_Key = tuple[str, str, str]
"""Gateway, how it is excluded, and name."""


@dataclass(frozen=True, slots=True)
class _Decision:
    """One decision; ``step`` orders those that were logged in the same millisecond."""

    at: datetime
    gateway: str
    sentence: str
    step: float


@dataclass(slots=True)
class _Span:
    """For how long something was excluded, and the line that says so if it is shown."""

    begin: datetime
    end: datetime
    line: Mapping[str, str]


@dataclass(slots=True)
class _Gateways:
    """What was last known at each gateway of what it could not choose."""

    dropped: int = 0
    _spans: dict[_Key, _Span] = field(default_factory=dict)

    def read(self, fields: Mapping[str, str]) -> None:
        """Take in a line.

        Raises
        ------
        KeyError, ValueError
            If it was cut off.
        """
        event, gateway, at = fields["event"], fields["process"], time_of(fields)
        if event == _STARTED:
            self._end([key for key in self._spans if key[0] == gateway], at)
        elif event in _ENDS:
            name, kind = _ENDS[event]
            self._end([(gateway, kind, fields[name])], at)
        else:
            name, kind = _BEGINNINGS[event]
            line = fields if kind in _SHOWN_LINES else {}
            self._put((gateway, kind, fields[name]), at, _end_of(at, fields), line)

    def _put(
        self, key: _Key, begin: datetime, end: datetime, line: Mapping[str, str]
    ) -> None:
        self._spans.pop(key, None)
        self._spans[key] = _Span(begin, end, line)
        if len(self._spans) > _MOST_SPANS:
            self.dropped += 1
            del self._spans[next(iter(self._spans))]

    def _end(self, keys: Iterable[_Key], at: datetime) -> None:
        for key in keys:
            if key in self._spans:
                self._spans[key].end = min(self._spans[key].end, at)

    def excluded(self, gateway: str, kind: str, at: datetime) -> list[str]:
        """Return the names of what a gateway did not choose at a time."""
        return sorted(
            name
            for (process, each, name), span in self._spans.items()
            if (process, each) == (gateway, kind) and span.begin <= at < span.end
        )

    def line(self, gateway: str, kind: str, name: str) -> Mapping[str, str]:
        """Return the last line of a kind, empty if there is none."""
        span = self._spans.get((gateway, kind, name))
        return {} if span is None else span.line


@dataclass(slots=True)
class _RequestLog:
    """What the logs tell of one request."""

    request: str
    gateways: _Gateways = field(default_factory=_Gateways)
    unreadable: int = 0
    left_out: int = 0
    lines: list[dict[str, str]] = field(default_factory=list)
    decisions: list[_Decision] = field(default_factory=list)

    def read(self, line: str) -> None:
        """Take in one line; those that have nothing to do with it are passed over."""
        is_named = self.request in line
        if not is_named and not any(mark in line for mark in _STATE_MARKS):
            return
        fields = read_fields(line)
        try:
            if fields["event"] in _STATE_EVENTS:
                self.gateways.read(fields)
            elif fields["request"] == self.request:
                self._keep(fields)
        except (KeyError, OverflowError, ValueError):
            self.unreadable += is_named

    def _keep(self, fields: dict[str, str]) -> None:
        _check(fields)
        if len(self.lines) >= _MOST_LINES:
            self.left_out += 1
            return
        self.lines.append(fields)
        if fields["event"] == "request_end":
            # Gateways' lines come in order, so what is known now is of its end.
            self.decisions += _course_of(fields, self.lines, self.gateways)
        elif sentence := _sentence(fields):
            at, gateway = time_of(fields), fields["process"]
            self.decisions.append(_Decision(at, gateway, sentence, _step(fields)))


def explain_request(lines: Iterable[str], request: str) -> Report:
    """Tell the decisions on one request.

    Parameters
    ----------
    lines : iterable of str
        Of any number of gateways, those of each gateway in their order.
    request : str
        Its id.

    Returns
    -------
    Report
        A sentence for each decision, in order of time; bad input if no line names the
        request.
    """
    log = _RequestLog(request)
    for line in lines:
        log.read(line)
    if not log.decisions:
        told = f"no line names request {request}; give logs of all gateways"
        return Report(Exit.BAD_INPUT, (told,), {"request": request, "decisions": []})
    decisions = sorted(log.decisions, key=lambda each: (each.at, each.step))
    told = [f"{_clock(d.at)} {d.gateway}: {d.sentence}" for d in decisions]
    told += [f"{name}: {count}" for name, count in _omissions(log).items() if count]
    rows = [
        {"at": d.at.isoformat(), "gateway": d.gateway, "sentence": d.sentence}
        for d in decisions
    ]
    return Report(Exit.OK, tuple(told), {"request": request, "decisions": rows})


def _check(fields: Mapping[str, str]) -> None:
    """Raise KeyError or ValueError if a line was cut off."""
    time_of(fields), fields["process"]
    if fields["event"] == "request_end":
        int(fields["took_ms"])


def _omissions(log: _RequestLog) -> dict[str, int]:
    return {
        "unreadable lines": log.unreadable,
        "lines of the request left out": log.left_out,
        "older lines on endpoints left out": log.gateways.dropped,
    }


def _end_of(begin: datetime, fields: Mapping[str, str]) -> datetime:
    if fields["event"] == "groups_paused" and fields.get("ranks") == "0":
        return begin
    lasts = number_of(fields, "for_ms" if "for_ms" in fields else "left_ms")
    return _NEVER if lasts is None else begin + timedelta(milliseconds=lasts)


def _step(fields: Mapping[str, str]) -> float:
    """Return the place of a line's decision: an attempt fails after it went."""
    match fields["event"]:
        case "attempt_failed":
            return (number_of(fields, "attempt") or 0) + 0.1
        case "retry_decided":
            return (number_of(fields, "attempts") or 0) + 0.2
    return 0.0


def _sentence(fields: Mapping[str, str]) -> str:
    """Return what a line other than the last one of a request says."""
    match fields["event"]:
        case "request_refused":
            why, status = fields.get("result", "?"), fields.get("status", "?")
            return f"It was not admitted: {why}, status {status}."
        case "attempt_failed":
            return (
                f"Attempt {fields.get('attempt', '?')} at "
                f"{fields.get('endpoint', '?')} failed: {fields.get('why', '?')} "
                f"({fields.get('detail', '?')}), after {fields.get('passed', '?')} "
                "events."
            )
        case "retry_decided":
            return _retry_sentence(fields)
        case "request_quarantined":
            left = number_of(fields, "left_ms")
            until = "" if left is None else f"; this ends in {left} ms"
            return (
                f"It may not be sent: {fields.get('why', '?')}, after "
                f"{fields.get('crashes', '?')} crashes of endpoints{until}."
            )
        case "part_trial_sent":
            return "It was sent as a trial of a part that may crash endpoints."
        case "endpoint_crashed":
            return f"Endpoint {fields.get('endpoint', '?')} crashed under it."
    return ""


def _retry_sentence(fields: Mapping[str, str]) -> str:
    outcome = fields.get("outcome", "?")
    left = f"{fields.get('left_ms', '?')} ms and"
    budget = f"{fields.get('budget_left', '?')} of the retry budget left"
    if outcome == "allowed":
        return f"Another attempt was allowed, with {left} {budget}."
    return f"Another attempt was denied: {outcome}, with {left} {budget}."


def _course_of(
    end: Mapping[str, str], lines: list[dict[str, str]], gateways: _Gateways
) -> Iterator[_Decision]:
    """Yield the decisions that the line of a request's end tells of."""
    ended, gateway = time_of(end), end["process"]
    arrived = ended - timedelta(milliseconds=number_of(end, "took_ms") or 0)
    placed = arrived + timedelta(milliseconds=number_of(end, "queued_ms") or 0)
    mine = [each for each in lines if each["process"] == gateway]
    yield _Decision(arrived, gateway, _arrival(end), _ARRIVED)
    if wait := _wait(end):
        why = _why_it_waited(end, arrived, placed, gateways)
        yield _Decision(arrived, gateway, f"{wait}{why}.", _WAITED)
    places = enumerate(_placements(end, mine, placed), start=1)
    for number, (at, endpoint, sentence) in places:
        because = _why_there(gateway, endpoint, at, gateways)
        yield _Decision(at, gateway, f"{sentence}{because}.", number)
    yield _Decision(ended, gateway, _ending(end), _ENDED)


def _arrival(end: Mapping[str, str]) -> str:
    parts = [f"It arrived for service {end.get('service', '?')}"]
    parts += [f"on route {end['route']}"] if "route" in end else []
    parts += (
        [f"of organisation {end['organisation']}"] if end.get("organisation") else []
    )
    if "priority" in end:
        of_class = f" (class {end['class']})" if "class" in end else ""
        parts.append(f"with priority {end['priority']}{of_class}")
    left, took = number_of(end, "left_ms"), number_of(end, "took_ms")
    if left is not None and took is not None:
        parts.append(f"{left + took} ms before its deadline")
    return ", ".join(parts) + "."


def _wait(end: Mapping[str, str]) -> str:
    """Return for how long it waited and for whom; empty if it did not wait."""
    queued = number_of(end, "queued_ms") or 0
    ahead = _ahead(end.get("waited_for", ""))
    if not queued and not ahead:
        return ""
    told = f"It waited {queued} ms"
    if ahead:
        return f"{told} behind {ahead}"
    if "waited_for" in end:
        return f"{told} for room, with no more urgent request before it"
    return f"{told} for room"


def _ahead(waited_for: str) -> str:
    """Return the more urgent requests in words.

    Examples
    --------
    >>> _ahead("0:3,1:1")
    '3 waiting requests of class 0 and 1 of class 1'
    """
    pairs = [each.partition(":") for each in waited_for.split(",") if ":" in each]
    told = [f"{count} of class {name}" for name, _, count in pairs]
    if not told:
        return ""
    told[0] = told[0].replace(" of", " waiting requests of", 1)
    return " and ".join(told)


def _why_it_waited(
    end: Mapping[str, str], arrived: datetime, placed: datetime, gateways: _Gateways
) -> str:
    gateway, service = end["process"], end.get("service", "")
    told = ""
    if service in gateways.excluded(gateway, "paused", arrived):
        paused = gateways.line(gateway, "paused", service)
        told = f"; {paused.get('ranks')} of {paused.get('of')} ranks were paused"
    limit = gateways.line(gateway, "limited", service)
    if limit and arrived - _LIMIT_IS_RECENT <= time_of(limit) <= placed:
        names = ("requests", "limit", "room", "waiting")
        counts = " ".join(f"{name}={limit.get(name, '?')}" for name in names)
        told += f"; at {_clock(time_of(limit))} its service had {counts}"
    return told


def _placements(
    end: Mapping[str, str], lines: list[dict[str, str]], placed: datetime
) -> Iterator[tuple[datetime, str, str]]:
    """Yield when, to which endpoint and how each attempt of a request went."""
    endpoints = end.get("endpoints", "none")
    attempts = number_of(end, "attempts") or 0
    if endpoints == "none" or not attempts:
        return
    failures = [line for line in lines if line["event"] == "attempt_failed"]
    failed = {
        number_of(each, "attempt"): each.get("endpoint", "?") for each in failures
    }
    failed_at = {number_of(each, "attempt"): time_of(each) for each in failures}
    begun = [placed] + [
        time_of(line)
        for line in lines
        if line["event"] == "retry_decided" and line.get("outcome") == "allowed"
    ]
    others = [name for name in endpoints.split(",") if name not in failed.values()]
    for number, at in zip(range(1, attempts + 1), begun, strict=False):
        endpoint = failed.get(number) or " or ".join(others or [endpoints])
        told = endpoint
        if number == attempts and end.get("data_centre", "none") != "none":
            told += f" in data centre {end['data_centre']}"
        chosen = "with room" if number == 1 else "not tried before"
        # Times that are computed from durations may be a millisecond off.
        at = min(at, failed_at.get(number, at))
        sentence = f"Attempt {number} went to {told}, chosen among those {chosen}"
        yield at, endpoint, sentence


def _why_there(gateway: str, endpoint: str, at: datetime, gateways: _Gateways) -> str:
    """Return what was left out of the choice."""
    told = []
    for kind in ("evacuated", "cold", "ejected"):
        names = gateways.excluded(gateway, kind, at)
        if kind == "cold" and endpoint in names:
            names.remove(endpoint)
            told.append(f"it was {kind}, and permitted")
        if names:
            more = len(names) - _SHOWN_NAMES
            text = ",".join(names[:_SHOWN_NAMES])
            others = f" and {more} more" if more > 0 else ""
            told.append(f"left out as {kind}: {text}{others}")
    return "".join(f"; {each}" for each in told)


def _ending(end: Mapping[str, str]) -> str:
    result = end.get("result", "?")
    took = f"after {end.get('took_ms', '?')} ms"
    if result.startswith("refused_"):
        return _refusal(end, result.removeprefix("refused_"), took)
    if result.startswith("cut_off_"):
        why = result.removeprefix("cut_off_")
        return f"It was cut off {took}: {why}{_pace(end)}."
    if result in _ENDINGS:
        return f"It ended {took}: {_ENDINGS[result]}."
    return f"It ended as {result} {took}{_pace(end)}."


def _refusal(end: Mapping[str, str], reason: str, took: str) -> str:
    why, when = _REFUSALS.get(reason, (reason, _LATER))
    if (retry_after := number_of(end, "retry_after_ms")) is not None:
        when = f"after {retry_after} ms"
    sent = "" if number_of(end, "attempts") else " without having been sent"
    named = "" if why == reason else f" ({reason})"
    return f"It was refused {took}{sent}: {why}{named}; it may come back {when}."


def _pace(end: Mapping[str, str]) -> str:
    """Return how an answer came, as far as the line tells."""
    told = []
    if (first := number_of(end, "first_ms")) is not None:
        told.append(f"first event after {first} ms")
        told.append(f"longest pause {end.get('longest_gap_ms', '?')} ms")
    if "events" in end:
        told.append(f"{end['events']} events")
    if "tokens" in end:
        estimate = end.get("estimated_tokens", "?")
        told.append(f"{end['tokens']} tokens, estimated {estimate}")
    return f"; {', '.join(told)}" if told else ""


def _clock(at: datetime) -> str:
    return f"{at:%H:%M:%S}.{at.microsecond // 1_000:03d}"
