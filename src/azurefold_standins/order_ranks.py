"""Ranks of a lock-step group as orders from afar meet them, without any I/O."""

from dataclasses import dataclass, field

from azurefold.core.groups.map_orders import (
    Arm,
    Disarm,
    Hold,
    Prepare,
    RankOrder,
    RankView,
    Release,
    Verdict,
)

__all__ = ["NOT_ARMED", "ModelGroup", "ModelRank"]

NOT_ARMED = (None, None)


@dataclass(slots=True)
class ModelRank:
    """One rank: what it has loaded, is armed for and holds.

    With ``is_slow`` set it goes on loading until :meth:`loaded` is called.
    """

    version: int = 0
    is_slow: bool = False
    loading: int | None = None
    highest: int = 0
    prepared: int | None = None
    armed: tuple[int | None, int | None] = NOT_ARMED
    held: int | None = None

    def loaded(self) -> None:
        """Have all weights of the map that was being prepared."""
        if self.loading is not None:
            self.prepared, self.loading = self.loading, None

    def take(self, order: RankOrder, begun: int) -> Verdict:
        """Carry out an order, where ``begun`` is the last pass that began."""
        match order:
            case Prepare(version=version):
                if version <= self.highest or self.armed != NOT_ARMED:
                    return Verdict.REFUSED
                self.highest = self.loading = version
                self.prepared = None
                if not self.is_slow:
                    self.loaded()
            case Hold(step=step):
                if step <= begun or self.held not in (None, step):
                    return Verdict.REFUSED
                self.held = step
            case Arm(version=version, step=step):
                if self.armed == (version, step):
                    return Verdict.ACCEPTED
                if version != self.prepared or step <= begun:
                    return Verdict.REFUSED
                self.armed = (version, step)
            case Disarm(version=version):
                if version == self.version:
                    return Verdict.REFUSED
                self.armed = NOT_ARMED
            case Release(step=step):
                if self.held != step:
                    return Verdict.REFUSED
                self.held = None
        return Verdict.ACCEPTED


@dataclass(slots=True)
class ModelGroup:
    """Ranks that begin each pass together, unless one of them holds it.

    Parameters
    ----------
    size : int
    epoch, step : int
    split_at : int or None
        The first pass that began under two maps.
    """

    size: int
    epoch: int = 1
    step: int = 10
    ranks: list[ModelRank] = field(default_factory=list)
    split_at: int | None = None

    def __post_init__(self) -> None:
        self.ranks = [ModelRank() for _ in range(self.size)]

    @property
    def is_held(self) -> bool:
        """Whether a rank holds a pass that has not begun."""
        steps = (rank.held for rank in self.ranks if rank.held is not None)
        return any(step > self.step for step in steps)

    def begin_pass(self) -> bool:
        """Begin the next pass and return whether it was not held.

        Notes if two ranks would run it under two maps.
        """
        coming = self.step + 1
        if any(rank.held == coming for rank in self.ranks):
            return False
        self.step = coming
        for rank in self.ranks:
            if rank.armed[1] == coming:
                rank.version = rank.armed[0]
                rank.armed = NOT_ARMED
        if len({rank.version for rank in self.ranks}) > 1 and self.split_at is None:
            self.split_at = coming
        return True

    def form_anew(self) -> None:
        """Take in that a rank was replaced: an epoch with nothing of before."""
        self.epoch += 1
        self.step += 1
        self.ranks = [ModelRank() for _ in range(self.size)]

    def view(self, number: int) -> RankView:
        """Return what a rank reports."""
        rank = self.ranks[number]
        return RankView(
            number,
            self.epoch,
            True,
            self.step,
            rank.version,
            rank.prepared,
            rank.armed[0],
            rank.held,
        )
