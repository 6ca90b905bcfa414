"""Who coordinates the groups' maps, by one row of the store and the beats of peers.

The row names the holder; its version is the term. Whoever replaces the row takes
over, and the holder before learns it when it next has the row confirmed, which
it does before each change. In between the holder does not write: its beats to
the other nodes show that it lives. A renewal each second from one node and looks
at it from eight others would be most of what such a site asks of its store.

A holder that was paused may go on for a moment beside its successor. That is
safe: a change that its successor has not seen began before the pause, and its
next orders meet passes that have begun.
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
        several times a second, so this is many lost ones in a row.
    stagger : int
        Between two nodes of which the first is to try first.
    retry : int
        Until a node tries again after the store gave no answer.
    rest : int
        For which a holder that gave up lets others try.
    confirmed_for : int
        A confirmation of the row that is older must be renewed before the
        group is held. Shorter than ``silence``, so nobody has taken over yet.
    """

    silence: Millis = 1_800
    stagger: Millis = 250
    retry: Millis = 700
    rest: Millis = 6_000
    confirmed_for: Millis = 900


@dataclass(frozen=True, slots=True)
class Beat:
    """What a holder tells the other nodes."""

    node: str
    term: int


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
        lost = self._holds
        self._holds = False
        return lost

    def should_take(self, now: Millis) -> bool:
        """Whether this node should try to take the row."""
        if self._holds or now < self._not_before:
            return False
        wait = self.policy.silence + self.position * self.policy.stagger
        return now - self._heard_at >= wait

    def must_confirm(self, now: Millis) -> bool:
        """Whether the row must be confirmed before the group may be held."""
        return now - self._confirmed_at >= self.policy.confirmed_for

    def taken(self, term: int, asked_at: Millis) -> None:
        """Note that the row is this node's, as of a write sent at ``asked_at``."""
        self.term = term
        self._holds = True
        self._confirmed_at = asked_at

    def refused(self, term: int, now: Millis) -> bool:
        """Note that the row is another's; return whether a term was lost."""
        self.term = max(self.term, term)
        self._heard_at = now
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
