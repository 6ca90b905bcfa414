"""The result of a balance decision, with the reason for each evaluated move."""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.balance.moves import Move
from azurefold.core.balance.placement import Assignment
from azurefold.core.balance.straggler import Straggler

__all__ = ["EvaluatedMove", "LayerProposal", "LayerView", "MoveReason", "Proposal"]


class MoveReason(Enum):
    """Why a move was accepted or rejected."""

    GAIN_ABOVE_COST = "its gain pays for it"
    NO_GAIN = "it would not lower the slowest rank"
    GAIN_BELOW_COST = "its gain does not pay for it"
    WINDOW_TOO_COSTLY = "it would pay, but not at the price of the present window"
    LOAD_LIMIT_REACHED = "it would pay, but the weight loads of this interval are spent"
    OTHER_MOVE_CHOSEN = (
        "another move gained more, and after it this one must be tried anew"
    )


@dataclass(frozen=True, slots=True)
class LayerView:
    """The state of one layer on which a decision is based.

    Parameters
    ----------
    layer : int
        Number of the layer.
    rates : tuple of float
        Popularity of each expert in tokens per second.
    assignment : Assignment
        Active placement and shares.
    speeds : tuple of float
        Speed of each rank; 1.0 is that of a healthy one.
    """

    layer: int
    rates: tuple[float, ...]
    assignment: Assignment
    speeds: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class EvaluatedMove:
    """A move with its gain, its cost and the decision on it.

    Parameters
    ----------
    move : Move
        The evaluated move.
    gain : float
        Cost of the excess that it avoids over the placement lifetime.
    cost : float
        Cost of its weight loads at the present time of day.
    reason : MoveReason
        Why it was accepted or rejected.
    """

    move: Move
    gain: float
    cost: float
    reason: MoveReason


@dataclass(frozen=True, slots=True)
class LayerProposal:
    """The decision on one layer.

    Parameters
    ----------
    view : LayerView
        State on which the decision is based.
    assignment : Assignment
        Proposed placement and shares; those of the view if nothing changes.
    excess_before, excess_after_resharing, excess_after : float
        Excess of the slowest rank over the lower bound at present, with new shares
        alone, and under the proposal.
    accepted, rejected : tuple of EvaluatedMove
        Moves in the order in which they were evaluated.
    """

    view: LayerView
    assignment: Assignment
    excess_before: float
    excess_after_resharing: float
    excess_after: float
    accepted: tuple[EvaluatedMove, ...]
    rejected: tuple[EvaluatedMove, ...]

    @property
    def is_changed(self) -> bool:
        """Whether the proposal needs a new map."""
        return self.assignment is not self.view.assignment


@dataclass(frozen=True, slots=True)
class Proposal:
    """The decision on all layers of a group.

    Parameters
    ----------
    layers : tuple of LayerProposal
        One for each layer, in the order of the views.
    move_factor : float
        Multiplier for the cost of moves at the present time of day.
    weight_loads_used, weight_loads_allowed : int
        Weight loads of the accepted moves, and the limit for the interval.
    stragglers : tuple of Straggler
        Ranks that are slow regardless of their load.
    """

    layers: tuple[LayerProposal, ...]
    move_factor: float
    weight_loads_used: int
    weight_loads_allowed: int
    stragglers: tuple[Straggler, ...]
