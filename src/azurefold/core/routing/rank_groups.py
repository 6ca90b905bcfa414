"""Tracks which ranks belong to which group, and which groups are down.

All ranks of a group compute each pass together. A rank that is cut off therefore
stalls its whole group, but no other group. A node learns that a group is stalled
from a refusal that names another rank of the group as its cause, or from the
coordinator, which polls all ranks. Requests are sent to other groups in the meantime.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from azurefold.core.clock import Millis
from azurefold.core.routing.peer_loads import endpoint_hash

__all__ = ["GroupStatus", "RankGroups", "Standing"]

_PROBE_INTERVAL_MS: Millis = 1_000
"""Time between two requests that probe whether a group that is down runs again.

The coordinator usually reports the recovery sooner, but it may be cut off."""

_MAX_STATUS_AGE_MS: Millis = 500
"""Time after a refusal in which a status may describe the group before the refusal.

A rank's report is 200 ms old, and reports are polled three times a second."""

_REFUSAL_PAIR_WINDOW_MS: Millis = 500
"""Longest time between refusals of two ranks with room that mark their group down.

All ranks of a stalled group refuse their requests at the same moment."""

_UNKNOWN_GROUP = 0
"""Group of all ranks whose group has not been reported yet.

They are treated as one group, as in a service with a single group."""


class Standing(IntEnum):
    """Whether a group is running, according to the reports of its ranks."""

    RUNS = 0
    DOWN = 1
    FORMS = 2
    """All ranks are present again, and the group will run within its forming time."""


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """Status of one group, as its coordinator reports it.

    Parameters
    ----------
    service, group : int
        Hashes of their names.
    epoch : int
        Increases each time the group is formed again.
    standing : Standing
    ranks : tuple of int
        Name hashes of the group's endpoints.
    running : float or None
        Mean number of running requests over all ranks; None if not known.
    """

    service: int
    group: int
    epoch: int
    standing: Standing
    ranks: tuple[int, ...] = ()
    running: float | None = field(default=None, compare=False)


@dataclass(slots=True)
class _GroupState:
    """State of one group, as this node knows it.

    Parameters
    ----------
    epoch : int
        Epoch of the last status; -1 before the first one.
    down_since : int or None
        When the group went down; None unless it is known to be down.
    refused_at : int
        Time of the last refusal that marked the group down.
    last_probe_at : int
        When the last probe was sent, or the group was last reported as down.
    forming_since : int or None
        When the group began to form; None if it is not forming.
    is_suspected : bool
        Whether the group is possibly stalled.
    recovered_at : int
        When an event last showed that the group runs again.
    refused_by, refused_with_room_at : str, int
        Rank and time of the last refusal by a rank with room.
    """

    epoch: int = -1
    down_since: Millis | None = None
    refused_at: Millis = 0
    last_probe_at: Millis = 0
    forming_since: Millis | None = None
    is_suspected: bool = False
    recovered_at: Millis = -1_000_000
    refused_by: str = ""
    refused_with_room_at: Millis = -1_000_000


