"""Policies of one pool."""

from dataclasses import dataclass, field

from azurefold.core.routing.choice import ChoicePolicy
from azurefold.core.routing.concurrency import ConcurrencyPolicy
from azurefold.core.routing.ejection import EjectionPolicy
from azurefold.core.routing.endpoint import DividedSlots, SlotSharing

__all__ = ["PoolPolicy"]


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Policies for choice, concurrency, ejection and slot sharing of a pool.

    Parameters
    ----------
    choice, concurrency, ejection
    reserved_share : float
        Share of the capacity that is reserved for confirmations, so that they need not
        wait for a slot while drafts overload the pool.
    class_reserve : float
        Share of the places of all nodes that a class leaves to each more urgent one, at
        services with three or more classes.
    sharing : SlotSharing
        How nodes share the slots of one endpoint.
    """

    choice: ChoicePolicy = field(default_factory=ChoicePolicy)
    concurrency: ConcurrencyPolicy = field(default_factory=ConcurrencyPolicy)
    ejection: EjectionPolicy = field(default_factory=EjectionPolicy)
    reserved_share: float = 0.06
    class_reserve: float = 0.03
    sharing: SlotSharing = DividedSlots()
