"""Detects slow and stuck endpoints by comparison with the rest of the pool."""

from collections.abc import Iterable
from statistics import median

from azurefold.core.clock import Millis
from azurefold.core.routing.ejection import EjectionPolicy
from azurefold.core.routing.endpoint import Endpoint
from azurefold.core.routing.messages import EjectionCause

__all__ = ["find_ejection_cause", "median_token_interval"]


def median_token_interval(endpoints: Iterable[Endpoint], default: float) -> float:
    """Return the median milliseconds between tokens, or ``default`` without data."""
    intervals = [
        endpoint.token_interval
        for endpoint in endpoints
        if endpoint.token_interval is not None
    ]
    return median(intervals) if intervals else default


def find_ejection_cause(
    endpoint: Endpoint, median_interval: float, policy: EjectionPolicy, now: Millis
) -> EjectionCause | None:
    """Return the cause for which ``endpoint`` should be ejected, if there is one.

    Parameters
    ----------
    endpoint : Endpoint
    median_interval : float
        Median milliseconds between tokens in the endpoint's pool.
    policy : EjectionPolicy
        Thresholds for slow and stuck endpoints.
    now : int
        The present time.
    """
    if endpoint.time_without_progress(now) >= policy.stuck_after_ms:
        return EjectionCause.STUCK
    if (
        endpoint.token_interval is None
        or endpoint.token_interval_samples < policy.min_samples
    ):
        return None
    if endpoint.token_interval > policy.slow_ratio * median_interval:
        return EjectionCause.SLOW
    return None
