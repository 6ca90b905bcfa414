"""Leader election among the nodes that coordinate the groups' maps.

One row of the store names the leader, and the version of the row is the term. A node
becomes the leader by replacing the row. After that the leader does not have to write
to the store: its heartbeats to the other nodes show that it is alive. If the leader
renewed the row each second and the others polled it, this would be most of the load on
the store of a site with nine nodes. Also, a leader that has lost only its connection
to the store would step down needlessly.

A leader that was paused or is partitioned may stay active for a moment beside its
successor. Even then each pass uses one map. A map version holds the term above a
serial number, ranks refuse to prepare a version lower than one they have had, and an
armed rank refuses to prepare any map. Of two concurrent changes at most one has all
ranks armed, and a hold is released only if all ranks are armed.
"""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = ["LeaderHeartbeat", "Leadership", "LeadershipPolicy"]


@dataclass(frozen=True, slots=True)
class LeadershipPolicy:
    """Timeouts and delays of the leader election, in milliseconds.

    Parameters
    ----------
    heartbeat_timeout : int
        Time without a heartbeat of the leader after which another node takes over.
        Heartbeats are sent at least twice a second, so three in a row were lost.
    initial_heartbeat_timeout : int
        The same for a node that has just started or has just learned who the leader
        is. A live leader sends a heartbeat within half a second.
    heartbeat_timeout_in_change, stagger_in_change : int
        ``heartbeat_timeout`` and ``stagger`` while the leader changes a map. The group
        may be held at that time: a leader that was paused for 4 s blocked all streams
        for 3 s, and their callers had disconnected by then. Heartbeats are sent every
        150 ms during a change, and a needless takeover does no harm.
    stagger : int
        Additional delay for each position in the takeover order.
    retry_delay : int
        Time until a node tries again after the store gave no answer.
    resign_backoff : int
        Time for which a leader that resigned does not try to take over, unless its
        successor is gone, too.
    resigned_stagger : int
        Least additional delay of such a node: nodes that have not tried go first.
    confirmation_ttl : int
        Time for which a confirmed write of the row counts as recent. Shorter than
        ``heartbeat_timeout``, so no other node has taken over yet.
    """

    heartbeat_timeout: Millis = 1_700
    initial_heartbeat_timeout: Millis = 700
    heartbeat_timeout_in_change: Millis = 450
    stagger_in_change: Millis = 40
    stagger: Millis = 150
    retry_delay: Millis = 700
    resign_backoff: Millis = 6_000
    resigned_stagger: Millis = 1_200
    confirmation_ttl: Millis = 900


@dataclass(frozen=True, slots=True)
class LeaderHeartbeat:
    """Heartbeat of a leader.

    Parameters
    ----------
    node : str
        Name of the leader.
    term : int
        Term of the leader.
    is_changing : bool
        Whether the leader has a map change in progress.
    """

    node: str
    term: int
    is_changing: bool = False


@dataclass(slots=True)
class Leadership:
    """One node's view of the leader election.

    Parameters
    ----------
    node : str
        Name of this node.
    policy : LeadershipPolicy
        Timeouts and delays.
    position : int
        This node's position in the takeover order.
    term : int
        The highest known term.
    """

    node: str
    policy: LeadershipPolicy = field(default_factory=LeadershipPolicy)
    position: int = 0
    term: int = 0
    _is_leader: bool = False
    _confirmed_at: Millis = 0
    _waiting_since: Millis = 0
    _has_heartbeat: bool = False
    _is_leader_changing: bool = False
    _resigned_term: int = 0
    _resigned_at: Millis | None = None
    _retry_at: Millis = 0

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader, as far as it knows."""
        return self._is_leader

    def start(self, now: Millis) -> None:
        """Start to wait for heartbeats of a leader."""
        self._waiting_since = now

    def on_heartbeat(self, heartbeat: LeaderHeartbeat, now: Millis) -> bool:
        """Handle a heartbeat; return whether it ended this node's term as leader."""
        if heartbeat.term < self.term or heartbeat.node == self.node:
            return False
        self.term = heartbeat.term
        self._waiting_since = self._retry_at = now
        self._has_heartbeat = True
        self._is_leader_changing = heartbeat.is_changing
        has_lost_term = self._is_leader
        self._is_leader = False
        return has_lost_term

    def on_resignation(self, heartbeat: LeaderHeartbeat, now: Millis) -> None:
        """Handle the resignation of the leader that sent ``heartbeat``.

        It is repeated in each message. Only the first one starts the takeover delay;
        otherwise a node later in the takeover order would wait for ever.
        """
        is_repeated = heartbeat.term <= self._resigned_term
        if is_repeated or heartbeat.term < self.term or self._is_leader:
            return
        self.term = self._resigned_term = heartbeat.term
        self._waiting_since = now - self.policy.heartbeat_timeout
        self._retry_at = now

    def should_take_over(self, now: Millis) -> bool:
        """Whether this node should try to replace the row."""
        if self._is_leader or now < self._retry_at:
            return False
        return now - self._waiting_since >= self._takeover_delay(now)

    def _takeover_delay(self, now: Millis) -> Millis:
        policy = self.policy
        if self._has_heartbeat and self._is_leader_changing:
            timeout = policy.heartbeat_timeout_in_change
            stagger = self.position * policy.stagger_in_change
        else:
            timeout = (
                policy.heartbeat_timeout
                if self._has_heartbeat
                else policy.initial_heartbeat_timeout
            )
            stagger = self.position * policy.stagger
        if self._backs_off(now):
            stagger = max(stagger, policy.resigned_stagger)
        return timeout + stagger

    def _backs_off(self, now: Millis) -> bool:
        """Whether this node resigned a short time ago."""
        resigned_at = self._resigned_at
        return (
            resigned_at is not None and now - resigned_at < self.policy.resign_backoff
        )

    def is_confirmed(self, now: Millis) -> bool:
        """Whether a recent write confirmed that this node is the leader."""
        return now - self._confirmed_at < self.policy.confirmation_ttl

    def can_start_change(
        self, reachable_peers: int, known_peers: int, now: Millis
    ) -> bool:
        """Whether this node may start a map change.

        Without this check a fully partitioned leader stays active beside its successor
        until the partition ends, and their concurrent changes make each other fail.

        Parameters
        ----------
        reachable_peers, known_peers : int
            Number of other nodes whose messages arrive, and of all other known nodes.
        now : int
            Current time, in milliseconds.
        """
        if not self._is_leader:
            return False
        return self.is_confirmed(now) or 2 * reachable_peers >= known_peers

    def on_row_acquired(self, term: int, sent_at: Millis) -> None:
        """Record that this node's write of the row, sent at ``sent_at``, succeeded."""
        self.term = term
        self._is_leader = True
        self._has_heartbeat = True
        self._is_leader_changing = False
        self._confirmed_at = sent_at

    def on_row_refused(self, term: int, now: Millis) -> bool:
        """Record that another node holds the row.

        Returns
        -------
        bool
            Whether this ended this node's term as the leader.
        """
        self.term = max(self.term, term)
        self._waiting_since = now
        self._has_heartbeat = False
        has_lost_term = self._is_leader
        self._is_leader = False
        return has_lost_term

    def on_store_unanswered(self, now: Millis) -> None:
        """Record that the store gave no answer."""
        self._retry_at = now + self.policy.retry_delay

    def resign(self, now: Millis) -> None:
        """Step down, so that another node can take over."""
        self._is_leader = False
        self._waiting_since = self._resigned_at = now
        self._retry_at = now + self.policy.resign_backoff
