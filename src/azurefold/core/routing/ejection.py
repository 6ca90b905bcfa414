"""Leaving out an endpoint that fails, for a while and never too many.

The decision is this node's own: no other node is told, so one node with a bad
network path cannot talk the rest out of a healthy endpoint.
"""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.routing.messages import Ejected, EjectionCause

__all__ = ["EjectionPolicy", "Ejector"]


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """When and for how long an endpoint is left out.

    Parameters
    ----------
    consecutive_failures : int
        Failures in a row that eject.
    failure_rate : float
        Smoothed share of failures that ejects.
    slow_ratio : float
        Time between tokens over the pool's median that ejects.
    stuck_after : int
        Milliseconds without any progress, with requests waiting, that eject.
    min_samples : int
        Outcomes needed before rate or slowness is judged.
    base_term, longest_term : int
        Milliseconds of the first ejection, doubled each time up to the longest.
    max_share : float
        Share of the pool that may be ejected at one time.
    """

    consecutive_failures: int = 3
    failure_rate: float = 0.5
    slow_ratio: float = 4.0
    stuck_after: Millis = 3_000
    min_samples: int = 10
    base_term: Millis = 5_000
    longest_term: Millis = 120_000
    max_share: float = 0.4


_RATE_SMOOTHING = 0.1


@dataclass(slots=True)
class _Health:
    """What this node has seen of one endpoint."""

    in_a_row: int = 0
    rate: float = 0.0
    samples: int = 0
    times: int = 0
    on_probation: bool = False


@dataclass(slots=True)
class Ejector:
    """Health of the endpoints of one pool and those ejected.

    Parameters
    ----------
    policy : EjectionPolicy
        When and for how long.
    """

    policy: EjectionPolicy
    _health: dict[str, _Health] = field(default_factory=dict)
    _until: dict[str, Millis] = field(default_factory=dict)

    @property
    def ejected(self) -> frozenset[str]:
        """Endpoints that are left out."""
        return frozenset(self._until)

    @property
    def next_return(self) -> Millis | None:
        """When the next endpoint comes back."""
        return min(self._until.values(), default=None)

    def is_ejected(self, endpoint: str) -> bool:
        """Whether ``endpoint`` is left out."""
        return endpoint in self._until

    def failure_rate(self, endpoint: str) -> float:
        """Return the smoothed share of failures, between 0 and 1."""
        health = self._health.get(endpoint)
        return health.rate if health else 0.0

    def observe_success(self, endpoint: str) -> None:
        """Note a good answer."""
        health = self._health.setdefault(endpoint, _Health())
        health.in_a_row = 0
        health.rate -= _RATE_SMOOTHING * health.rate
        health.samples += 1
        health.on_probation = False
        if health.rate < _RATE_SMOOTHING and health.samples > self.policy.min_samples:
            health.times = 0

    def observe_failure(
        self, endpoint: str, pool_size: int, now: Millis
    ) -> Ejected | None:
        """Note a failure; eject the endpoint if it was one too many."""
        health = self._health.setdefault(endpoint, _Health())
        health.in_a_row += 1
        health.rate += _RATE_SMOOTHING * (1.0 - health.rate)
        health.samples += 1
        if not self._is_failing(health):
            return None
        return self.eject(endpoint, EjectionCause.FAILING, pool_size, now)

    def eject(
        self, endpoint: str, cause: EjectionCause, pool_size: int, now: Millis
    ) -> Ejected | None:
        """Eject the endpoint unless the pool's cap is reached."""
        # Without the cap a fault that strikes everywhere, such as a bad
        # prompt or a slow store, would eject one endpoint after the other.
        # Seen as an empty pool while every engine runs.
        if len(self._until) >= int(self.policy.max_share * pool_size):
            return None
        if endpoint in self._until:
            return None
        health = self._health.setdefault(endpoint, _Health())
        term = self.policy.base_term << min(health.times, 16)
        until = now + min(term, self.policy.longest_term)
        self._until[endpoint] = until
        self._health[endpoint] = _Health(times=health.times + 1, on_probation=True)
        return Ejected(endpoint, cause, until)

    def returned(self, now: Millis) -> list[str]:
        """Let those come back whose term is over, and name them."""
        back = [name for name, until in self._until.items() if until <= now]
        for name in back:
            del self._until[name]
        return back

    def forget(self, endpoint: str) -> None:
        """Drop all that is known of an endpoint that is gone."""
        self._health.pop(endpoint, None)
        self._until.pop(endpoint, None)

    def _is_failing(self, health: _Health) -> bool:
        if health.on_probation:
            return True
        if health.in_a_row >= self.policy.consecutive_failures:
            return True
        enough = health.samples >= self.policy.min_samples
        return enough and health.rate >= self.policy.failure_rate
