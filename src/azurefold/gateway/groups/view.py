"""What the coordinator knows of one group of ranks."""

from dataclasses import dataclass, field

from azurefold.core.balance.placement import Placement
from azurefold.core.clock import Millis
from azurefold.core.groups.map_orders import RankView
from azurefold.core.groups.samples import SampledPopularity

__all__ = ["GroupView"]

_PASS_SMOOTHING = 0.4
_USUAL_PASS_MS = 60.0


@dataclass(slots=True)
class GroupView:
    """Ranks, their reports, the map in force and the experts' popularity.

    Parameters
    ----------
    name : str
    size : int
        Ranks that it has when whole.
    popularity : SampledPopularity
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
    """

    name: str
    size: int
    popularity: SampledPopularity
    endpoints: dict[int, str] = field(default_factory=dict)
    views: dict[int, RankView] = field(default_factory=dict)
    placements: tuple[Placement, ...] | None = None
    placements_version: int = -1
    placements_epoch: int = -1
    pass_ms: float = _USUAL_PASS_MS
    _step: int = 0
    _step_at: Millis = 0

    @property
    def is_whole(self) -> bool:
        """Whether all ranks report that the group runs, in one epoch."""
        if len(self.views) < self.size:
            return False
        views = self.views.values()
        one_epoch = len({view.epoch for view in views}) == 1
        return one_epoch and all(view.is_open for view in views)

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
    def is_held(self) -> bool:
        """Whether any rank keeps the group from a pass."""
        return any(view.held is not None for view in self.views.values())

    @property
    def step(self) -> int:
        """The last pass known to have begun."""
        return self._step

    @property
    def step_at(self) -> Millis:
        """When it became known."""
        return self._step_at

    def reported(self, endpoint: str, view: RankView, now: Millis) -> None:
        """Take in a rank's report."""
        self.endpoints[view.rank] = endpoint
        self.views[view.rank] = view
        self.stepped(view.step, now)

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
