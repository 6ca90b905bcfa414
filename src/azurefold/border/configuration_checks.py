"""Checks across the parts of the operators' text.

They look at the raw value, whose parts may have any shape, so that what is
wrong across parts is told together with what is wrong within one.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from graphlib import CycleError, TopologicalSorter
from typing import Any

from azurefold.border.fields import part
from azurefold.border.findings import Path, Problem

__all__ = ["cross_check"]


def cross_check(raw: Any) -> Iterable[Problem]:
    """Yield what is wrong across services of the raw configuration."""
    services = part(raw, "services", kind=dict)
    yield from _dependencies(services)
    yield from _doubled_endpoints(services)
    yield from _doubled_groups(services)
    for name, service in services.items():
        yield from _groups(name, service)
        yield from _kind(name, service)


def _dependencies(services: dict) -> Iterator[Problem]:
    graph = {}
    for name in services:
        listed = _strings(services, name, "depends_on")
        graph[name] = {other for _, other in listed if other in services}
        for index, other in listed:
            if other not in services:
                where = ("services", name, "depends_on", index)
                known = ", ".join(sorted(services))
                yield Problem(where, f"no service {other!r}", f"one of: {known}")
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        cycle = error.args[1]
        where = ("services", cycle[0], "depends_on")
        problem = f"a cycle: {' <- '.join(cycle)}"
        yield Problem(where, problem, "dependencies without a cycle")


def _doubled_endpoints(services: dict) -> Iterator[Problem]:
    first: dict[str, str] = {}
    for name in services:
        for index, endpoint in _strings(services, name, "endpoints"):
            if endpoint in first:
                where = ("services", name, "endpoints", index)
                problem = f"endpoint {endpoint!r} already stands in {first[endpoint]!r}"
                yield Problem(where, problem, "each endpoint in one service, once")
            first.setdefault(endpoint, name)


def _doubled_groups(services: dict) -> Iterator[Problem]:
    first: dict[str, str] = {}
    for name, service in services.items():
        for group in part(service, "groups", kind=dict):
            if group in first:
                problem = f"group {group!r} already stands in {first[group]!r}"
                where = ("services", name, "groups", group)
                yield Problem(where, problem, "another name", at_key=True)
            first.setdefault(group, name)


def _groups(name: str, service: Any) -> Iterator[Problem]:
    endpoints = set(filter(_is_text, part(service, "endpoints", kind=list)))
    groups = part(service, "groups", kind=dict)
    places = Counter()
    for group, ranks in groups.items():
        for rank, endpoint in enumerate(ranks if isinstance(ranks, list) else ()):
            where = ("services", name, "groups", group, rank)
            yield from _rank(where, endpoint, endpoints, places)


def _rank(
    where: Path, endpoint: Any, endpoints: set, places: Counter
) -> Iterator[Problem]:
    if not _is_text(endpoint):
        return
    places[endpoint] += 1
    if endpoint not in endpoints:
        problem = f"{endpoint!r} is not an endpoint of this service"
        yield Problem(where, problem, "a name that stands in endpoints")
    if places[endpoint] > 1:
        yield Problem(where, f"{endpoint!r} has two ranks", "one rank for each")


def _kind(name: str, service: Any) -> Iterator[Problem]:
    kind = part(service, "kind", kind=str)
    holder = part(service, kind=dict)
    if kind == "model" and not holder.get("model"):
        where = ("services", name, "model")
        yield Problem(where, "is missing", "the model that the endpoints serve")
    if kind == "plain":
        for key in ("model", "groups", "balance"):
            if holder.get(key):
                where = ("services", name, key)
                problem = "has no meaning for a plain service"
                yield Problem(where, problem, "this key left out", at_key=True)


def _strings(services: dict, name: str, key: str) -> list[tuple[int, str]]:
    listed = part(services, name, key, kind=list)
    return [(index, item) for index, item in enumerate(listed) if _is_text(item)]


def _is_text(value: Any) -> bool:
    return isinstance(value, str)
