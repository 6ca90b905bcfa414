"""Which ranks make up which group, and which groups are known to be down.

All ranks of a group compute each pass together, so one that is cut off stops all
of them, and none of another group. A refusal that names another rank tells that
the refusing rank's group stands still; so does the coordinator, which asks all
ranks. Requests go to other groups meanwhile.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from azurefold.core.clock import Millis
from azurefold.core.routing.peer_loads import endpoint_hash

__all__ = ["GroupStatus", "RankGroups", "Standing"]

_TRIAL_EVERY_MS: Millis = 1_000
"""Between two requests by which a node finds out for itself whether a group runs
again; a coordinator tells sooner, but may be cut off."""

_NEWS_AGE_MS: Millis = 500
"""A rank's report is 200 ms old and looked at three times a second: what is told
within this time of a refusal may be of before it."""

_TWO_REFUSALS_MS: Millis = 500
"""Between refusals of two ranks with room that put their group out: all ranks of a
group that stands still refuse what they have at the same moment."""

_UNKNOWN = 0
"""Stands for the group of ranks of which nobody has told yet: they are taken for
one, as in a service that has a single group."""


class Standing(IntEnum):
    """Whether a group runs, by what its ranks report."""

    RUNS = 0
    DOWN = 1
    FORMS = 2
    """All ranks are there again, and it runs within the time that forming takes."""


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """What the coordinator tells of one group.

    Parameters
    ----------
    service, group : int
        Marks that stand for their names.
    epoch : int
        Rises each time the group forms anew.
    standing : Standing
    ranks : tuple of int
        Marks of its endpoints.
    running : float or None
        Requests that each of all its ranks runs, on average; None if not known.
    """

    service: int
    group: int
    epoch: int
    standing: Standing
    ranks: tuple[int, ...] = ()
    running: float | None = field(default=None, compare=False)


@dataclass(slots=True)
class _Known:
    """What is known of one group.

    ``down_since`` is None while it is not known to be down.
    """

    epoch: int = -1
    down_since: Millis | None = None
    refused_at: Millis = 0
    tried_at: Millis = 0
    forming_since: Millis | None = None
    is_suspected: bool = False
    served_at: Millis = -1_000_000
    refused_by: str = ""
    refused_with_room_at: Millis = -1_000_000


@dataclass(slots=True)
class RankGroups:
    """The groups of one service, as one node knows them."""

    _group_of: dict[int, int] = field(default_factory=dict)
    _standings: dict[int, _Known] = field(default_factory=dict)

    def group_of(self, endpoint: str) -> int:
        """Return the number of an endpoint's group; 0 if it is not known."""
        return self._group_of.get(endpoint_hash(endpoint), _UNKNOWN)

    def update_status(self, news: GroupStatus, now: Millis) -> bool:
        """Take in what the coordinator tells; return whether anything changed."""
        standing = self._standing(news.group)
        if news.epoch < standing.epoch:
            return False
        formed = news.epoch > standing.epoch
        is_old = now - standing.served_at < _NEWS_AGE_MS and not formed
        if is_old and news.standing is not Standing.RUNS:
            # The group has given events since: it runs, whatever ranks said before.
            return False
        moved = any(self._group_of.get(rank) != news.group for rank in news.ranks)
        self._group_of.update(dict.fromkeys(news.ranks, news.group))
        was_down = standing.down_since is not None
        standing.epoch = news.epoch
        if news.standing is not Standing.RUNS:
            self._note_down(standing, now)
            standing.tried_at = now
        elif formed or now - standing.refused_at >= _NEWS_AGE_MS:
            standing.down_since = None
        if news.standing is not Standing.FORMS:
            standing.forming_since = None
        elif standing.forming_since is None:
            standing.forming_since = now
        return moved or was_down != (standing.down_since is not None)

    def record_refusal(self, endpoint: str, at_fault: str, now: Millis) -> None:
        """Note that a rank refused because of another one.

        Parameters
        ----------
        endpoint : str
            The rank that refused.
        at_fault : str
            The rank that it named; empty if that is no endpoint known here.
        now : int
        """
        group = self.group_of(endpoint)
        if group == _UNKNOWN and at_fault:
            group = self.group_of(at_fault)
        standing = self._standing(group)
        self._note_down(standing, now)
        standing.refused_at = standing.tried_at = now

    def record_refusal_with_room(self, endpoint: str, now: Millis) -> bool:
        """Note that a rank refused although it had room; return if its group is down.

        Ranks of a group that stands still name themselves as the cause. One rank may
        have causes of its own, as when it is leaving: two of them within half a
        second have the group in common.
        """
        known = self._standing(self.group_of(endpoint))
        known.is_suspected = True
        is_second = now - known.refused_with_room_at < _TWO_REFUSALS_MS
        if is_second and known.refused_by != endpoint:
            self.record_refusal(endpoint, "", now)
            return True
        known.refused_by, known.refused_with_room_at = endpoint, now
        return False

    def mark_suspected(self, endpoint: str) -> bool:
        """Note a sign that an endpoint's group stands still; return if that is news."""
        standing = self._standing(self.group_of(endpoint))
        is_news = not standing.is_suspected
        standing.is_suspected = True
        return is_news

    def is_suspected(self, endpoint: str) -> bool:
        """Whether an endpoint's group seems to stand still."""
        standing = self._standings.get(self.group_of(endpoint))
        return standing is not None and standing.is_suspected

    def record_event(self, endpoint: str, sent_at: Millis, now: Millis) -> bool:
        """Note an event of a request sent at ``sent_at``; return if that is news."""
        standing = self._standing(self.group_of(endpoint))
        was_doubted, standing.is_suspected = standing.is_suspected, False
        if standing.down_since is None or sent_at < standing.refused_at:
            return was_doubted
        standing.down_since = None
        standing.served_at = now
        return True

    def is_down(self, endpoint: str) -> bool:
        """Whether an endpoint's group is known to be down."""
        standing = self._standings.get(self.group_of(endpoint))
        return standing is not None and standing.down_since is not None

    def forming_since(self, endpoints: Iterable[str]) -> Millis | None:
        """Return since when a group of ``endpoints`` forms anew; None if none does."""
        groups = {self.group_of(endpoint) for endpoint in endpoints}
        known = [each for group in groups if (each := self._standings.get(group))]
        since = [each.forming_since for each in known if each.forming_since is not None]
        return max(since, default=None)

    def take_probe(self, endpoints: Iterable[str], now: Millis) -> str | None:
        """Return an endpoint of a group that is due for a trial, if there is one.

        What goes wrong without: the coordinator is cut off from this node, nothing
        tells that the group runs again, and its requests are refused for ever.
        """
        for endpoint in endpoints:
            standing = self._standings.get(self.group_of(endpoint))
            if standing is None or standing.down_since is None:
                continue
            if now - standing.tried_at >= _TRIAL_EVERY_MS:
                standing.tried_at = now
                return endpoint
        return None

    def retain_ranks(self, endpoints: Iterable[str]) -> None:
        """Forget the ranks that are gone."""
        marks = {endpoint_hash(endpoint) for endpoint in endpoints}
        for gone in self._group_of.keys() - marks:
            del self._group_of[gone]

    def _standing(self, group: int) -> _Known:
        return self._standings.setdefault(group, _Known())

    @staticmethod
    def _note_down(standing: _Known, now: Millis) -> None:
        if standing.down_since is None:
            standing.down_since = now
            standing.tried_at = now
