"""Whether changes that were confirmed are in force at all gateways in time."""

import random
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from azurefold_standins.bare_layout import Journal
from azurefold_standins.gateway_caller import Caller, Kind, Result
from azurefold_standins.gateway_site import GatewaySite
from azurefold_standins.processes import wait_until

__all__ = [
    "IN_FORCE_S",
    "Leaving",
    "arrivals_after",
    "late_routes",
    "wait_until_served",
]

IN_FORCE_S = 2.0
"""From a change's confirmation until requests see it."""

_LOOKED_FOR_S = 8.0
_POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class Leaving:
    """An endpoint that said it leaves.

    Parameters
    ----------
    endpoint : str
    confirmed, until : float
        When the store had confirmed it and when the endpoint came back, in seconds on
        the machine's steady clock.
    """

    endpoint: str
    confirmed: float
    until: float


def arrivals_after(leavings: Iterable[Leaving], journal: Journal) -> Iterator[str]:
    """Yield the leavings after which requests arrived too late."""
    for leaving in leavings:
        late = [
            at - leaving.confirmed
            for at in journal.times.get(leaving.endpoint, ())
            if leaving.confirmed + IN_FORCE_S < at < leaving.until
        ]
        if late:
            yield (
                f"{leaving.endpoint}: {len(late)} requests, the last one "
                f"{max(late):.2f} s after it said so"
            )


def late_routes(site: GatewaySite, prefix: str, draw: random.Random) -> Iterator[str]:
    """Call a route that was just confirmed until all gateways serve it.

    Yields
    ------
    str
        For each gateway that did not serve a request sent too long after it.
    """
    confirmed = time.monotonic()
    caller = Caller(f"route-{draw.getrandbits(24):x}", draw)
    pending = dict(site.gateways)
    late: dict[str, str] = {}
    while pending and time.monotonic() < confirmed + _LOOKED_FOR_S:
        for name, address in list(pending.items()):
            call = caller.call(Kind.LIST, name, address, prefix)
            after = call.sent_at - confirmed
            if call.result is Result.WHOLE:
                del pending[name]
            elif after > IN_FORCE_S:
                late[name] = f"{name}: {call.status} to {prefix} {after:.2f} s after it"
        time.sleep(_POLL_S)
    yield from late.values()


def wait_until_served(site: GatewaySite, draw: random.Random) -> None:
    """Wait until each gateway has served a request."""
    caller = Caller(f"wait-{draw.getrandbits(24):x}", draw)

    def is_served(name: str) -> bool:
        call = caller.call(Kind.LIST, name, site.gateways[name])
        return call.result is Result.WHOLE

    for name in site.gateways:
        wait_until(partial(is_served, name), f"{name} serves")
