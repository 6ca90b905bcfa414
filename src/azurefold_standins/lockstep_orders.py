"""The stand-in group behind the orders that an agent gives its engine."""

import msgspec

from azurefold.core.groups.engine import (
    EngineOrder,
    EngineReply,
    EngineState,
    HoldBefore,
    PlanEntry,
    ReadState,
    StageMap,
    UseFrom,
)
from azurefold_standins.lockstep import Agreed, LockstepGroup

__all__ = ["decode_order", "engine_state", "give_order"]

_ORDERS = {kind.__name__: kind for kind in (ReadState, StageMap, HoldBefore, UseFrom)}


def decode_order(body: bytes) -> EngineOrder:
    """Return the order that an agent sent.

    Examples
    --------
    >>> decode_order(b'{"order": "HoldBefore", "step": 4, "number": 9}')
    HoldBefore(step=4, number=9)
    """
    fields = msgspec.json.decode(body)
    return msgspec.convert(fields, type=_ORDERS[fields.pop("order")])


def engine_state(group: LockstepGroup, rank: int) -> EngineState:
    """Return what ``rank`` stores in the core's terms."""
    state = group.state(rank)
    plan = tuple(PlanEntry(e.from_step, e.map_id, e.fence) for e in state.plan)
    return EngineState(
        incarnation=state.incarnation,
        next_step=state.next_step,
        plan=plan,
        hold=state.hold,
        hold_number=state.hold_fence,
        staged=state.staged,
    )


def give_order(group: LockstepGroup, rank: int, order: EngineOrder) -> EngineReply:
    """Carry ``order`` out and return the reply to the agent."""
    match order:
        case StageMap(map_id):
            outcome = group.stage(rank, map_id)
        case HoldBefore(step, number):
            outcome = group.hold_before(rank, step, number)
        case UseFrom(step, map_id, number):
            outcome = group.use_from(rank, step, map_id, number)
        case _:
            outcome = Agreed(group.next_step)
    return EngineReply(isinstance(outcome, Agreed), engine_state(group, rank))
