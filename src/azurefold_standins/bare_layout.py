"""What a site tells its bare endpoints, and what they tell of themselves.

Apart from the endpoints' own module, which patches the standard library for
gevent when it is imported and so must not be imported by a test.
"""

import msgspec

__all__ = [
    "CLASS_ROUTES",
    "EVENTS",
    "BareEndpoint",
    "EndpointFaults",
    "Journal",
    "Layout",
    "expected_event",
    "requested_size",
]

EVENTS = 12
"""Events of each stream."""

CLASS_ROUTES = {"/urgent/": 0, "/routine/": 1, "/archive/": 2}
"""Priority by prefix of routes whose requests take long. Endpoints draw no faults for
them, since these would hit some priorities more often than others by chance."""


class BareEndpoint(msgspec.Struct, frozen=True):
    """Where one endpoint listens; a rank of the group, or a plain one."""

    name: str
    service: str
    address: str
    rank: int | None = None
    data_centre: str = "dc-a"


class Layout(msgspec.Struct, frozen=True):
    """All endpoints, and where the journal is read."""

    control: str
    endpoints: list[BareEndpoint]


class EndpointFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Shares of requests that go wrong, and of orders carried out late.

    Parameters
    ----------
    break_off : float, default=0.0
        Answers that end in their middle.
    lose : float, default=0.0
        Requests that run and whose connection then closes.
    refuse : float, default=0.0
        Requests that are refused and not run.
    late_orders : float, default=0.0
        Orders that get no answer and are carried out later.
    quotas : dict of str to float
        Requests a second that endpoints in need name in their answers.
    crashing : list of str
        Paths whose requests crash every endpoint that runs them.
    """

    break_off: float = 0.0
    lose: float = 0.0
    refuse: float = 0.0
    late_orders: float = 0.0
    quotas: dict[str, float] = {}
    crashing: list[str] = []


class Journal(msgspec.Struct):
    """What the endpoints saw.

    Parameters
    ----------
    runs : dict of str to int
        How often each request ran, by its id.
    last_arrival : dict of str to float
        Seconds on the machine's steady clock, by endpoint.
    changes : int
        Map changes that came into force.
    split_at : int or None
        The first pass that began under two maps.
    held_s : float
        The longest time that a pass was held.
    arrivals : dict of str to list of (str, float)
        Requests' ids and times by service, also of those that were refused.
    times : dict of str to list of float
        Of the requests for each endpoint, as in ``arrivals``.
    crashes : list of str
        Names of the endpoints that crashed, in the order of the crashes.
    requests : dict of str to list of (str, float)
        Requests' ids and times by endpoint, as in ``times``.
    """

    runs: dict[str, int]
    last_arrival: dict[str, float]
    changes: int
    split_at: int | None
    held_s: float
    arrivals: dict[str, list[tuple[str, float]]] = {}
    times: dict[str, list[float]] = {}
    crashes: list[str] = []
    requests: dict[str, list[tuple[str, float]]] = {}


def expected_event(path: str, number: int) -> bytes:
    """Return one event of the stream that answers ``path``."""
    return b"id: %d\ndata: %s-%d\n\n" % (number, path.encode(), number)


def requested_size(path: str) -> int:
    """Return the bytes of the answer that a path asks a plain endpoint for.

    Examples
    --------
    >>> requested_size("/lists/size-4096/7"), requested_size("/lists/7")
    (4096, 0)
    """
    for part in path.split("/"):
        name, _, size = part.partition("-")
        if name == "size" and size.isdecimal():
            return int(size)
    return 0
