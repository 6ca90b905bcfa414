"""What the coordinator sees of one group: reports, the map in force, counts."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from azurefold.core.balance.placement import Placement
from azurefold.core.balance.plan import map_zero
from azurefold.core.clock import Millis
from azurefold.core.groups.samples import SampledPopularity
from azurefold.gateway.groups.rank_calls import RankCalls
from azurefold.gateway.groups.view import GroupView
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform.ranks import RankClient, RankReport

__all__ = ["GroupWatch"]

_log = logging.getLogger("azurefold.gateway")

_LOOK_EVERY_MS: Millis = 1_000
"""Between two looks at all ranks' reports; a broken group is also told by
refusals."""

_LOOK_BROKEN_MS: Millis = 300

_LOOK_HELD_MS: Millis = 200
"""Between two looks while a group is held: its streams stand still."""

_MEMORY_MS: Millis = 900
"""Time constant of the popularity. Longer than a second it lags behind a shift, for
two more samples; much shorter, maps follow the noise of a few ranks' counts."""

_LONG_AGO: Millis = -1_000_000


@dataclass(slots=True)
class GroupWatch:
    """Reports and counts of one group's ranks, as they were last asked for.

    Parameters
    ----------
    state : GatewayState
    service : GatewayService
    known_popularity : list of list of int
        As the last coordinator saw it; empty if there was none.
    calls : RankCalls
    view : GroupView or None
        None until a rank has reported.
    looked_at, sampled_at : int
        When all ranks were last asked for reports, and a few for counts.
    """

    state: GatewayState
    service: GatewayService
    known_popularity: list[list[int]] = field(default_factory=list)
    calls: RankCalls = field(default_factory=RankCalls)
    view: GroupView | None = None
    looked_at: Millis = _LONG_AGO
    sampled_at: Millis = _LONG_AGO
    _sampled: tuple[int, ...] = ()
    _draw: random.Random = field(default_factory=random.Random)
    _was_whole: bool | None = None

    @property
    def popularity(self) -> list[list[int]]:
        """Popularity of the experts by layer, in thousandths of the layer's."""
        if self.view is None or not self.view.popularity.layers:
            return self.known_popularity
        return [_thousandths(rates) for rates in self.view.popularity.rates]

    @property
    def is_broken(self) -> bool:
        """Whether the group is known not to run."""
        return self._was_whole is False

    def look_if_due(self) -> None:
        """Ask all ranks for their reports if the last ones are old."""
        if self.state.clock.now() - self.looked_at >= self._look_every():
            self._look()

    def look_soon(self) -> None:
        """Have the next look be due at once."""
        self.looked_at = _LONG_AGO

    def _look_every(self) -> Millis:
        if not self._was_whole:
            return _LOOK_BROKEN_MS
        return _LOOK_HELD_MS if self.view.is_held else _LOOK_EVERY_MS

    def _look(self) -> None:
        """Ask all ranks for their reports."""
        self.looked_at = self.state.clock.now()
        endpoints = list(self.service.entries)
        self.calls.keep_only(endpoints)
        reports = self._ask_all(endpoints, RankClient.report)
        now = self.state.clock.now()
        for endpoint, report in zip(endpoints, reports, strict=True):
            self._take_report(endpoint, report, now)
        self._note_whole()

    def _take_report(
        self, endpoint: str, report: RankReport | None, now: Millis
    ) -> None:
        if report is None:
            if self.view is not None:
                self.view.silent(endpoint)
            return
        if self.view is not None and self.view.name != report.group:
            # Ranks of a service may form several groups. Taken for one, ranks of
            # both would be armed for a pass that only one of them is held before,
            # and a group would run a pass under two maps.
            return
        if self.view is None or self.view.size != report.size:
            popularity = SampledPopularity(_MEMORY_MS)
            popularity.restore(self.known_popularity, now)
            self.view = GroupView(report.group, report.size, popularity)
        self.view.reported(endpoint, report.view, now)

    def _note_whole(self) -> None:
        view = self.view
        whole = view is not None and view.is_whole
        if whole == self._was_whole:
            return
        self._was_whole = whole
        log_event(
            _log,
            "group_whole" if whole else "group_broken",
            service=self.service.view.name,
            epoch=view.epoch if view else "unknown",
            ranks=len(view.views) if view else 0,
            size=view.size if view else "unknown",
            endpoints=len(self.service.entries),
        )

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
            zero = map_zero(engine.experts, engine.places, view.size)
            self.map_is(version, (zero,) * engine.layer_sets)
            return True
        held = self._ask_ranks(RankClient.held_experts)
        if any(each is None or each.version != version for each in held):
            return False
        layers = zip(*(each.layers for each in held), strict=True)
        self.map_is(
            version,
            tuple(
                Placement(engine.experts, engine.places, tuple(ranks))
                for ranks in layers
            ),
        )
        return True

    def map_is(self, version: int, placements: tuple[Placement, ...]) -> None:
        """Note the map that is in force."""
        view = self.view
        view.placements = placements
        view.placements_version = version
        view.placements_epoch = view.epoch

    def sample(self, count: int) -> bool:
        """Ask a few ranks for their counts; return whether popularity is newer."""
        view = self.view
        self.sampled_at = self.state.clock.now()
        if len(self._sampled) != count:
            self._sampled = tuple(self._draw.sample(range(view.size), count))
        n_layers = self.service.view.engine.layer_sets
        endpoints = [view.endpoints[rank] for rank in self._sampled]
        ranks = dict(zip(endpoints, self._sampled, strict=True))
        answers = self._ask_all(
            endpoints,
            lambda client: client.counts(ranks[client.endpoint], n_layers),
        )
        now = self.state.clock.now()
        heard = [answer for answer in answers if answer is not None]
        for _, step in heard:
            view.stepped(step, now)
        if not heard:
            return False
        return view.popularity.take([sample for sample, _ in heard], now)

    def client_of(self, rank: int) -> RankClient:
        """Return the client of a rank."""
        return self._client(self.view.endpoints[rank])

    def _client(self, endpoint: str) -> RankClient:
        return self.calls.client(endpoint, self.service.entries[endpoint].address)

    def _ask_ranks(self, question: Callable[[RankClient], object]) -> list:
        ranks = range(self.view.size)
        return self._ask_all([self.view.endpoints[rank] for rank in ranks], question)

    def _ask_all(
        self, endpoints: list[str], question: Callable[[RankClient], object]
    ) -> list:
        clients = [self._client(name) for name in endpoints]
        return self.calls.ask_all(clients, question)


def _thousandths(rates: tuple[float, ...]) -> list[int]:
    total = sum(rates) or 1.0
    return [round(1_000 * rate / total) for rate in rates]
