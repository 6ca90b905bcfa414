"""The policies of one pool, gathered."""

from dataclasses import dataclass, field

from azurefold.core.routing.choice import ChoicePolicy
from azurefold.core.routing.concurrency import ConcurrencyPolicy
from azurefold.core.routing.ejection import EjectionPolicy
from azurefold.core.routing.endpoint import DividedSlots, Sharing

__all__ = ["PoolPolicy"]


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """The policies of a pool's parts.

    Parameters
    ----------
    choice, concurrency, ejection
        The policies of the parts.
    reserve : float
        Share of the room kept free of drafts, so that a confirmation need
        not wait for a slot while drafts overload the pool.
    sharing : Sharing
        How nodes share the slots of one endpoint.
    """

    choice: ChoicePolicy = field(default_factory=ChoicePolicy)
    concurrency: ConcurrencyPolicy = field(default_factory=ConcurrencyPolicy)
    ejection: EjectionPolicy = field(default_factory=EjectionPolicy)
    reserve: float = 0.06
    sharing: Sharing = DividedSlots()
