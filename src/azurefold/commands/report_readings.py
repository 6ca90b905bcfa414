"""What entries publish at ``/metrics``, as counts for objectives."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import gevent
import msgspec
from prometheus_client import Metric
from prometheus_client.parser import text_string_to_metric_families

from azurefold.border.decoding import (
    LARGEST_COUNT,
    Count,
    UnreadableError,
    unreadable_as,
)
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.model import Configuration, Service, ServiceKind
from azurefold.core.objectives.counts import count_good_from_buckets
from azurefold.core.objectives.objective import Objective, ObjectiveKind
from azurefold.internal.http_client import CONNECTION_ERRORS, http_client

__all__ = [
    "ALL_SERVICES",
    "Reading",
    "Tally",
    "Unread",
    "objectives_of",
    "parse_tallies",
    "read_entries",
    "strictest",
    "too_fine",
]

ALL_SERVICES = "all services"
"""Stands where the entries do not tell services apart, to bound their memory."""

_ANSWERS = "azurefold_entry_answers"
_ORGANISATIONS = "azurefold_entry_organisation_answers"
_ENDPOINTS = "azurefold_entry_endpoint_answers"
_HISTOGRAMS = {
    "azurefold_entry_first_token_seconds": ObjectiveKind.FIRST_TOKEN,
    "azurefold_entry_between_tokens_seconds": ObjectiveKind.BETWEEN_TOKENS,
}
_ANSWERED = "answered"
_ABANDONED = "abandoned"
_SECOND_MS = 1_000
_OK = 200


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative counts of one source for one objective.

    Parameters
    ----------
    service : str
        Whose objective, or ``ALL_SERVICES``.
    kind : str
        Value of the :class:`ObjectiveKind`.
    threshold : int or None
        Milliseconds that the good ones were counted against.
    organisation, endpoint : str
        Whose requests, or empty where that is not told.
    good, total : int
        Counted since the process started.
    """

    service: str
    kind: str
    threshold: Count | None
    organisation: str
    endpoint: str
    good: Count
    total: Count


class Reading(msgspec.Struct, frozen=True):
    """What one process published at one time.

    Parameters
    ----------
    at : int
        Milliseconds since the Unix epoch.
    process : str
        Address of its metrics.
    tallies : tuple of Tally
        All of them.
    """

    at: Count
    process: str
    tallies: tuple[Tally, ...]


@dataclass(frozen=True, slots=True)
class Unread:
    """A process that gave no metrics."""

    process: str
    reason: str


def objectives_of(service: Service) -> tuple[Objective, ...]:
    """Return the objectives that the configuration sets for a service."""
    asked = service.objectives
    share = asked.target_share
    first = Objective(ObjectiveKind.FIRST_TOKEN, share, asked.first_token_ms)
    whole = Objective(ObjectiveKind.ANSWERED_WHOLE, share)
    if service.kind is ServiceKind.PLAIN:
        return first, whole
    between = Objective(ObjectiveKind.BETWEEN_TOKENS, share, asked.between_tokens_ms)
    return first, between, whole


def strictest(configuration: Configuration) -> Objective:
    """Return the strictest objective on whole answers of all services."""
    shares = [
        service.objectives.target_share for service in configuration.services.values()
    ]
    return Objective(ObjectiveKind.ANSWERED_WHOLE, max(shares, default=0.95))


def parse_tallies(text: str, configuration: Configuration) -> tuple[Tally, ...]:
    """Return the counts that objectives need from an exposition text.

    Parameters
    ----------
    text : str
        What an entry serves at ``/metrics``.
    configuration : Configuration
        Whose services and objectives count.

    Raises
    ------
    ValueError
        If the text is not in the exposition format.
    """
    families = {each.name: each for each in text_string_to_metric_families(text)}
    tallies = []
    for service in configuration.services.values():
        for objective in objectives_of(service):
            tallies += _of_service(families, service.name, objective)
    tallies += _by_label(families.get(_ORGANISATIONS), "organisation")
    tallies += _by_label(families.get(_ENDPOINTS), "endpoint")
    return tuple(tallies)


def too_fine(text: str, configuration: Configuration) -> tuple[str, ...]:
    """Return notes on thresholds that lie on no edge of an entry's histogram.

    Requests between the edge below and the threshold count as bad. Without the
    note, a service with such a threshold would seem slower than it is.
    """
    families = {each.name: each for each in text_string_to_metric_families(text)}
    notes = []
    for service in configuration.services.values():
        for objective in objectives_of(service):
            note = _edge_note(families, service.name, objective)
            notes += [note] if note else []
    return tuple(notes)


