"""Finds the route of a request and selects one of its destinations."""

from collections.abc import Iterable, Iterator

from azurefold.core.routes.model import Route

__all__ = ["RouteTable", "choose_service", "build_route_table"]


class RouteTable:
    """Routes by host and prefix; created by :func:`build_route_table`."""

    def __init__(self, by_host: dict[str, dict[str, Route]]) -> None:
        self._by_host = by_host
        self._longest_by_host = {
            host: max(map(len, prefixes)) for host, prefixes in by_host.items()
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None.

        Parameters
        ----------
        host : str
            Host as sent by the caller; case and port are ignored.
        path : str
            Path without the query.
        """
        host = _normalise_host(host)
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        # A path of slashes has as many prefixes as characters.
        beginning = path[: self._longest_by_host[host]]
        matches = (prefixes.get(prefix) for prefix in _list_prefixes(beginning))
        return next((route for route in matches if route is not None), None)


def build_route_table(routes: Iterable[Route]) -> RouteTable:
    """Return a table of the given routes.

    Examples
    --------
    >>> from azurefold.core.routes.model import Destination, AnswerKind
    >>> targets = (Destination("notices"),)
    >>> kind = AnswerKind.IDEMPOTENT
    >>> broad = Route("broad", "a.example", "/", kind, targets, 800, 400)
    >>> narrow = Route("narrow", "a.example", "/lots/", kind, targets, 800, 400)
    >>> table = build_route_table([broad, narrow])
    >>> table.find("A.example:80", "/lots/7").name, table.find("a.example", "/x").name
    ('narrow', 'broad')
    >>> table.find("b.example", "/lots/7") is None
    True
    """
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(_normalise_host(route.host), {})[route.prefix] = route
    return RouteTable(by_host)


def choose_service(route: Route, draw: float) -> str:
    """Select the service for a request in proportion to the weights.

    Parameters
    ----------
    route : Route
        Route of the request.
    draw : float
        Random number in [0, 1).

    Examples
    --------
    >>> from azurefold.core.routes.model import Destination, AnswerKind
    >>> targets = (Destination("old", 90), Destination("new", 10))
    >>> route = Route("r", "a.example", "/", AnswerKind.IDEMPOTENT, targets, 800, 400)
    >>> choose_service(route, 0.5), choose_service(route, 0.95)
    ('old', 'new')
    """
    remaining = draw * sum(destination.weight for destination in route.destinations)
    for destination in route.destinations:
        remaining -= destination.weight
        if remaining < 0:
            return destination.service
    return route.destinations[-1].service


def _normalise_host(host: str) -> str:
    return host.partition(":")[0].lower()


def _list_prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of ``path`` that end in a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
