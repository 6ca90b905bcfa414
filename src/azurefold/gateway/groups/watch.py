"""What the coordinator sees of a service's groups: reports, maps, counts."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from itertools import zip_longest
from operator import methodcaller

from azurefold.core.balance.placement import Placement
from azurefold.core.balance.plan import initial_placement
from azurefold.core.clock import Millis
from azurefold.core.groups.sampled_popularity import SampledPopularity
from azurefold.core.routes.model import Engine
from azurefold.gateway.groups.rank_calls import RankCalls
from azurefold.gateway.groups.view import GroupView
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform.ranks import HeldExperts, RankClient, RankReport

__all__ = ["GroupWatch", "SampleCause", "ServiceWatch"]

_log = logging.getLogger("azurefold.gateway")

_LOOK_EVERY_MS: Millis = 1_000
"""Between two looks at a rank's report; a broken group is also told by refusals."""

_LOOK_BROKEN_MS: Millis = 300
"""The same while its group is not whole, or not known."""

_LOOK_HELD_MS: Millis = 200
"""The same while its group is held: its streams stand still."""

_MEMORY_MS: Millis = 4_000
"""Time constant of the popularity between two jumps."""

_MOST_SAMPLED = 4
"""Groups of a service up to which each has a rank that is sampled."""

_LONG_AGO: Millis = -1_000_000


class SampleCause(StrEnum):
    """Why ranks are asked for their counts."""

    REGULAR = "regular"
    UNSETTLED = "unsettled"
    PASSES_GREW = "passes_grew"


