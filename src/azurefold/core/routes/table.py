"""Finding the route of a request, and the service among its destinations."""

from collections.abc import Iterable, Iterator

from azurefold.core.routes.model import Route

__all__ = ["RouteTable", "choose_service", "build_route_table"]


class RouteTable:
    """Routes by host and prefix; made by :func:`build_route_table`."""

    def __init__(self, by_host: dict[str, dict[str, Route]]) -> None:
        self._by_host = by_host

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``.

        Parameters
        ----------
        host : str
            As the caller sent it; case and port do not matter.
        path : str
            Without a query.
        """
        prefixes = self._by_host.get(_bare_host(host))
        if prefixes is None:
            return None
        found = (prefixes.get(prefix) for prefix in _prefixes_of(path))
        return next((route for route in found if route is not None), None)


def build_route_table(routes: Iterable[Route]) -> RouteTable:
    """Return the table of ``routes``.

    Examples
    --------
    >>> from azurefold.core.routes.model import Destination, AnswerKind
    >>> to = (Destination("notices"),)
    >>> kind = AnswerKind.IDEMPOTENT
    >>> broad = Route("broad", "a.example", "/", kind, to, 800, 400)
    >>> narrow = Route("narrow", "a.example", "/lots/", kind, to, 800, 400)
    >>> table = build_route_table([broad, narrow])
    >>> table.find("A.example:80", "/lots/7").name, table.find("a.example", "/x").name
    ('narrow', 'broad')
    >>> table.find("b.example", "/lots/7") is None
    True
    """
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(_bare_host(route.host), {})[route.prefix] = route
    return RouteTable(by_host)


def choose_service(route: Route, draw: float) -> str:
    """Return the service that a request goes to.

    Parameters
    ----------
    route : Route
    draw : float
        Random number in [0, 1).

    Examples
    --------
    >>> from azurefold.core.routes.model import Destination, AnswerKind
    >>> to = (Destination("old", 90), Destination("new", 10))
    >>> route = Route("r", "a.example", "/", AnswerKind.IDEMPOTENT, to, 800, 400)
    >>> choose_service(route, 0.5), choose_service(route, 0.95)
    ('old', 'new')
    """
    left = draw * sum(destination.weight for destination in route.destinations)
    for destination in route.destinations:
        left -= destination.weight
        if left < 0:
            return destination.service
    return route.destinations[-1].service


def _bare_host(host: str) -> str:
    return host.partition(":")[0].lower()


def _prefixes_of(path: str) -> Iterator[str]:
    """Yield the prefixes that end in a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
