"""Temporary ejection of failing endpoints, up to a maximum share of the pool.

Each node decides for itself and does not report ejections to other nodes. A node with
a bad network path therefore cannot make the others avoid a healthy endpoint.
"""

from dataclasses import dataclass, field
from math import exp

from azurefold.core.clock import Millis
from azurefold.core.routing.messages import Ejected, EjectionCause

__all__ = ["EjectionPolicy", "Ejector"]


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """Thresholds and durations of ejections.

    Parameters
    ----------
    consecutive_failures : int
        Number of consecutive failures that causes an ejection.
    failure_rate : float
        Smoothed share of failures that causes an ejection.
    slow_ratio : float
        Time between tokens, relative to the pool's median, that causes an ejection.
    stuck_after_ms : int
        Time without progress, while requests wait, that causes an ejection.
    min_samples : int
        Outcomes needed before the failure rate or the speed is evaluated.
    base_ejection_ms, max_ejection_ms : int
        Duration of the first ejection, doubled each time up to the maximum.
    max_share : float
        Largest share of the pool that may be ejected at the same time.
    """

    consecutive_failures: int = 3
    failure_rate: float = 0.5
    slow_ratio: float = 4.0
    stuck_after_ms: Millis = 3_000
    min_samples: int = 10
    base_ejection_ms: Millis = 5_000
    max_ejection_ms: Millis = 120_000
    max_share: float = 0.4


_FAILURE_RATE_SMOOTHING = 0.1
"""Weight of the newest outcome in the failure rate."""

_FAILURE_RATE_DECAY_MS: Millis = 2_000
"""Time constant with which the failure rate decays after the last failure."""


@dataclass(slots=True)
class _Health:
    """Outcomes that this node has observed at one endpoint.

    After an ejection the endpoint is on probation until its first success: a single
    failure ejects it again. ``ejection_count`` doubles the duration each time.
    """

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    last_failure_at: Millis = 0
    samples: int = 0
    ejection_count: int = 0
    on_probation: bool = False


@dataclass(slots=True)
class Ejector:
    """Tracks the health of a pool's endpoints, and which of them are ejected.

    Parameters
    ----------
    policy : EjectionPolicy
        Thresholds and durations.
    """

    policy: EjectionPolicy
    _health: dict[str, _Health] = field(default_factory=dict)
    _ejected_until: dict[str, Millis] = field(default_factory=dict)

    @property
    def ejected(self) -> frozenset[str]:
        """Endpoints that are ejected at present."""
        return frozenset(self._ejected_until)

    @property
    def next_end(self) -> Millis | None:
        """When the next ejection ends."""
        return min(self._ejected_until.values(), default=None)

    def is_ejected(self, endpoint: str) -> bool:
        """Whether ``endpoint`` is ejected at present."""
        return endpoint in self._ejected_until

    def failure_rate(self, endpoint: str, now: Millis) -> float:
        """Return the smoothed share of failures, between 0 and 1.

        The rate decays with time. An endpoint that is avoided because of its failures
        gets no requests that could show its recovery. Without the decay, a healthy
        endpoint would stay idle after one accidental failure.
        """
        health = self._health.get(endpoint)
        if health is None or health.failure_rate == 0.0:
            return 0.0
        return health.failure_rate * exp(
            (health.last_failure_at - now) / _FAILURE_RATE_DECAY_MS
        )

    def record_success(self, endpoint: str) -> None:
        """Record a successful attempt."""
        health = self._health.setdefault(endpoint, _Health())
        health.consecutive_failures = 0
        health.failure_rate -= _FAILURE_RATE_SMOOTHING * health.failure_rate
        health.samples += 1
        health.on_probation = False
        if (
            health.failure_rate < _FAILURE_RATE_SMOOTHING
            and health.samples > self.policy.min_samples
        ):
            health.ejection_count = 0

    def record_failure(
        self, endpoint: str, pool_size: int, now: Millis
    ) -> Ejected | None:
        """Record a failure, and eject the endpoint if a threshold is reached."""
        health = self._health.setdefault(endpoint, _Health())
        health.consecutive_failures += 1
        health.last_failure_at = now
        health.failure_rate += _FAILURE_RATE_SMOOTHING * (1.0 - health.failure_rate)
        health.samples += 1
        if not self._is_failing(health):
            return None
        return self.eject(endpoint, EjectionCause.FAILING, pool_size, now)

    def eject(
        self, endpoint: str, cause: EjectionCause, pool_size: int, now: Millis
    ) -> Ejected | None:
        """Eject an endpoint; None if it is ejected already or the share is used up."""
        # Without this limit, a fault that affects all endpoints, such as a bad prompt
        # or a slow store, would eject one endpoint after the other until the pool is
        # empty although every engine runs.
        if len(self._ejected_until) >= int(self.policy.max_share * pool_size):
            return None
        if endpoint in self._ejected_until:
            return None
        health = self._health.setdefault(endpoint, _Health())
        ejection_ms = self.policy.base_ejection_ms << min(health.ejection_count, 16)
        until = now + min(ejection_ms, self.policy.max_ejection_ms)
        self._ejected_until[endpoint] = until
        self._health[endpoint] = _Health(
            ejection_count=health.ejection_count + 1, on_probation=True
        )
        return Ejected(endpoint, cause, until)

    def readmit_due(self, now: Millis) -> list[str]:
        """Readmit the endpoints whose ejection has ended, and return their names."""
        due = [name for name, until in self._ejected_until.items() if until <= now]
        for name in due:
            del self._ejected_until[name]
        return due

    def forget(self, endpoint: str) -> None:
        """Discard the state of an endpoint that has been removed."""
        self._health.pop(endpoint, None)
        self._ejected_until.pop(endpoint, None)

    def _is_failing(self, health: _Health) -> bool:
        if health.on_probation:
            return True
        if health.consecutive_failures >= self.policy.consecutive_failures:
            return True
        has_enough_samples = health.samples >= self.policy.min_samples
        return has_enough_samples and health.failure_rate >= self.policy.failure_rate
