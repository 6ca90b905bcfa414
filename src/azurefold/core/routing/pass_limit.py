"""Limits the concurrent requests of a group so that its streams stay on time.

All ranks of a group compute each pass together, and each request at any rank makes the
pass longer. With all slots taken and an unsuitable expert map, the time between two
events exceeds the promised time for every stream of the group. With fewer concurrent
requests, a pass is shorter by nearly the same factor, so that throughput is nearly the
same and all streams are on time. Requests above the limit wait in the queue.
"""

from collections import deque
from dataclasses import dataclass, field
from math import exp, inf

from azurefold.core.clock import Millis

__all__ = ["CLASSED_GAP_SHARE", "STEADY_GAP_SHARE", "PassLimit"]

STEADY_GAP_SHARE = 0.7
"""Share of the promised time between two events that a mean pass may take.

A pass that includes a prefill, or follows a jump in expert popularity, takes up to 1.4
times as long."""

CLASSED_GAP_SHARE = 0.6
"""The same at services with three or more priority classes.

After a jump in expert popularity passes can take 1.7 times as long. Room for that keeps
all streams on time, and is left by the classes that can wait."""

_PEAK_GAP_SHARE = 0.85
"""Share of it that passes may take for a short time, as after a jump in popularity.

Applies while no event has been late for ``_LATE_EVENT_MEMORY_MS``."""

_PEAK_MS: Millis = 2_000
"""Longest time for which passes may exceed their steady share.

A suitable map is in force within this time. Requests that wait for it would be late for
their first event, although no event of a stream is late."""

_LATE_EVENT_MEMORY_MS: Millis = 30_000
"""Several times as long as popularity usually stays alike between two jumps."""

_SMOOTHING_MS: Millis = 250
"""Time constant for smoothing passes and requests: about four passes."""

_STALL_MS: Millis = 500
"""Gap from which a group is taken to have stood still, as while it is held.

No pass takes that long. Taken for a pass, such a gap would limit the group to one
request per rank for a second after it runs again."""

_MIN_OBSERVATION_INTERVAL_MS: Millis = 30
"""Shortest time between two observations of a group.

All streams of a group show the same passes; two observations per pass are enough."""

_LONG_TERM_SMOOTHING_MS: Millis = 1_000
"""Time constant for smoothing requests that are compared with a report of about the
same age."""

_SPARE_FOR_ALL_DEMAND = 0.1
"""Part of its requests that a group must have as spare room for limits to follow the
demand of cells. With no spare room, cells have equal limits."""

_GROUP_MEAN_EXPIRY_MS: Millis = 3_000
_MIN_REQUESTS = 1.0


