"""Weights, windows and limits that a service sets for balancing its experts."""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.clock import SECOND, Millis

__all__ = ["DAY_MS", "BalancePolicy", "MoveWindow", "ReplicaSplit", "move_factor"]

DAY_MS: Millis = 24 * 60 * 60 * SECOND
_DEFAULT_PLACEMENT_LIFETIME_MS: Millis = 30 * 60 * SECOND


class ReplicaSplit(Enum):
    """How the load of an expert is split over its replicas.

    EVEN gives every replica the same share. LEVEL chooses the shares so that the
    times of the ranks become as equal as possible.
    """

    EVEN = "even"
    LEVEL = "level"


@dataclass(frozen=True, slots=True)
class MoveWindow:
    """A part of the day in which moves cost more, such as booking hours.

    Parameters
    ----------
    start, end : int
        Milliseconds since midnight in the service's local time; the end is
        exclusive. A window whose end is before its start spans midnight.
    factor : float
        Multiplier for the cost of moves; ``math.inf`` forbids them.
    """

    start: Millis
    end: Millis
    factor: float

    def contains(self, time_of_day: Millis) -> bool:
        """Return whether ``time_of_day`` lies within the window."""
        if self.start <= self.end:
            return self.start <= time_of_day < self.end
        return time_of_day >= self.start or time_of_day < self.end


@dataclass(frozen=True, slots=True)
class BalancePolicy:
    """Weights and limits of one service.

    Parameters
    ----------
    skew_weight : float
        Cost of one second in which the slowest rank takes twice the ideal time.
    move_weight : float
        Cost of loading one expert's weights into one slot.
    move_windows : tuple of MoveWindow
        When moves cost more. Where windows overlap, the highest factor applies.
    placement_lifetime : int
        Milliseconds for which a new placement is expected to stay useful, while
        popularity drifts.
    max_weight_loads : int
        Weight loads allowed in one interval, over all layers.
    interval : int
        Milliseconds between two decisions.
    tolerated_excess : float
        Excess of the slowest rank up to which no better placement is searched.
    min_reshare_gain : float
        Reduction of the excess above which new shares alone justify a new map.
    split : ReplicaSplit
        How replicas share an expert's load.
    """

    skew_weight: float
    move_weight: float
    move_windows: tuple[MoveWindow, ...] = ()
    placement_lifetime: Millis = _DEFAULT_PLACEMENT_LIFETIME_MS
    max_weight_loads: int = 32
    interval: Millis = 30 * SECOND
    tolerated_excess: float = 0.01
    min_reshare_gain: float = 0.01
    split: ReplicaSplit = ReplicaSplit.LEVEL

    def __post_init__(self) -> None:
        """Reject weights under which every move, or none, would be worthwhile.

        Raises
        ------
        ValueError
            If a weight is negative, the placement lifetime is not positive, or the
            factor of a window is below 1.
        """
        if self.skew_weight < 0 or self.move_weight < 0:
            raise ValueError("skew_weight and move_weight must not be negative")
        if self.placement_lifetime <= 0:
            raise ValueError(
                "placement_lifetime must be greater than 0 ms, "
                f"not {self.placement_lifetime}"
            )
        if any(window.factor < 1 for window in self.move_windows):
            raise ValueError("the factor of a move window must be at least 1")

    @property
    def excess_cost(self) -> float:
        """Cost of an excess of 1.0 that lasts for the placement lifetime."""
        return self.skew_weight * self.placement_lifetime / SECOND


def move_factor(policy: BalancePolicy, time_of_day: Millis) -> float:
    """Return the multiplier for the cost of moves at ``time_of_day``.

    Examples
    --------
    >>> booking = MoveWindow(start=9 * 3_600_000, end=14 * 3_600_000, factor=20.0)
    >>> policy = BalancePolicy(1.0, 8.0, move_windows=(booking,))
    >>> move_factor(policy, 10 * 3_600_000), move_factor(policy, 15 * 3_600_000)
    (20.0, 1.0)
    """
    factors = [
        window.factor
        for window in policy.move_windows
        if window.contains(time_of_day % DAY_MS)
    ]
    return max(factors, default=1.0)
