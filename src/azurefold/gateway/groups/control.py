"""The groups of one service under coordination: when to look, sample and change."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from azurefold.core.balance.plan import MapPlan
from azurefold.core.clock import Millis
from azurefold.core.groups.progress import (
    LoopProgress,
    ProgressMonitor,
    ProgressPolicy,
    StallReason,
)
from azurefold.core.routing.peer_loads import endpoint_hash
from azurefold.core.routing.rank_groups import GroupStatus
from azurefold.gateway.groups.changes import GroupChanges, Row
from azurefold.gateway.groups.map_planning import (
    is_worth_changing,
    pass_share,
    plan_map,
    sampling_of,
)
from azurefold.gateway.groups.watch import GroupWatch, SampleCause, ServiceWatch
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.internal.loops import spawn_loop

__all__ = ["GroupControl", "ServiceControl", "Stall", "new_service_control"]

_log = logging.getLogger("azurefold.gateway")

_SECOND_MS = 1_000
_TICK_MS: Millis = 20
"""The finest step of a change; a group's pass takes some 50 ms."""

_SETTLING_MS: Millis = 180
"""Between a sample in which popularity jumped, or passes grew longer, and the next
one: long enough for three passes' counts, and a third of what a change takes."""


_LOOK_LOOP = "look"
_LOOK_PROGRESS = ProgressPolicy(checks_while_urgent=7)
"""A loop that failed is run again after a second."""

_GOOD_SKEW = 1.15
"""Planned skew above which a change is followed by another one for the same
popularity, without waiting for the next sample."""


@dataclass(frozen=True, slots=True)
class Stall:
    """A loop of the coordinator that has stopped making progress.

    Parameters
    ----------
    service, loop : str
        ``loop`` is a group's name, or that of a loop for all groups.
    reason : StallReason
    """

    service: str
    loop: str
    reason: StallReason


@dataclass(slots=True)
class GroupControl:
    """Decides for one group.

    Parameters
    ----------
    watch : GroupWatch
    changes : GroupChanges
    """

    watch: GroupWatch
    changes: GroupChanges
    _planned_samples: int = 0
    _is_partly_done: bool = False
    _planned_epoch: int = 0
    _turns: int = 0
    _monitor: ProgressMonitor = field(default_factory=ProgressMonitor)

    @property
    def is_changing(self) -> bool:
        """Whether a change of the map is under way."""
        return self.changes.is_under_way

    @property
    def is_urgent(self) -> bool:
        """Whether the group may be held, so that its streams stand still."""
        return self.is_changing or self.watch.view.is_held

    def run(self) -> None:
        """Do what is due, for ever: at each answer of a rank, and at each tick."""
        while True:
            self._turns += 1
            self.tick()
            self.changes.wait(_TICK_MS)

    def check_progress(self) -> StallReason | None:
        """Return why the loop counts as stalled, at one of regular checks."""
        overdue = self.changes.overdue
        return self._monitor.check(LoopProgress(self._turns, self.is_urgent, overdue))

    def tick(self) -> None:
        """Do what is due."""
        was_under_way = self.changes.is_under_way
        self.changes.tick()
        if was_under_way:
            return
        view = self.watch.view
        if not view.is_whole:
            return
        if view.is_held:
            self.changes.take_up_hold()
        elif self._is_plan_due() and self.watch.knows_map():
            self._plan()

    def _is_plan_due(self) -> bool:
        """Whether the popularity is newer than the last plan, or the group is.

        A group that has formed anew has a map that fits no popularity: it is planned
        for at once, from the popularity of before.
        """
        view = self.watch.view
        popularity = self.watch.of_service.popularity
        if not popularity.layers:
            return False
        if view.version == 0 and view.epoch != self._planned_epoch:
            return True
        is_newer = popularity.usable_rounds != self._planned_samples
        return (is_newer or self._is_partly_done) and self.changes.is_switched

    def _plan(self) -> None:
        """Plan a map for the present popularity, and begin the change if it pays."""
        service = self.watch.service
        popularity = self.watch.of_service.popularity
        self._planned_samples = popularity.usable_rounds
        self._planned_epoch = self.watch.view.epoch
        plan = plan_map(self.watch.view, popularity.rates, service.view.engine)
        share = pass_share(self.watch.view.pass_ms, service.promised_gap_ms)
        pays = is_worth_changing(plan, share)
        # One change loads for half a second at most; what is left follows at once.
        self._is_partly_done = pays and plan.skew_after > _GOOD_SKEW
        self._log_plan(plan, pays=pays)
        if pays:
            self.changes.begin(plan)

    def _log_plan(self, plan: MapPlan, *, pays: bool) -> None:
        view = self.watch.view
        log_event(
            _log,
            "map_planned",
            service=self.watch.service.view.name,
            group=view.name,
            in_force=view.version,
            skew=f"{plan.skew_before:.2f}",
            planned_skew=f"{plan.skew_after:.2f}",
            loads=plan.weight_loads,
            samples=self._planned_samples,
            pass_ms=f"{view.pass_ms:.1f}",
            promised_gap_ms=self.watch.service.promised_gap_ms,
            outcome="begun" if pays else "kept",
        )


