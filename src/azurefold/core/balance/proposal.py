"""What a decision of the balance came to, with the reasons."""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.balance.moves import Move
from azurefold.core.balance.placement import Assignment
from azurefold.core.balance.straggler import Straggler

__all__ = ["EvaluatedMove", "LayerProposal", "LayerView", "Proposal", "MoveReason"]


class MoveReason(Enum):
    """Why a move was taken, or was not."""

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
    """What is known of one layer when a decision is due.

    Parameters
    ----------
    layer : int
        Number of the layer.
    rates : tuple of float
        Popularity of each expert in tokens a second.
    assignment : Assignment
        Placement and shares in force.
    speeds : tuple of float
        Speed of each rank; 1.0 is that of a sound one.
    """

    layer: int
    rates: tuple[float, ...]
    assignment: Assignment
    speeds: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class EvaluatedMove:
    """A move that was tried, and the verdict.

    Parameters
    ----------
    move : Move
        What was tried.
    gain : float
        Price of the excess that it saves over the life of the drift.
    cost : float
        Price of its weight loads at the present time of day.
    reason : MoveReason
        Why it was taken or not.
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
        What was decided on.
    assignment : Assignment
        Placement and shares proposed; those of the view if nothing changes.
    excess_before, excess_after_resharing, excess_after : float
        Excess of the slowest rank over the lower bound as it is, with new shares
        alone, and as proposed.
    accepted, rejected : tuple of EvaluatedMove
        The moves in the order in which they were tried.
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
        """Whether a new map has to be put in force."""
        return self.assignment is not self.view.assignment


@dataclass(frozen=True, slots=True)
class Proposal:
    """The decision on all layers of a group.

    Parameters
    ----------
    layers : tuple of LayerProposal
        One for each layer, in the order of the views.
    move_factor : float
        By how much moves are dearer at this time of day.
    weight_loads_used, weight_loads_allowed : int
        Weight loads that the taken moves need, and the limit of the interval.
    stragglers : tuple of Straggler
        Ranks that are slow as such.
    """

    layers: tuple[LayerProposal, ...]
    move_factor: float
    weight_loads_used: int
    weight_loads_allowed: int
    stragglers: tuple[Straggler, ...]
