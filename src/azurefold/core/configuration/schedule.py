"""When a process looks at the platform itself."""

from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.configuration.messages import Tick
from azurefold.core.configuration.pollers import choose_pollers

__all__ = ["FollowerPolicy", "PollSchedule"]


@dataclass(frozen=True, slots=True)
class FollowerPolicy:
    """Times of a follower, in milliseconds.

    Parameters
    ----------
    poll_interval_ms : int
        Between two looks of a chosen poller.
    stale_after_ms : int
        Without fresh news for so long, a process looks by itself, at a moment
        drawn from as long again, so that an outage's end meets no herd.
    fetch_timeout_ms : int
        After which another source is asked.
    first_fetch_scale_ms : int
        See :func:`azurefold.core.configuration.first_fetch.compute_fetch_delay`.
    """

    poll_interval_ms: Millis = 1_000
    stale_after_ms: Millis = 2_000
    fetch_timeout_ms: Millis = 500
    first_fetch_scale_ms: Millis = 1_000


class PollSchedule:
    """Polls of one process: each second if chosen, else only when news is old.

    Parameters
    ----------
    name, data_centre : str
        Of this process.
    policy : FollowerPolicy
        Its times.
    """

    def __init__(self, name: str, data_centre: str, policy: FollowerPolicy) -> None:
        self._name = name
        self._data_centre = data_centre
        self._policy = policy
        self._fresh_at: Millis | None = None
        self._polled_at: Millis | None = None
        self._due_at: Millis | None = None

    def age_ms(self, now: Millis) -> Millis | None:
        """Return the age of the last look that anybody told of, or ``None``."""
        return None if self._fresh_at is None else now - self._fresh_at

    def record_confirmation(self, at: Millis) -> None:
        """Note that the platform had nothing newer at ``at``."""
        if self._fresh_at is not None and at <= self._fresh_at:
            return
        self._fresh_at = at
        self._due_at = None

    def is_due(self, tick: Tick, now: Millis) -> bool:
        """Return whether to look now; if so, the look counts as begun."""
        is_poller = self._name in choose_pollers(tick.live, self._data_centre)
        since = self._since(now)
        if self._due_at is None:
            self._due_at = since + self._wait(is_poller, tick.jitter)
        if is_poller:
            soon = since + self._policy.poll_interval_ms
            self._due_at = min(self._due_at, soon)
        if now < self._due_at:
            return False
        self._polled_at = now
        self._due_at = None
        return True

    def _since(self, now: Millis) -> Millis:
        known = [at for at in (self._fresh_at, self._polled_at) if at is not None]
        return max(known, default=now)

    def _wait(self, is_poller: bool, jitter: float) -> Millis:
        if self._polled_at is None and self._fresh_at is None:
            return int(jitter * self._policy.poll_interval_ms)
        if is_poller:
            return self._policy.poll_interval_ms
        return self._policy.stale_after_ms + int(jitter * self._policy.stale_after_ms)
