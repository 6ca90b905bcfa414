"""One group under coordination: looks, samples, plans and changes its map."""

import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from azurefold.core.balance.placement import Placement
from azurefold.core.balance.plan import MapPlan, map_zero
from azurefold.core.clock import Millis
from azurefold.core.groups.map_change import MapChange, may_take_up, resumed_change
from azurefold.core.groups.map_orders import (
    AskReport,
    ChangeAction,
    ChangeEnd,
    Ended,
    Prepare,
    RankOrder,
    SendOrder,
    Verdict,
    change_policy,
)
from azurefold.core.groups.samples import SampledPopularity
from azurefold.gateway.group_view import GroupView
from azurefold.gateway.map_planning import is_worth_changing, plan_map, sampling_of
from azurefold.gateway.rank_calls import RankCalls
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform.ranks import RankClient, RankReport

__all__ = ["GroupControl", "Row", "new_group_control"]

_log = logging.getLogger("azurefold.gateway")

_LOOK_EVERY_MS: Millis = 1_000
"""Between two looks at all ranks' reports; a broken group is also told by
refusals."""

_LOOK_BROKEN_MS: Millis = 300
_MEMORY_MS: Millis = 900
"""Time constant of the popularity. Longer than a second it lags behind a shift, for
two more samples; much shorter, maps follow the noise of a few ranks' counts."""

_STALE_HOLD_MS: Millis = 500
"""After a change of ours, for which reports may still show its hold."""

_HELD_LOOK_MS: Millis = 200
"""Between two looks while a group is held: its streams stand still."""

_CALLS_AT_ONCE = 24


class Row(Protocol):
    """The coordinator's row, as a control needs it."""

    def next_version(self) -> int | None:
        """Return the version of a new map; None if none may be made."""

    def resign(self) -> None:
        """Give the row up."""