@dataclass(slots=True)
class RankGroups:
    """State of all groups of one service, as one node knows it."""

    _group_of: dict[int, int] = field(default_factory=dict)
    _states: dict[int, _GroupState] = field(default_factory=dict)

    def group_of(self, endpoint: str) -> int:
        """Return the name hash of an endpoint's group; 0 if the group is unknown."""
        return self._group_of.get(endpoint_hash(endpoint), _UNKNOWN_GROUP)

    def update_status(self, status: GroupStatus, now: Millis) -> bool:
        """Apply a status from the coordinator; return whether anything changed."""
        state = self._state_of(status.group)
        if status.epoch < state.epoch:
            return False
        has_reformed = status.epoch > state.epoch
        is_outdated = now - state.recovered_at < _MAX_STATUS_AGE_MS and not has_reformed
        if is_outdated and status.standing is not Standing.RUNS:
            # An event that arrived after the ranks' reports shows that the group runs.
            return False
        have_ranks_moved = any(
            self._group_of.get(rank) != status.group for rank in status.ranks
        )
        self._group_of.update(dict.fromkeys(status.ranks, status.group))
        was_down = state.down_since is not None
        state.epoch = status.epoch
        if status.standing is not Standing.RUNS:
            self._mark_down(state, now)
            state.last_probe_at = now
        elif has_reformed or now - state.refused_at >= _MAX_STATUS_AGE_MS:
            state.down_since = None
        if status.standing is not Standing.FORMS:
            state.forming_since = None
        elif state.forming_since is None:
            state.forming_since = now
        return have_ranks_moved or was_down != (state.down_since is not None)

    def record_refusal(self, endpoint: str, cause: str, now: Millis) -> None:
        """Mark a group down after a rank refused a request because of another rank.

        Parameters
        ----------
        endpoint : str
            The rank that refused.
        cause : str
            The rank named as the cause; empty if it is not an endpoint known here.
        now : int
        """
        group = self.group_of(endpoint)
        if group == _UNKNOWN_GROUP and cause:
            group = self.group_of(cause)
        state = self._state_of(group)
        self._mark_down(state, now)
        state.refused_at = state.last_probe_at = now

    def record_refusal_with_room(self, endpoint: str, now: Millis) -> bool:
        """Record a refusal by a rank with room; return whether its group is now down.

        Ranks of a stalled group name themselves as the cause. A single rank may refuse
        for a reason of its own, such as leaving. Refusals of two ranks within half a
        second are attributed to their group.
        """
        state = self._state_of(self.group_of(endpoint))
        state.is_suspected = True
        is_second = now - state.refused_with_room_at < _REFUSAL_PAIR_WINDOW_MS
        if is_second and state.refused_by != endpoint:
            self.record_refusal(endpoint, "", now)
            return True
        state.refused_by, state.refused_with_room_at = endpoint, now
        return False

    def mark_suspected(self, endpoint: str) -> bool:
        """Mark an endpoint's group as possibly stalled; return whether this is new."""
        state = self._state_of(self.group_of(endpoint))
        has_changed = not state.is_suspected
        state.is_suspected = True
        return has_changed

    def is_suspected(self, endpoint: str) -> bool:
        """Whether an endpoint's group is possibly stalled."""
        state = self._states.get(self.group_of(endpoint))
        return state is not None and state.is_suspected

    def record_event(self, endpoint: str, sent_at: Millis, now: Millis) -> bool:
        """Record an event of a request sent at ``sent_at``.

        Returns
        -------
        bool
            Whether the event changed the state of the group.
        """
        state = self._state_of(self.group_of(endpoint))
        was_suspected, state.is_suspected = state.is_suspected, False
        if state.down_since is None or sent_at < state.refused_at:
            return was_suspected
        state.down_since = None
        state.recovered_at = now
        return True

    def is_down(self, endpoint: str) -> bool:
        """Whether an endpoint's group is known to be down.

        A rank that no status has named counts as down while all known groups are: a
        node that has just started hears only of the ranks that the coordinator reaches.
        """
        group = self.group_of(endpoint)
        known = set(self._group_of.values())
        if group == _UNKNOWN_GROUP and known:
            return all(map(self._is_group_down, known))
        return self._is_group_down(group)

    def _is_group_down(self, group: int) -> bool:
        state = self._states.get(group)
        return state is not None and state.down_since is not None

    def forming_since(self, endpoints: Iterable[str]) -> Millis | None:
        """Return when a group of ``endpoints`` last began to form; None if none is."""
        groups = {self.group_of(endpoint) for endpoint in endpoints}
        states = [state for group in groups if (state := self._states.get(group))]
        start_times = [
            state.forming_since for state in states if state.forming_since is not None
        ]
        return max(start_times, default=None)

    def take_probe(self, endpoints: Iterable[str], now: Millis) -> str | None:
        """Select an endpoint of a group that is due for a probe, and record the probe.

        Returns None if no group is due.

        Without probes, a node that is cut off from the coordinator would never learn
        that a group has recovered, and would refuse its requests for ever.
        """
        for endpoint in endpoints:
            state = self._states.get(self.group_of(endpoint))
            if state is None or state.down_since is None:
                continue
            if now - state.last_probe_at >= _PROBE_INTERVAL_MS:
                state.last_probe_at = now
                return endpoint
        return None

    def retain_ranks(self, endpoints: Iterable[str]) -> None:
        """Forget all ranks other than ``endpoints``."""
        hashes = {endpoint_hash(endpoint) for endpoint in endpoints}
        for removed in self._group_of.keys() - hashes:
            del self._group_of[removed]

    def _state_of(self, group: int) -> _GroupState:
        return self._states.setdefault(group, _GroupState())

    @staticmethod
    def _mark_down(state: _GroupState, now: Millis) -> None:
        if state.down_since is None:
            state.down_since = now
            state.last_probe_at = now