@dataclass(slots=True)
class ServiceWatch:
    """Reports and counts of all ranks of one service, as they were last asked for.

    The groups of a service serve the same requests, so the counts of a few ranks,
    whatever their groups, tell the popularity of all. On a day with two groups their
    popularity differed by 0.16 in total variation, and each moved by 0.3 to 0.6 at a
    time, both at once.

    Parameters
    ----------
    state : GatewayState
    service : GatewayService
    popularity : SampledPopularity
    calls : RankCalls
    groups : dict of str to GroupView
        By the group's name.
    sampled_at : int
        When a few ranks were last asked for their counts.
    """

    state: GatewayState
    service: GatewayService
    popularity: SampledPopularity = field(
        default_factory=lambda: SampledPopularity(_MEMORY_MS)
    )
    calls: RankCalls = field(default_factory=RankCalls)
    groups: dict[str, GroupView] = field(default_factory=dict)
    sampled_at: Millis = _LONG_AGO
    _group_of: dict[str, str] = field(default_factory=dict)
    _born: dict[str, int] = field(default_factory=dict)
    _asked_at: dict[str, Millis] = field(default_factory=dict)
    _asking: set[str] = field(default_factory=set)
    _whole: dict[str, bool] = field(default_factory=dict)
    _sampled: tuple[str, ...] = ()
    _draw: random.Random = field(default_factory=random.Random)

    @property
    def thousandths(self) -> list[list[int]]:
        """Popularity of the experts by layer, in thousandths of the layer's."""
        return [_thousandths(rates) for rates in self.popularity.rates]

    @property
    def is_busy(self) -> bool:
        """Whether ranks have requests, as far as this node knows.

        Counts of ranks at rest tell nothing and have a price: those read in the 12 s
        before the first request were a quarter of a day's.
        """
        if self.service.admission.pool.in_flight:
            return True
        views = self.groups.values()
        return any(
            rank.active_requests for view in views for rank in view.views.values()
        )

    def look_at_due(self) -> None:
        """Ask each rank whose last report is old for another one.

        Each answer is taken in as it comes: a rank that is silent for the whole
        timeout holds up the reports of no other.
        """
        now = self.state.clock.now()
        self._forget_gone()
        # By group, not by endpoint: judging a group takes a look at all its ranks.
        intervals = {name: _look_every(view) for name, view in self.groups.items()}
        for endpoint in self.service.entries:
            asked = self._asked_at.get(endpoint, _LONG_AGO)
            group = self._group_of.get(endpoint)
            every = intervals.get(group, _LOOK_BROKEN_MS)
            if endpoint in self._asking or now - asked < every:
                continue
            self._asked_at[endpoint] = now
            self._asking.add(endpoint)
            self.calls.submit(partial(self._ask_report, endpoint))

    def look_soon(self, view: GroupView) -> None:
        """Have the next look at a group's ranks be due at once."""
        for endpoint in view.endpoints.values():
            self._asked_at.pop(endpoint, None)

    def client(self, endpoint: str) -> RankClient:
        """Return the client of an endpoint."""
        return self.calls.client(endpoint, self.service.entries[endpoint].address)

    def sample(self, count: int, why: SampleCause) -> bool:
        """Ask a few ranks for their counts; return whether popularity is newer."""
        asked_at = self.state.clock.now()
        age_ms = asked_at - self.sampled_at if self._sampled else 0
        self.sampled_at = asked_at
        self._choose_sampled(count)
        if not self._sampled:
            return False
        engine = self.service.view.engine
        answers = self.calls.ask_all(
            [self.client(endpoint) for endpoint in self._sampled],
            lambda client: client.counts(engine.layer_sets, engine.experts),
        )
        now = self.state.clock.now()
        heard = [answer for answer in answers if answer is not None]
        for sample, step in heard:
            view = self.groups.get(self._group_of.get(sample.endpoint, ""))
            if view is not None:
                view.stepped(step, now)
        if not heard:
            return False
        fresh = self.popularity.add_counts([sample for sample, _ in heard], now)
        log_event(
            _log,
            "popularity_sampled",
            service=self.service.view.name,
            ranks=len(heard),
            why=why,
            since_last_ms=age_ms,
            took_ms=now - asked_at,
            distance=f"{self.popularity.last_distance:.2f}",
            noise=f"{self.popularity.noise:.2f}",
            outcome="fresh" if fresh else "unsettled",
        )
        return fresh

    def _choose_sampled(self, count: int) -> None:
        """Keep asking the same ranks while they run: counts tell by their growth."""
        whole = {view.name: view for view in self.groups.values() if view.is_whole}
        wanted = max(count, len(whole)) if len(whole) <= _MOST_SAMPLED else count
        kept = {name for name in self._sampled if self._group_of.get(name) in whole}
        if kept == set(self._sampled) and len(kept) == wanted:
            return
        # Each group has its turn: counts also tell how far its passes are.
        turns = [self._shuffled(view, kept) for view in whole.values()]
        ranks = [rank for turn in zip_longest(*turns) for rank in turn if rank]
        self._sampled = tuple(ranks[:wanted])

    def _shuffled(self, view: GroupView, first: set[str]) -> list[str]:
        """Return a group's endpoints in any order, those of ``first`` first."""
        names = [n for n in view.endpoints.values() if n in self.service.entries]
        self._draw.shuffle(names)
        return sorted(names, key=lambda name: name not in first)

    def _ask_report(self, endpoint: str) -> None:
        """Ask a rank for its report; runs as a call."""
        try:
            if endpoint not in self.service.entries:
                return
            report = self.client(endpoint).report()
        finally:
            self._asking.discard(endpoint)
        if endpoint in self.service.entries:
            self.take_report(endpoint, report, self.state.clock.now())

    def take_report(
        self, endpoint: str, report: RankReport | None, now: Millis
    ) -> None:
        """Take in a rank's report, or that it gave none."""
        if report is None:
            view = self.groups.get(self._group_of.get(endpoint, ""))
            if view is not None:
                view.silent(endpoint)
                self._note_whole(view)
            return
        entry = self.service.entries.get(endpoint)
        born = max(self._born.get(endpoint, 0), entry.started_at_ms if entry else 0)
        if report.born < born:
            # Sent before the endpoint started again; it came late.
            return
        if report.born > born:
            self._born[endpoint] = report.born
            self.popularity.discard_endpoint(endpoint)
        self._join(endpoint, report)
        view = self.groups[report.group]
        view.reported(endpoint, report.view, now)
        self._note_whole(view)

    def _join(self, endpoint: str, report: RankReport) -> None:
        """Put an endpoint into the group that it reports, and out of any other.

        What goes wrong if the ranks of a service are taken for one group: ranks of
        two are armed for a pass that only one of them is held before, and a group
        runs a pass under two maps.
        """
        known = self._group_of.get(endpoint)
        if known is not None and known != report.group:
            self._leave(endpoint)
        self._group_of[endpoint] = report.group
        view = self.groups.get(report.group)
        if view is None or view.size != report.size:
            self.groups[report.group] = GroupView(report.group, report.size)

    def _leave(self, endpoint: str) -> None:
        view = self.groups.get(self._group_of.pop(endpoint, ""))
        if view is not None:
            view.silent(endpoint)
            self._note_whole(view)

    def _forget_gone(self) -> None:
        gone = self._group_of.keys() - self.service.entries.keys()
        for endpoint in gone:
            self._leave(endpoint)
            self._born.pop(endpoint, None)
            self.popularity.discard_endpoint(endpoint)
        if gone:
            self.calls.keep_only(self.service.entries)

    def _note_whole(self, view: GroupView) -> None:
        whole = view.is_whole
        if whole == self._whole.get(view.name):
            return
        self._whole[view.name] = whole
        log_event(
            _log,
            "group_whole" if whole else "group_broken",
            service=self.service.view.name,
            group=view.name,
            epoch=view.epoch,
            ranks=len(view.views),
            size=view.size,
            endpoints=len(self.service.entries),
        )


