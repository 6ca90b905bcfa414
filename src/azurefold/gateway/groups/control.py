"""One group under coordination: when to look, to sample, and to change its map."""

import logging
from dataclasses import dataclass

from azurefold.core.balance.plan import MapPlan
from azurefold.gateway.groups.changes import GroupChanges, Row
from azurefold.gateway.groups.map_planning import (
    is_worth_changing,
    plan_map,
    sampling_of,
)
from azurefold.gateway.groups.watch import GroupWatch
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event

__all__ = ["GroupControl", "new_group_control"]

_log = logging.getLogger("azurefold.gateway")


@dataclass(slots=True)
class GroupControl:
    """Decides for one group; made by :func:`new_group_control`.

    Parameters
    ----------
    watch : GroupWatch
    changes : GroupChanges
    """

    watch: GroupWatch
    changes: GroupChanges
    _fresh: bool = False
    _planned_epoch: int = 0

    @property
    def popularity(self) -> list[list[int]]:
        """Popularity of the experts by layer, in thousandths of the layer's."""
        return self.watch.popularity

    @property
    def is_broken(self) -> bool:
        """Whether the group is known not to run."""
        return self.watch.is_broken

    @property
    def is_changing(self) -> bool:
        """Whether a change of the map is under way."""
        return self.changes.is_under_way

    def tick(self) -> None:
        """Do what is due."""
        if self.changes.is_under_way:
            self.changes.tick()
            return
        self.watch.look_if_due()
        view = self.watch.view
        if view is None or not view.is_whole:
            return
        if view.is_held:
            self.changes.take_up_hold()
        elif self.watch.knows_map():
            self._balance()

    def close(self) -> None:
        """Stop at once, leaving what is under way to a successor."""
        self.watch.calls.close()

    def _balance(self) -> None:
        view = self.watch.view
        if view.version == 0 and view.epoch != self._planned_epoch:
            self._plan_for_new_epoch()
            return
        service = self.watch.service
        now = self.watch.state.clock.now()
        longest_gap = service.recent_gap.longest(now)
        sampling = sampling_of(view, service.view.engine, longest_gap)
        if now - self.watch.sampled_at < sampling.every:
            return
        self._fresh |= self.watch.sample(sampling.ranks)
        if self._fresh and self.changes.is_switched:
            self._fresh = False
            self._plan()

    def _plan_for_new_epoch(self) -> None:
        """Plan at once, from the popularity of before the group formed anew."""
        view = self.watch.view
        self._planned_epoch = view.epoch
        if view.popularity.layers:
            self._plan()

    def _plan(self) -> None:
        """Plan a map for the present popularity, and begin the change if it pays."""
        service = self.watch.service
        plan = plan_map(self.watch.view, service.view.engine)
        longest_gap = service.recent_gap.longest(self.watch.state.clock.now())
        pays = is_worth_changing(plan, longest_gap)
        self._log_plan(plan, longest_gap, pays=pays)
        if pays:
            self.changes.begin(plan)

    def _log_plan(self, plan: MapPlan, longest_gap: int, *, pays: bool) -> None:
        view = self.watch.view
        log_event(
            _log,
            "map_planned",
            service=self.watch.service.view.name,
            in_force=view.version,
            skew=f"{plan.skew_before:.2f}",
            planned_skew=f"{plan.skew_after:.2f}",
            loads=plan.loads,
            samples=view.popularity.samples,
            pass_ms=f"{view.pass_ms:.1f}",
            longest_gap_ms=longest_gap,
            outcome="begun" if pays else "kept",
        )


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
    watch = GroupWatch(state, service, popularity if fits else [])
    return GroupControl(watch, GroupChanges(watch, row))
