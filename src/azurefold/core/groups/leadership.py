"""Who coordinates the groups' maps, by one row of the store and the beats of peers.

The row names the holder; its version is the term. Whoever replaces the row takes
over. In between the holder does not have to write: its beats to the other nodes
show that it lives. A renewal each second from one node and looks at it from
eight others would be most of what such a site asks of its store, and a holder
that only the store cannot hear would stop for nothing.

A holder that was paused, or is cut off, may go on for a moment beside its
successor. Maps stay one in each pass all the same: versions hold the term above
a serial number, ranks refuse to prepare a version below one they have had, and a
rank that is armed prepares nothing. Of two changes at a time at most one finds
all ranks armed, and only then is a hold released.
"""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = ["LeaderHeartbeat", "Leadership", "LeadershipPolicy"]


@dataclass(frozen=True, slots=True)
class LeadershipPolicy:
    """Waits, in milliseconds.

    Parameters
    ----------
    heartbeat_timeout : int
        Without a beat of the holder, until another node takes over. Beats come
        at least twice a second, so three in a row are lost.
    initial_heartbeat_timeout : int
        The same for a node that has just started, or has just learned who
        holds the row: a holder that is alive beats within half a second.
    heartbeat_timeout_in_change, stagger_in_change : int
        The same two while the holder changes a map. It may have the group held: a
        holder that stood still for 4 s then kept all streams from going on for 3 s,
        after which their callers had gone. Beats come every 150 ms at that time; a
        holder that is succeeded for nothing does no harm.
    stagger : int
        Between two nodes of which the first is to try first.
    retry_delay : int
        Until a node tries again after the store gave no answer.
    resign_backoff : int
        For which a holder that gave up lets others try.
    confirmation_ttl : int
        For which a confirmation of the row is taken for fresh. Shorter than
        ``heartbeat_timeout``, so nobody has taken over yet.
    """

    heartbeat_timeout: Millis = 1_700
    initial_heartbeat_timeout: Millis = 700
    heartbeat_timeout_in_change: Millis = 450
    stagger_in_change: Millis = 40
    stagger: Millis = 150
    retry_delay: Millis = 700
    resign_backoff: Millis = 6_000
    confirmation_ttl: Millis = 900


@dataclass(frozen=True, slots=True)
class LeaderHeartbeat:
    """What a holder tells the other nodes.

    Parameters
    ----------
    node : str
    term : int
    is_changing : bool
        Whether a change of a map is under way.
    """

    node: str
    term: int
    is_changing: bool = False


@dataclass(slots=True)
class Leadership:
    """One node's view of who holds the row.

    Parameters
    ----------
    node : str
    policy : LeadershipPolicy
    position : int
        This node's place among those that may take over.
    term : int
        The highest known.
    """

    node: str
    policy: LeadershipPolicy = field(default_factory=LeadershipPolicy)
    position: int = 0
    term: int = 0
    _is_leader: bool = False
    _confirmed_at: Millis = 0
    _heard_at: Millis = 0
    _heard_beat: bool = False
    _heard_changing: bool = False
    _not_before: Millis = 0

    @property
    def is_leader(self) -> bool:
        """Whether this node coordinates, as far as it knows."""
        return self._is_leader

    def start(self, now: Millis) -> None:
        """Begin to wait for beats."""
        self._heard_at = now

    def on_heartbeat(self, beat: LeaderHeartbeat, now: Millis) -> bool:
        """Take in a beat; return whether it ended this node's own term."""
        if beat.term < self.term or beat.node == self.node:
            return False
        self.term = beat.term
        self._heard_at = now
        self._heard_beat = True
        self._heard_changing = beat.is_changing
        lost = self._is_leader
        self._is_leader = False
        return lost

    def on_resignation(self, beat: LeaderHeartbeat, now: Millis) -> None:
        """Take in that the holder gives its term up."""
        if beat.term >= self.term and not self._is_leader:
            self.term = beat.term
            self._heard_at = now - self.policy.heartbeat_timeout

    def should_take_over(self, now: Millis) -> bool:
        """Whether this node should try to take the row."""
        if self._is_leader or now < self._not_before:
            return False
        return now - self._heard_at >= self._wait()

    def _wait(self) -> Millis:
        policy = self.policy
        if self._heard_beat and self._heard_changing:
            return (
                policy.heartbeat_timeout_in_change
                + self.position * policy.stagger_in_change
            )
        silence = (
            policy.heartbeat_timeout
            if self._heard_beat
            else policy.initial_heartbeat_timeout
        )
        return silence + self.position * policy.stagger

    def is_confirmed(self, now: Millis) -> bool:
        """Whether the row was this node's a moment ago."""
        return now - self._confirmed_at < self.policy.confirmation_ttl

    def may_start_change(
        self, reachable_peers: int, known_peers: int, now: Millis
    ) -> bool:
        """Whether this node may begin a change of a map.

        What goes wrong without: a holder that is cut off from everybody goes on
        beside its successor for as long as the cut lasts, and their changes
        take turns at failing.

        Parameters
        ----------
        reachable_peers, known_peers : int
            Other nodes that are heard, and all that are known.
        now : int
        """
        if not self._is_leader:
            return False
        return self.is_confirmed(now) or 2 * reachable_peers >= known_peers

    def on_row_acquired(self, term: int, asked_at: Millis) -> None:
        """Note that the row is this node's, as of a write sent at ``asked_at``."""
        self.term = term
        self._is_leader = True
        self._heard_beat = True
        self._heard_changing = False
        self._confirmed_at = asked_at

    def on_row_refused(self, term: int, now: Millis) -> bool:
        """Note that the row is another's; return whether a term was lost."""
        self.term = max(self.term, term)
        self._heard_at = now
        self._heard_beat = False
        lost = self._is_leader
        self._is_leader = False
        return lost

    def on_store_unanswered(self, now: Millis) -> None:
        """Note that the store gave no answer."""
        self._not_before = now + self.policy.retry_delay

    def resign(self, now: Millis) -> None:
        """Let another node try."""
        self._is_leader = False
        self._heard_at = now
        self._not_before = now + self.policy.resign_backoff