@dataclass(slots=True)
class GroupWatch:
    """One group of a watched service.

    Parameters
    ----------
    of_service : ServiceWatch
    name : str
        Of the group.
    """

    of_service: ServiceWatch
    name: str

    @property
    def view(self) -> GroupView:
        """Reports of the group's ranks, and its map."""
        return self.of_service.groups[self.name]

    @property
    def service(self) -> GatewayService:
        """The service that the group belongs to."""
        return self.of_service.service

    @property
    def state(self) -> GatewayState:
        """Of this process."""
        return self.of_service.state

    @property
    def calls(self) -> RankCalls:
        """Calls to the ranks of the service."""
        return self.of_service.calls

    def knows_map(self) -> bool:
        """Find out the map in force, if it is not known; return whether it is."""
        view = self.view
        version = view.version
        if version is None:
            return False
        known = (view.placements_version, view.placements_epoch)
        if known == (version, view.epoch):
            return True
        engine = self.service.view.engine
        if version == 0:
            zero = initial_placement(
                engine.experts, engine.expert_slots_per_rank, view.size
            )
            self.map_is(version, (zero,) * engine.layer_sets)
            return True
        held = self._ask_ranks(methodcaller("held_experts"))
        if any(each is None or each.version != version for each in held):
            return False
        if not all(_matches_engine(each, engine) for each in held):
            return False
        layers = zip(*(each.layers for each in held), strict=True)
        placements = tuple(
            Placement(engine.experts, engine.expert_slots_per_rank, tuple(ranks))
            for ranks in layers
        )
        if any(placement.find_violations() for placement in placements):
            return False
        self.map_is(version, placements)
        return True

    def map_is(self, version: int, placements: tuple[Placement, ...]) -> None:
        """Note the map that is in force."""
        view = self.view
        view.placements = placements
        view.placements_version = version
        view.placements_epoch = view.epoch

    def look_soon(self) -> None:
        """Have the next look at all ranks be due at once."""
        self.of_service.look_soon(self.view)

    def client_of(self, rank: int) -> RankClient | None:
        """Return the client of a rank; None while nobody has that number."""
        endpoint = self.view.endpoints.get(rank)
        if endpoint is None or endpoint not in self.service.entries:
            return None
        return self.of_service.client(endpoint)

    def _ask_ranks(self, question: Callable[[RankClient], object]) -> list:
        clients = [self.client_of(rank) for rank in range(self.view.size)]
        if None in clients:
            return [None] * len(clients)
        return self.calls.ask_all(clients, question)


def _matches_engine(held: HeldExperts, engine: Engine) -> bool:
    """Whether the reported experts match the engine's layers and experts."""
    is_complete = len(held.layers) == engine.layer_sets
    return is_complete and all(
        expert < engine.experts for layer in held.layers for expert in layer
    )


def _look_every(view: GroupView) -> Millis:
    if not view.is_whole:
        return _LOOK_BROKEN_MS
    return _LOOK_HELD_MS if view.is_held else _LOOK_EVERY_MS


def _thousandths(rates: tuple[float, ...]) -> list[int]:
    total = sum(rates) or 1.0
    return [round(1_000 * rate / total) for rate in rates]
