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

__all__ = ["Beat", "Leadership", "LeadershipPolicy"]


@dataclass(frozen=True, slots=True)
class LeadershipPolicy:
    """Waits, in milliseconds.

    Parameters
    ----------
    silence : int
        Without a beat of the holder, until another node takes over. Beats come
        at least twice a second, so three in a row are lost.
    first_silence : int
        The same for a node that has just started, or has just learned who
        holds the row: a holder that is alive beats within half a second.
    changing_silence, changing_stagger : int
        The same two while the holder changes a map. It may have the group held: a
        holder that stood still for 4 s then kept all streams from going on for 3 s,
        after which their callers had gone. Beats come every 150 ms at that time; a
        holder that is succeeded for nothing does no harm.
    stagger : int
        Between two nodes of which the first is to try first.
    retry : int
        Until a node tries again after the store gave no answer.
    rest : int
        For which a holder that gave up lets others try.
    confirmed_for : int
        For which a confirmation of the row is taken for fresh. Shorter than
        ``silence``, so nobody has taken over yet.
    """

    silence: Millis = 1_700
    first_silence: Millis = 700
    changing_silence: Millis = 450
    changing_stagger: Millis = 40
    stagger: Millis = 150
    retry: Millis = 700
    rest: Millis = 6_000
    confirmed_for: Millis = 900


@dataclass(frozen=True, slots=True)
class Beat:
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
    _holds: bool = False
    _confirmed_at: Millis = 0
    _heard_at: Millis = 0
    _heard_beat: bool = False
    _heard_changing: bool = False
    _not_before: Millis = 0

    @property
    def holds(self) -> bool:
        """Whether this node coordinates, as far as it knows."""
        return self._holds

    def start(self, now: Millis) -> None:
        """Begin to wait for beats."""
        self._heard_at = now

    def heard(self, beat: Beat, now: Millis) -> bool:
        """Take in a beat; return whether it ended this node's own term."""
        if beat.term < self.term or beat.node == self.node:
            return False
        self.term = beat.term
        self._heard_at = now
        self._heard_beat = True
        self._heard_changing = beat.is_changing
        lost = self._holds
        self._holds = False
        return lost

    def ended(self, beat: Beat, now: Millis) -> None:
        """Take in that the holder gives its term up."""
        if beat.term >= self.term and not self._holds:
            self.term = beat.term
            self._heard_at = now - self.policy.silence

    def should_take(self, now: Millis) -> bool:
        """Whether this node should try to take the row."""
        if self._holds or now < self._not_before:
            return False
        return now - self._heard_at >= self._wait()

    def _wait(self) -> Millis:
        policy = self.policy
        if self._heard_beat and self._heard_changing:
            return policy.changing_silence + self.position * policy.changing_stagger
        silence = policy.silence if self._heard_beat else policy.first_silence
        return silence + self.position * policy.stagger

    def is_confirmed(self, now: Millis) -> bool:
        """Whether the row was this node's a moment ago."""
        return now - self._confirmed_at < self.policy.confirmed_for

    def may_change(self, heard: int, peers: int, now: Millis) -> bool:
        """Whether this node may begin a change of a map.

        What goes wrong without: a holder that is cut off from everybody goes on
        beside its successor for as long as the cut lasts, and their changes
        take turns at failing.

        Parameters
        ----------
        heard, peers : int
            Other nodes that are heard, and all that are known.
        now : int
        """
        if not self._holds:
            return False
        return self.is_confirmed(now) or 2 * heard >= peers

    def taken(self, term: int, asked_at: Millis) -> None:
        """Note that the row is this node's, as of a write sent at ``asked_at``."""
        self.term = term
        self._holds = True
        self._heard_beat = True
        self._heard_changing = False
        self._confirmed_at = asked_at

    def refused(self, term: int, now: Millis) -> bool:
        """Note that the row is another's; return whether a term was lost."""
        self.term = max(self.term, term)
        self._heard_at = now
        self._heard_beat = False
        lost = self._holds
        self._holds = False
        return lost

    def unanswered(self, now: Millis) -> None:
        """Note that the store gave no answer."""
        self._not_before = now + self.policy.retry

    def resign(self, now: Millis) -> None:
        """Let another node try."""
        self._holds = False
        self._heard_at = now
        self._not_before = now + self.policy.rest
