"""Health check of a group, and the map for its recovery."""

from azurefold.core.groups.engine import EngineState, schedule_from

__all__ = ["is_healthy", "choose_recovery_map"]


def is_healthy(states: list[EngineState]) -> bool:
    """Return whether no rank is held or was replaced and all plans agree."""
    if any(state.hold is not None or not state.plan for state in states):
        return False
    step = max(state.next_step for state in states)
    return len({schedule_from(state, step) for state in states}) == 1


def choose_recovery_map(states: list[EngineState], fallback_map: str) -> str:
    """Return the map of the latest decided change, else ``fallback_map``."""
    tails = [state.tail for state in states if state.tail is not None]
    if not tails:
        return fallback_map
    return max(tails, key=lambda tail: tail.number).map_id
