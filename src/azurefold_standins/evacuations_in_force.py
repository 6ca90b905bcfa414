"""Whether requests keep away from data centres that were evacuated."""

import random
import time
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from azurefold_standins.bare_layout import BareEndpoint, Journal
from azurefold_standins.gateway_caller import Call
from azurefold_standins.gateway_site import DATA_CENTRES, EVACUATE_MS, GatewaySite

__all__ = ["Disturbance", "Evacuation", "EvacuationSeries", "late_arrivals"]

_LATE_S = EVACUATE_MS / 1_000
_RECOVERY_S = 4.0
"""For which a gateway that was disturbed may not know what is in force."""

_WATCHED_S = 1.5
_LONGEST_PAUSE_S = 8.0
_SHORT_S = (0.3, 3.0)
_LONG_S = (5.5, 8.0)
_LONG_SHARE = 1 / 3
"""Only long evacuations outlast the bound. Were all of them long, both data centres
would be evacuated for a third of the run, in which nothing is served."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A span on the machine's steady clock in which a data centre was evacuated.

    Parameters
    ----------
    data_centre : str
    confirmed, until : float
        When the store had acknowledged the row, and just before it was removed.
    """

    data_centre: str
    confirmed: float
    until: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A span in which a gateway was paused, cut off from the store or ended."""

    gateway: str
    begin: float
    end: float


@dataclass(slots=True)
class EvacuationSeries:
    """Evacuates each data centre again and again, independently of the others.

    Parameters
    ----------
    site : GatewaySite
    seed : int
    evacuations : list of Evacuation
        Those that have ended.
    """

    site: GatewaySite
    seed: int
    evacuations: list[Evacuation] = field(default_factory=list)
    _last_draw: random.Random = field(init=False)
    _draws: dict[str, random.Random] = field(init=False)
    _next: dict[str, float] = field(default_factory=dict)
    _confirmed: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._last_draw = random.Random(f"{self.seed} last evacuation")
        self._draws = {
            name: random.Random(f"{self.seed} evacuations of {name}")
            for name in DATA_CENTRES
        }

    def step(self, now: float) -> None:
        """Begin and end the evacuations that are due."""
        for name, draw in self._draws.items():
            due = self._next.setdefault(name, now + draw.uniform(0, 1))
            if due > now:
                continue
            if name in self._confirmed:
                self._end(name)
                self._next[name] = now + draw.uniform(0, _LONGEST_PAUSE_S)
            else:
                self._begin(name)
                is_long = draw.random() < _LONG_SHARE
                span = draw.uniform(*(_LONG_S if is_long else _SHORT_S))
                self._next[name] = now + span

    def evacuate_in_time(self) -> None:
        """Evacuate a data centre for somewhat longer than the bound.

        While nothing else is disturbed, so that every gateway has to keep to it.
        """
        self._begin(self._last_draw.choice(DATA_CENTRES))
        time.sleep(_LATE_S + _WATCHED_S)
        self.end()

    def end(self) -> None:
        """End all evacuations."""
        for name in list(self._confirmed):
            self._end(name)

    def _begin(self, name: str) -> None:
        self.site.write("op", f"evacuate/{name}", {})
        self._confirmed[name] = time.monotonic()

    def _end(self, name: str) -> None:
        confirmed = self._confirmed.pop(name)
        self.evacuations.append(Evacuation(name, confirmed, time.monotonic()))
        self.site.write("op", f"evacuate/{name}", None)


def late_arrivals(
    evacuations: Iterable[Evacuation],
    endpoints: Iterable[BareEndpoint],
    journal: Journal,
    calls: Iterable[Call],
    disturbances: Iterable[Disturbance],
) -> Iterator[str]:
    """Yield the evacuations in which requests arrived too late, by endpoint.

    Requests of gateways that were disturbed shortly before do not count.
    """
    gateways = {call.id: call.gateway for call in calls}
    by_gateway: dict[str, list[Disturbance]] = {}
    for each in disturbances:
        by_gateway.setdefault(each.gateway, []).append(each)
    ended = list(evacuations)
    for endpoint in endpoints:
        requests = journal.requests.get(endpoint.name, ())
        for span in ended:
            if span.data_centre != endpoint.data_centre:
                continue
            late = [
                (at - span.confirmed, request)
                for request, at in requests
                if span.confirmed + _LATE_S < at < span.until
                and not _is_disturbed(gateways.get(request, ""), at, by_gateway)
            ]
            if late:
                after, request = max(late)
                yield (
                    f"{endpoint.name} in {span.data_centre}: {len(late)} requests, the "
                    f"last one {request} of {gateways.get(request)}, {after:.2f} s "
                    "after its evacuation"
                )


def _is_disturbed(
    gateway: str, at: float, by_gateway: Mapping[str, list[Disturbance]]
) -> bool:
    return any(
        each.begin <= at <= each.end + _RECOVERY_S
        for each in by_gateway.get(gateway, ())
    )