@dataclass(slots=True)
class ServiceControl:
    """Coordinates all groups of one service; made by :func:`new_service_control`.

    Each group has a loop of its own, as have the looks at reports and the samples
    of counts: a group that waits for a silent rank, or whose plan is being made,
    holds up none of the others.

    Parameters
    ----------
    watch : ServiceWatch
    row : Row
    """

    watch: ServiceWatch
    row: Row
    _controls: dict[str, GroupControl] = field(default_factory=dict)
    _loops: list[gevent.Greenlet] = field(default_factory=list)
    _looks: int = 0
    _look_monitor: ProgressMonitor = field(
        default_factory=lambda: ProgressMonitor(_LOOK_PROGRESS)
    )

    @property
    def popularity(self) -> list[list[int]]:
        """Popularity of the experts by layer, in thousandths of the layer's."""
        return self.watch.thousandths

    @property
    def is_changing(self) -> bool:
        """Whether a change of any group's map is under way."""
        return any(control.is_changing for control in self._controls.values())

    @property
    def is_urgent(self) -> bool:
        """Whether any group may be held."""
        return any(control.is_urgent for control in self._controls.values())

    @property
    def news(self) -> tuple[GroupStatus, ...]:
        """What the other gateways are told of the groups."""
        service = self.watch.service.view.name
        return tuple(
            GroupStatus(
                endpoint_hash(service),
                endpoint_hash(f"{service}/{view.name}"),
                view.epoch,
                view.standing,
                tuple(sorted(map(endpoint_hash, view.endpoints.values()))),
                view.running,
            )
            for view in self.watch.groups.values()
            if view.views
        )

    def start(self) -> None:
        """Begin to coordinate."""
        self._spawn(_for_ever, self._look)
        self._spawn(_for_ever, self._sample)

    def find_stall(self) -> Stall | None:
        """Return a loop that has stalled, if any, at one of regular checks."""
        if not self._loops:
            return None
        # Without reports nobody knows whether a group is held.
        looking = self._look_monitor.check(LoopProgress(self._looks, is_urgent=True))
        reasons = {_LOOK_LOOP: looking}
        reasons |= {
            name: each.check_progress() for name, each in self._controls.items()
        }
        service = self.watch.service.view.name
        stalls = (Stall(service, name, why) for name, why in reasons.items() if why)
        return next(stalls, None)

    def close(self) -> None:
        """Stop at once, leaving what is under way to a successor."""
        gevent.killall(self._loops, block=False)
        self.watch.calls.close()

    def _spawn(self, loop: Callable[..., None], *arguments: object) -> None:
        self._loops.append(spawn_loop(loop, *arguments))

    def _look(self) -> None:
        self._looks += 1
        self.watch.look_at_due()
        for name in self.watch.groups.keys() - self._controls.keys():
            watch = GroupWatch(self.watch, name)
            control = GroupControl(watch, GroupChanges(watch, self.row))
            self._controls[name] = control
            self._spawn(control.run)

    def _sample(self) -> None:
        watch = self.watch
        if not watch.is_busy:
            return
        now = watch.state.clock.now()
        views = watch.groups.values()
        largest = max((view.size for view in views), default=0)
        longest = max((view.pass_ms for view in views), default=0.0)
        sampling = sampling_of(
            largest,
            watch.popularity.usable_rounds,
            watch.service.view.engine,
            pass_share(longest, watch.service.promised_gap_ms),
        )
        why = self._why_sooner(now)
        every = sampling.every if why is SampleCause.REGULAR else _SETTLING_MS
        if now - watch.sampled_at >= every:
            watch.service.event_gap_monitor.reset_baseline(now)
            watch.sample(sampling.ranks, why)

    def _why_sooner(self, now: Millis) -> SampleCause:
        """Return what calls for a sample before the regular one, if anything does."""
        if self.watch.popularity.is_unsettled:
            return SampleCause.UNSETTLED
        if self.watch.service.event_gap_monitor.has_increased(now):
            return SampleCause.PASSES_GREW
        return SampleCause.REGULAR


def _for_ever(step: Callable[[], None]) -> None:
    while True:
        step()
        gevent.sleep(_TICK_MS / _SECOND_MS)


def new_service_control(
    state: GatewayState,
    service: GatewayService,
    row: Row,
    popularity: list[list[int]],
) -> ServiceControl:
    """Return the control of a service's groups, not yet started.

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
    watch = ServiceWatch(state, service)
    if [len(layer) for layer in popularity] == shape:
        watch.popularity.restore(popularity)
    return ServiceControl(watch, row)
