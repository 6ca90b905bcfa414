"""What the coordinator knows of one group of ranks."""

from dataclasses import dataclass, field

from azurefold.core.balance.placement import Placement
from azurefold.core.clock import Millis
from azurefold.core.groups.map_orders import REPORT_AGE_MS, RankView
from azurefold.core.routing.rank_groups import Standing

__all__ = ["GroupView"]

_PASS_SMOOTHING = 0.7
_USUAL_PASS_MS = 60.0
_STEP_KEPT_MS: Millis = 2_000
"""For which a pass that was told with counts goes before those in reports, which are
behind by a varying time."""


@dataclass(slots=True)
class GroupView:
    """Ranks, their reports and the map in force.

    Parameters
    ----------
    name : str
    size : int
        Ranks that it has when whole.
    endpoints : dict of int to str
        By rank.
    views : dict of int to RankView
        The last report of each rank.
    placements : tuple of Placement or None
        Of the map in force, by layer; None until it is known.
    placements_version, placements_epoch : int
        Of the map that ``placements`` belong to; -1 until it is known.
    pass_ms : float
        Time that a pass takes.
    heard_at : dict of int to int
        When each rank's last report came.
    """

    name: str
    size: int
    endpoints: dict[int, str] = field(default_factory=dict)
    views: dict[int, RankView] = field(default_factory=dict)
    placements: tuple[Placement, ...] | None = None
    placements_version: int = -1
    placements_epoch: int = -1
    pass_ms: float = _USUAL_PASS_MS
    heard_at: dict[int, Millis] = field(default_factory=dict)
    _step: int = 0
    _step_at: Millis = 0

    @property
    def is_whole(self) -> bool:
        """Whether all ranks report that the group runs, in one epoch."""
        if len(self.views) < self.size:
            return False
        views = self.views.values()
        one_epoch = len({view.epoch for view in views}) == 1
        return one_epoch and all(view.is_running for view in views)

    @property
    def standing(self) -> Standing:
        """Whether the group runs, by the ranks that report.

        A rank that gives this node no report shows only that the two do not reach
        each other: told as a group that is down, one gateway's bad path would keep
        all others from a group that runs.
        """
        if all(view.is_running for view in self.views.values()):
            return Standing.RUNS
        return Standing.FORMS if len(self.views) == self.size else Standing.DOWN

    @property
    def running(self) -> float | None:
        """Requests that each rank runs, on average; None without any report."""
        views = self.views.values()
        return (
            sum(view.active_requests for view in views) / len(views) if views else None
        )

    @property
    def epoch(self) -> int:
        """The latest that any rank reports."""
        return max((view.epoch for view in self.views.values()), default=0)

    @property
    def version(self) -> int | None:
        """The map in force; None while ranks report several.

        Reports are some hundred milliseconds old. Right after a change they
        still name the map before it, and a plan made from that would load
        weights that the ranks have, and drop others that they need.
        """
        newest = max((view.version for view in self.views.values()), default=0)
        if self.placements_epoch == self.epoch and newest <= self.placements_version:
            return self.placements_version
        versions = {view.version for view in self.views.values()}
        return versions.pop() if len(versions) == 1 else None

    @property
    def highest_version(self) -> int:
        """Of all maps that ranks report to have in force, prepared or armed."""
        views = self.views.values()
        versions = (
            v
            for each in views
            for v in (each.version, each.prepared_version, each.armed_version)
        )
        return max(filter(None, versions), default=0)

    @property
    def is_held(self) -> bool:
        """Whether any rank keeps the group from a pass."""
        return any(view.held_step is not None for view in self.views.values())

    @property
    def oldest_report_at(self) -> Millis:
        """When the report came that is the oldest of all ranks' last ones."""
        return min((self.heard_at[rank] for rank in self.views), default=0)

    def has_begun(self, step: int, now: Millis) -> bool:
        """Whether a pass has begun, by the last one known and the time since."""
        since = min(now - self._step_at, _STEP_KEPT_MS)
        return step <= self._step + since / self.pass_ms

    @property
    def step(self) -> int:
        """The last pass known to have begun."""
        return self._step

    @property
    def step_at(self) -> Millis:
        """When it became known."""
        return self._step_at

    def reported(self, endpoint: str, view: RankView, now: Millis) -> None:
        """Take in a rank's report.

        A rank that is replaced reports beside its successor for a while; the one
        with the later epoch is in the group.
        """
        known = self.endpoints.get(view.rank, endpoint)
        if known != endpoint and self.views[view.rank].epoch > view.epoch:
            return
        self.endpoints[view.rank] = endpoint
        self.views[view.rank] = view
        self.heard_at[view.rank] = now
        if now - self._step_at >= _STEP_KEPT_MS:
            self.stepped(view.step, now - REPORT_AGE_MS)

    def silent(self, endpoint: str) -> None:
        """Note that a rank gave no report."""
        for rank, name in list(self.endpoints.items()):
            if name == endpoint:
                del self.endpoints[rank]
                self.views.pop(rank, None)

    def stepped(self, step: int, now: Millis) -> None:
        """Take in a pass that has begun, and learn how long one takes."""
        if step < self._step:
            self._step, self._step_at = step, now
            return
        passes = step - self._step
        if passes and self._step and now > self._step_at:
            taken = min((now - self._step_at) / passes, 500.0)
            self.pass_ms += _PASS_SMOOTHING * (taken - self.pass_ms)
        if passes:
            self._step, self._step_at = step, now
