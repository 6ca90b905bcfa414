"""Which endpoints are slow or stuck, judged beside the others of the pool."""

from collections.abc import Iterable
from statistics import median

from azurefold.core.clock import Millis
from azurefold.core.routing.ejection import EjectionPolicy
from azurefold.core.routing.endpoint import Endpoint
from azurefold.core.routing.messages import EjectionCause

__all__ = ["cause_to_eject", "median_pace"]


def median_pace(endpoints: Iterable[Endpoint], unknown: float) -> float:
    """Return the median milliseconds between tokens, or ``unknown``."""
    paces = [one.pace for one in endpoints if one.pace is not None]
    return median(paces) if paces else unknown


def cause_to_eject(
    endpoint: Endpoint, usual: float, policy: EjectionPolicy, now: Millis
) -> EjectionCause | None:
    """Return why ``endpoint`` should be ejected, if it should.

    Parameters
    ----------
    endpoint : Endpoint
        The one that is judged.
    usual : float
        Milliseconds between tokens that are usual in its pool.
    policy : EjectionPolicy
        The bounds.
    now : int
        The present time.
    """
    if endpoint.silent_for(now) >= policy.stuck_after:
        return EjectionCause.STUCK
    if endpoint.pace is None or endpoint.pace_samples < policy.min_samples:
        return None
    if endpoint.pace > policy.slow_ratio * usual:
        return EjectionCause.SLOW
    return None