def read_entries(
    addresses: Sequence[str],
    configuration: Configuration,
    clock: Clock,
    timeout_ms: Millis,
) -> tuple[list[Reading], list[Unread], list[str]]:
    """Read all entries at the same time: readings, silent ones, notes."""
    asked = [gevent.spawn(_fetch, address, timeout_ms) for address in addresses]
    gevent.joinall(asked)
    now = clock.now()
    readings, silent, notes = [], [], []
    for address, each in zip(addresses, asked, strict=True):
        text = each.value
        if isinstance(text, Unread):
            silent.append(text)
            continue
        try:
            with unreadable_as(UnreadableError):
                tallies = parse_tallies(text, configuration)
                notes += too_fine(text, configuration)
            readings.append(Reading(now, address, tallies))
        except UnreadableError as error:
            silent.append(Unread(address, f"not in the exposition format: {error}"))
    return readings, silent, list(dict.fromkeys(notes))


def _count(value: float) -> int:
    if not 0 <= value <= LARGEST_COUNT:
        raise ValueError(f"no count: {value}")
    return int(value)


def _fetch(address: str, timeout_ms: Millis) -> str | Unread:
    client = http_client(address, timeout_ms, timeout_ms, concurrency=1)
    try:
        with gevent.Timeout(timeout_ms / _SECOND_MS):
            response = client.get("/metrics")
            if response.status_code != _OK:
                return Unread(address, f"answered {response.status_code}")
            return bytes(response.read()).decode("utf-8", "replace")
    except gevent.Timeout:
        return Unread(address, "no answer in time")
    except CONNECTION_ERRORS as error:
        return Unread(address, str(error))
    finally:
        client.close()


def _of_service(
    families: dict[str, Metric], service: str, objective: Objective
) -> Iterator[Tally]:
    if objective.kind is ObjectiveKind.ANSWERED_WHOLE:
        yield from _answers(families.get(_ANSWERS), service)
        return
    buckets = _buckets(families, service, objective.kind)
    good = count_good_from_buckets(buckets, (objective.threshold or 0) / _SECOND_MS)
    if good is None:
        return
    total = max(count for _, count in buckets)
    kind, threshold = objective.kind.value, objective.threshold
    yield Tally(service, kind, threshold, "", "", good, total)


def _answers(family: Metric | None, service: str) -> Iterator[Tally]:
    results = {
        sample.labels.get("result", ""): _count(sample.value)
        for sample in _totals(family)
        if sample.labels.get("service") == service
    }
    # A caller that hangs up was not failed by us; how slow we were until then
    # shows in the other objectives.
    results.pop(_ABANDONED, None)
    if results:
        good, total = results.get(_ANSWERED, 0), sum(results.values())
        kind = ObjectiveKind.ANSWERED_WHOLE.value
        yield Tally(service, kind, None, "", "", good, total)


def _by_label(family: Metric | None, label: str) -> Iterator[Tally]:
    good: dict[str, int] = {}
    total: dict[str, int] = {}
    for sample in _totals(family):
        name, value = sample.labels.get(label, ""), _count(sample.value)
        total[name] = total.get(name, 0) + value
        if sample.labels.get("result") == _ANSWERED:
            good[name] = good.get(name, 0) + value
    kind = ObjectiveKind.ANSWERED_WHOLE.value
    for name, counted in sorted(total.items()):
        names = {"organisation": "", "endpoint": "", label: name}
        yield Tally(
            ALL_SERVICES,
            kind,
            None,
            names["organisation"],
            names["endpoint"],
            good.get(name, 0),
            counted,
        )


def _totals(family: Metric | None) -> Iterable:
    samples = family.samples if family is not None else []
    return [sample for sample in samples if sample.name.endswith("_total")]


def _buckets(
    families: dict[str, Metric], service: str, kind: ObjectiveKind
) -> list[tuple[float, int]]:
    name = next(name for name, measures in _HISTOGRAMS.items() if measures is kind)
    family = families.get(name)
    return [
        (float(sample.labels["le"]), _count(sample.value))
        for sample in (family.samples if family is not None else [])
        if sample.name.endswith("_bucket") and sample.labels.get("service") == service
    ]


def _edge_note(
    families: dict[str, Metric], service: str, objective: Objective
) -> str | None:
    if objective.threshold is None:
        return None
    buckets = _buckets(families, service, objective.kind)
    threshold = objective.threshold / _SECOND_MS
    fitting = [edge for edge, _ in buckets if edge <= threshold]
    if not buckets or threshold in fitting:
        return None
    asked = f"{service}: {objective.kind.value} within {objective.threshold} ms"
    if not fitting:
        return f"{asked} cannot be told: no edge of the histogram is that low"
    return f"{asked} is counted at the edge of {max(fitting) * _SECOND_MS:.0f} ms"