@dataclass(slots=True)
class GroupControl:
    """State of one group and what is under way with it.

    Parameters
    ----------
    state : GatewayState
    service : GatewayService
    row : Row
    """

    state: GatewayState
    service: GatewayService
    row: Row
    view: GroupView | None = None
    _calls: RankCalls = field(default_factory=RankCalls)
    _change: MapChange | None = None
    _planned: tuple[Placement, ...] = ()
    _change_began: Millis = 0
    _arming_ms: Millis = 0
    _looked_at: Millis = -1_000_000
    _sampled_at: Millis = -1_000_000
    _change_ended: Millis = -1_000_000
    _sampled: tuple[int, ...] = ()
    _fresh: bool = False
    _known_popularity: list[list[int]] = field(default_factory=list)
    _planned_epoch: int = 0
    _draw: random.Random = field(default_factory=random.Random)
    _was_whole: bool | None = None

    @property
    def popularity(self) -> list[list[int]]:
        """Popularity of the experts by layer, in thousandths of the layer's."""
        if self.view is None or not self.view.popularity.layers:
            return self._known_popularity
        return [_thousandths(rates) for rates in self.view.popularity.rates]

    @property
    def is_broken(self) -> bool:
        """Whether the group is known not to run."""
        return self._was_whole is False

    @property
    def is_changing(self) -> bool:
        """Whether a change of the map is under way."""
        return self._change is not None

    def tick(self) -> None:
        """Do what is due."""
        now = self.state.clock.now()
        if self._change is not None:
            self._act(self._change.tick(now))
            return
        if now - self._looked_at >= self._look_every():
            self._look()
        view = self.view
        if view is None or not view.is_whole:
            return
        if view.is_held:
            self._take_up_hold(now)
            return
        if not self._knows_map():
            return
        if view.version == 0 and view.epoch != self._planned_epoch:
            self._plan_for_new_epoch()
            return
        sampling = sampling_of(view, self.service.view.engine)
        if now - self._sampled_at >= sampling.every:
            self._sample(sampling.ranks)
            if self._fresh:
                self._fresh = False
                self._plan()

    def close(self) -> None:
        """Stop at once, leaving what is under way to a successor."""
        self._calls.close()

    def _look_every(self) -> Millis:
        return _LOOK_EVERY_MS if self._was_whole else _LOOK_BROKEN_MS

    def _look(self) -> None:
        """Ask all ranks for their reports."""
        self._looked_at = self.state.clock.now()
        endpoints = list(self.service.entries)
        self._calls.keep_only(endpoints)
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
        if self.view is None or self.view.size != report.size:
            popularity = SampledPopularity(_MEMORY_MS)
            popularity.restore(self._known_popularity, now)
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

    def _knows_map(self) -> bool:
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
            self._map_is(version, (zero,) * engine.layer_sets)
            return True
        held = self._ask_ranks(RankClient.held_experts)
        if any(each is None or each.version != version for each in held):
            return False
        layers = zip(*(each.layers for each in held), strict=True)
        self._map_is(
            version,
            tuple(
                Placement(engine.experts, engine.places, tuple(ranks))
                for ranks in layers
            ),
        )
        return True

    def _map_is(self, version: int, placements: tuple[Placement, ...]) -> None:
        view = self.view
        view.placements = placements
        view.placements_version = version
        view.placements_epoch = view.epoch

    def _sample(self, count: int) -> None:
        """Ask a few ranks for their counts."""
        view = self.view
        self._sampled_at = self.state.clock.now()
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
        if heard:
            samples = [sample for sample, _ in heard]
            self._fresh = view.popularity.take(samples, now)

    def _plan_for_new_epoch(self) -> None:
        """Plan at once, from the popularity of before the group formed anew."""
        self._planned_epoch = self.view.epoch
        if self.view.popularity.layers:
            self._plan()

    def _plan(self) -> None:
        """Plan a map for the present popularity, and begin the change if it pays."""
        view = self.view
        plan = plan_map(view, self.service.view.engine)
        pays = is_worth_changing(view, plan)
        log_event(
            _log,
            "map_planned",
            service=self.service.view.name,
            in_force=view.version,
            skew=f"{plan.skew_before:.2f}",
            planned_skew=f"{plan.skew_after:.2f}",
            loads=plan.loads,
            samples=view.popularity.samples,
            pass_ms=f"{view.pass_ms:.1f}",
            outcome="begun" if pays else "kept",
        )
        if pays:
            self._begin(plan)

    def _begin(self, plan: MapPlan) -> None:
        version = self.row.next_version()
        if version is None:
            return
        now = self.state.clock.now()
        view = self.view
        self._planned = plan.placements
        policy = change_policy(view.size, self._arming_ms)
        self._change = MapChange(version, view.epoch, view.size, policy)
        self._change.stepped(view.step, view.step_at)
        self._change_began = now
        self._act(self._change.begin(view.pass_ms, now))

    def _take_up_hold(self, now: Millis) -> None:
        """Bring to its end what another coordinator has left behind.

        Reports are some hundred milliseconds old, and show a hold of our own for
        as long after its end; then a second look decides.
        """
        self._looked_at = now - _LOOK_EVERY_MS + _HELD_LOOK_MS
        if now - self._change_ended < _STALE_HOLD_MS:
            return
        views = [self.view.views[rank] for rank in range(self.view.size)]
        if not may_take_up(views) or self.row.next_version() is None:
            return
        policy = change_policy(self.view.size)
        resumed = resumed_change(views, policy, self.state.clock.now())
        if resumed is None:
            return
        self._change, actions = resumed
        self._planned = ()
        self._change_began = now
        log_event(
            _log,
            "hold_taken_up",
            logging.WARNING,
            service=self.service.view.name,
            version=self._change.version,
            step=self._change.step,
            phase=self._change.phase,
        )
        self._act(actions)

    def _act(self, actions: Iterable[ChangeAction]) -> None:
        for action in actions:
            match action:
                case SendOrder(rank=rank, order=order):
                    self._calls.spawn(self._give, self._change, rank, order)
                case AskReport(rank=rank):
                    self._calls.spawn(self._ask_report, self._change, rank)
                case Ended(end=end):
                    self._ended(end)

    def _give(self, change: MapChange, rank: int, order: RankOrder) -> None:
        client = self._client_of(rank)
        placements = self._planned if isinstance(order, Prepare) else ()
        verdict = client.give(order, change.epoch, placements)
        if change is not self._change:
            return
        if verdict is not Verdict.ACCEPTED:
            log_event(
                _log,
                "order_not_accepted",
                logging.WARNING,
                service=self.service.view.name,
                version=change.version,
                rank=rank,
                order=order,
                verdict=verdict.value,
                phase=change.phase,
            )
        self._act(change.answered(rank, order, verdict, self.state.clock.now()))

    def _ask_report(self, change: MapChange, rank: int) -> None:
        report = self._client_of(rank).report()
        if change is not self._change or report is None:
            return
        now = self.state.clock.now()
        self.view.stepped(report.view.step, now)
        self._act(change.reported(report.view, now))

    def _ended(self, end: ChangeEnd) -> None:
        now = self.state.clock.now()
        change, self._change = self._change, None
        log_event(
            _log,
            "map_change_ended",
            service=self.service.view.name,
            version=change.version,
            end=end.value,
            step=change.step,
            took_ms=now - self._change_began,
            arming_ms=change.arming_ms,
            lead_ms=change.policy.lead,
        )
        # Longer at once, shorter by and by: a lead too short stops the group.
        mean = (self._arming_ms + change.arming_ms) // 2
        self._arming_ms = max(change.arming_ms, mean)
        self._looked_at = -1_000_000
        self._sampled_at = self._change_ended = now
        if end is ChangeEnd.IN_FORCE and self._planned:
            self._map_is(change.version, self._planned)
        if end is ChangeEnd.STUCK:
            self.row.resign()

    def _client_of(self, rank: int) -> RankClient:
        return self._client(self.view.endpoints[rank])

    def _client(self, endpoint: str) -> RankClient:
        return self._calls.client(endpoint, self.service.entries[endpoint].address)

    def _ask_ranks(self, question: Callable[[RankClient], object]) -> list:
        ranks = range(self.view.size)
        return self._ask_all([self.view.endpoints[rank] for rank in ranks], question)

    def _ask_all(
        self, endpoints: list[str], question: Callable[[RankClient], object]
    ) -> list:
        clients = [self._client(name) for name in endpoints]
        return self._calls.ask_all(clients, question)


def new_group_control(
    state: GatewayState,
    service: GatewayService,
    row: Row,
    popularity: list[list[int]],
) -> GroupControl:
    """Return the control of a service's group.

    Parameters
    ----------
    state : GatewayState
    service : GatewayService
    row : Row
    popularity : list of list of int
        As the last coordinator saw it; empty if there was none.
    """
    engine = service.view.engine
    shape = [engine.experts] * engine.layer_sets
    fits = [len(layer) for layer in popularity] == shape
    known = popularity if fits else []
    return GroupControl(state, service, row, _known_popularity=known)


def _thousandths(rates: tuple[float, ...]) -> list[int]:
    total = sum(rates) or 1.0
    return [round(1_000 * rate / total) for rate in rates]
