"""Limits the concurrent requests of a group so that its streams stay on time.

All ranks of a group compute each pass together, and each request at any rank makes the
pass longer. With all slots taken and an unsuitable expert map, the time between two
events exceeds the promised time for every stream of the group. With fewer concurrent
requests, a pass is shorter by nearly the same factor, so that throughput is nearly the
same and all streams are on time. Requests above the limit wait in the queue.
"""

from dataclasses import dataclass
from math import exp

from azurefold.core.clock import Millis

__all__ = ["PassLimit"]

_TARGET_GAP_SHARE = 0.7
"""Share of the promised time between two events that a mean pass may take.

A pass that includes a prefill, or follows a jump in expert popularity, takes up to 1.4
times as long."""

_SMOOTHING_MS: Millis = 250
"""Time constant for smoothing passes and requests: about four passes."""

_MIN_OBSERVATION_INTERVAL_MS: Millis = 30
"""Shortest time between two observations of a group.

All streams of a group show the same passes; two observations per pass are enough."""

_GROUP_SMOOTHING_MS: Millis = 1_000
"""Time constant for smoothing requests that are compared with a coordinator's mean."""

_GROUP_MEAN_EXPIRY_MS: Millis = 3_000
_MAX_GROUP_SHARE = 2.0
_MIN_REQUESTS = 1.0


@dataclass(slots=True)
class PassLimit:
    """Request limit of one group, from the passes and requests that this node observes.

    Parameters
    ----------
    fixed_ms : float
        Part of a pass's duration that does not depend on the requests.

    Notes
    -----
    A node knows only the requests of some ranks, but the duration of a pass
    depends on the requests of all ranks. If each node limited its ranks in proportion
    to their own requests, ranks that once got more requests than others would keep
    them. The limit is therefore scaled by the mean over the whole group.
    """

    fixed_ms: float = 0.0
    _pass_ms: float = 0.0
    _requests: float = 0.0
    _observed_at: Millis = 0
    _long_term_requests: float = 0.0
    _group_share: float = 1.0
    _group_mean: float = 0.0
    _group_mean_at: Millis | None = None

    @property
    def pass_ms(self) -> float:
        """Smoothed duration of a pass."""
        return self._pass_ms

    @property
    def requests(self) -> float:
        """Smoothed mean number of requests at a rank known here."""
        return self._requests

    def is_due(self, now: Millis) -> bool:
        """Whether enough time has passed since the last observation."""
        return now - self._observed_at >= _MIN_OBSERVATION_INTERVAL_MS

    def observe(self, gap: Millis, requests: float, now: Millis) -> None:
        """Record the time between two events of a stream.

        Parameters
        ----------
        gap : int
            Milliseconds between the events.
        requests : float
            Mean number of requests at each rank known here.
        now : int
        """
        if not self._observed_at:
            self._pass_ms, self._requests = float(gap), requests
            self._long_term_requests = requests
        elapsed = max(1, now - self._observed_at)
        weight = 1.0 - exp(-elapsed / _SMOOTHING_MS)
        long_term_weight = 1.0 - exp(-elapsed / _GROUP_SMOOTHING_MS)
        self._long_term_requests += long_term_weight * (
            requests - self._long_term_requests
        )
        self._observed_at = now
        self._pass_ms += weight * (gap - self._pass_ms)
        self._requests += weight * (requests - self._requests)

    def record_group_mean(self, group_mean: float, now: Millis) -> None:
        """Record the mean number of requests per rank of the group, about 1 s old."""
        if self._long_term_requests <= 0 or group_mean <= 0:
            return
        share = group_mean / self._long_term_requests
        share = min(_MAX_GROUP_SHARE, max(1 / _MAX_GROUP_SHARE, share))
        elapsed = (
            now - self._group_mean_at
            if self._group_mean_at is not None
            else _GROUP_SMOOTHING_MS
        )
        weight = 1.0 - exp(-elapsed / _GROUP_SMOOTHING_MS)
        self._group_mean, self._group_mean_at = group_mean, now
        self._group_share += weight * (share - self._group_share)

    def group_mean(self, now: Millis) -> float | None:
        """Return the last reported mean over all ranks; None if it has expired."""
        if (
            self._group_mean_at is None
            or now - self._group_mean_at >= _GROUP_MEAN_EXPIRY_MS
        ):
            return None
        return self._group_mean

    def group_share(self, now: Millis) -> float:
        """Return the mean over all ranks, relative to the mean over those known here.

        1 if the last report of the coordinator has expired.
        """
        return 1.0 if self.group_mean(now) is None else self._group_share

    def max_requests_per_rank(
        self, promised_gap: Millis, slots: int, now: Millis = 0
    ) -> float:
        """Return the largest mean number of requests at each rank.

        Parameters
        ----------
        promised_gap : int
            Longest time in milliseconds between two events of a stream that is on time;
        0 for no limit.
        slots : int
            Requests that a rank can run at the same time.
        now : int

        Examples
        --------
        >>> limit = PassLimit(fixed_ms=18.0)
        >>> limit.max_requests_per_rank(120, slots=6)
        6.0
        >>> limit.observe(150, requests=6.0, now=1_000)
        >>> limit.max_requests_per_rank(120, slots=6)
        3.0
        """
        variable_ms = self._pass_ms - self.fixed_ms
        if not promised_gap or variable_ms <= 0:
            return float(slots)
        allowed_ms = _TARGET_GAP_SHARE * promised_gap - self.fixed_ms
        requests = self._requests * self.group_share(now)
        limit = requests * allowed_ms / variable_ms
        return min(float(slots), max(_MIN_REQUESTS, limit))