@dataclass(slots=True)
class PassLimit:
    """Request limit of one group, from the passes and requests that this node observes.

    Parameters
    ----------
    fixed_ms : float
        Part of a pass's duration that does not depend on the requests.
    steady_share : float
        Share of the promised time between two events that a mean pass may take.

    Notes
    -----
    A node knows only the requests of some ranks, those of its cell, but the duration of
    a pass depends on the requests of all ranks. Callers are not distributed evenly over
    cells, so a cell may have more requests than the mean of the group while the group
    is below its limit: it gets what cells below the mean leave unused. All limits have
    the mean that equal parts would have. At the group's limit, cells get equal parts.
    If they kept what they have, those that once got more would keep more.

    ``_recent_costs`` holds times and milliseconds per request of the last ``_PEAK_MS``,
    as far as no later cost is lower. The first one is therefore the lowest. In the same
    way the first of ``_recent_gaps`` is the longest.
    """

    fixed_ms: float = 0.0
    steady_share: float = STEADY_GAP_SHARE
    _pass_ms: float = 0.0
    _requests: float = 0.0
    _long_term_requests: float = 0.0
    _observed_at: Millis = 0
    _stalled_until: Millis = -1_000_000
    _has_passed_since_stall: bool = False
    _recent_costs: deque[tuple[Millis, float]] = field(default_factory=deque)
    _recent_gaps: deque[tuple[Millis, Millis]] = field(default_factory=deque)
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
        if self._detect_stall(gap, now):
            return
        if not self._observed_at:
            self._pass_ms, self._requests = float(gap), requests
            self._long_term_requests = requests
        elapsed = max(1, now - self._observed_at)
        weight = 1.0 - exp(-elapsed / _SMOOTHING_MS)
        long_term_weight = 1.0 - exp(-elapsed / _LONG_TERM_SMOOTHING_MS)
        self._long_term_requests += long_term_weight * (
            requests - self._long_term_requests
        )
        self._observed_at = now
        self._pass_ms += weight * (gap - self._pass_ms)
        self._requests += weight * (requests - self._requests)
        self._record_cost(now)
        self._record_gap(gap, now)

    def _detect_stall(self, gap: Millis, now: Millis) -> bool:
        """Return whether the group stood still in ``gap``, which is then no pass.

        All its streams show the same stall. Two long gaps in a row are passes.
        """
        if gap < _STALL_MS:
            self._has_passed_since_stall = True
            return False
        is_same_stall = now - gap < self._stalled_until
        if not is_same_stall and not self._has_passed_since_stall:
            return False
        if not is_same_stall:
            self._stalled_until, self._has_passed_since_stall = now, False
        return True

    def record_group_mean(self, group_mean: float, now: Millis) -> None:
        """Record the mean number of requests per rank of the group, about 1 s old."""
        if self.group_mean(now) is None:
            # Costs so far are relative to the requests of this node's ranks.
            self._recent_costs.clear()
        self._group_mean, self._group_mean_at = group_mean, now

    def group_mean(self, now: Millis) -> float | None:
        """Return the last reported mean over all ranks; None if it has expired."""
        if (
            self._group_mean_at is None
            or now - self._group_mean_at >= _GROUP_MEAN_EXPIRY_MS
        ):
            return None
        return self._group_mean

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
        if not promised_gap or self._pass_ms <= self.fixed_ms:
            return float(slots)
        mean = self._present_group_mean(now)
        peak_ms = _PEAK_GAP_SHARE * promised_gap - self.fixed_ms
        peak_factor = peak_ms / (self._pass_ms - self.fixed_ms)
        steady_factor = self._steady_factor(promised_gap, mean)
        spare_share = min(1.0, max(0.0, (steady_factor - 1.0) / _SPARE_FOR_ALL_DEMAND))
        wanted = mean + spare_share * (self._requests - mean)
        limit = min(peak_factor, steady_factor) * wanted
        return min(float(slots), max(_MIN_REQUESTS, limit))

    def _steady_factor(self, promised_gap: Millis, mean: float) -> float:
        """Return how many times its present requests the group may run for long."""
        variable_ms = self._pass_ms - self.fixed_ms
        has_late_events = self._recent_gaps[0][1] > promised_gap
        if self._recent_costs and not has_late_events:
            variable_ms = min(variable_ms, mean * self._recent_costs[0][1])
        steady_ms = self.steady_share * promised_gap - self.fixed_ms
        return steady_ms / variable_ms if variable_ms > 0 else inf

    def _record_cost(self, now: Millis) -> None:
        """Record by how much each request makes a pass longer at present."""
        costs = self._recent_costs
        while costs and costs[0][0] <= now - _PEAK_MS:
            costs.popleft()
        mean = self._present_group_mean(now)
        if mean <= 0:
            return
        cost = max(0.0, self._pass_ms - self.fixed_ms) / mean
        while costs and costs[-1][1] >= cost:
            costs.pop()
        costs.append((now, cost))

    def _record_gap(self, gap: Millis, now: Millis) -> None:
        gaps = self._recent_gaps
        while gaps and gaps[0][0] <= now - _LATE_EVENT_MEMORY_MS:
            gaps.popleft()
        while gaps and gaps[-1][1] <= gap:
            gaps.pop()
        gaps.append((now, gap))

    def _present_group_mean(self, now: Millis) -> float:
        """Return the estimated mean over all ranks at present.

        Scaled by the decrease of this node's requests since the report, because a jump
        in expert popularity reduces those of all ranks alike. An increase may be this
        cell's alone.
        """
        group_mean = self.group_mean(now)
        if not group_mean or self._long_term_requests <= 0:
            return self._requests
        return group_mean * min(1.0, self._requests / self._long_term_requests)
