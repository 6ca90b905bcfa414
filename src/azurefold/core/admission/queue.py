"""The fair queue in front of the endpoints.

Confirmations go before drafts, but drafts keep a floor; within a class each
organisation gets an equal share of tokens. What cannot be served in time is
refused at once, with the time at which coming back is worth while.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from heapq import heappop, heappush

from azurefold.core.admission.deficit_round_robin import DeficitRoundRobinQueue
from azurefold.core.admission.drain import DrainRate, jitter_retry_after
from azurefold.core.admission.messages import (
    OfferResult,
    Priority,
    Queued,
    QueueItem,
    RefusalReason,
    Refused,
    RefusedItem,
)
from azurefold.core.clock import Millis

__all__ = ["FairQueue", "QueuePolicy"]


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Bounds and weights of the queue.

    Parameters
    ----------
    max_length : int
        Requests that may wait in all.
    max_per_organisation : int
        Requests of one organisation that may wait in one class.
    quantum : int
        Tokens an organisation may take in each round.
    draft_floor : float
        Share of the tokens that drafts get while they wait.
    newest_first_after : int or None
        Milliseconds of waiting from which an organisation's newest request goes
        first. In a queue that does not empty, every request would otherwise be
        served after the same long wait, and none of them on time; the newest
        still can be. None keeps the order of arrival.
    """

    max_length: int = 512
    max_per_organisation: int = 128
    quantum: int = 512
    draft_floor: float = 0.1
    newest_first_after: Millis | None = None


class FairQueue:
    """Requests that wait for an endpoint on one node.

    Call :meth:`expire` before :meth:`take` with the same ``now``, and answer
    what it returns at once.

    Parameters
    ----------
    policy : QueuePolicy, optional
        Bounds and weights.
    """

    def __init__(self, policy: QueuePolicy | None = None) -> None:
        self._policy = policy or QueuePolicy()
        self._classes = {
            priority: DeficitRoundRobinQueue(self._policy.quantum)
            for priority in Priority
        }
        self._drains = {priority: DrainRate() for priority in Priority}
        self._items: dict[str, QueueItem] = {}
        self._latest_starts: list[tuple[Millis, str]] = []
        self._paused = False
        self._draft_credit = 0.0
        self._late: list[QueueItem] = []

    def __len__(self) -> int:
        return len(self._items)

    def set_weights(self, shares: Mapping[str, float]) -> None:
        """Take in organisations' weights; one that is not named has 1."""
        for queue in self._classes.values():
            queue.set_weights(shares)

    def length_of(self, priority: Priority) -> int:
        """Return how many requests of a class wait."""
        return len(self._classes[priority])

    def offer(self, item: QueueItem, now: Millis) -> OfferResult:
        """Queue a request, or refuse it.

        Raises
        ------
        ValueError
            If a request with the same id waits already.
        """
        if item.request_id in self._items:
            raise ValueError(
                f"request {item.request_id!r} waits already; offer each id once"
            )
        refused = self._reason_to_refuse(item, now)
        if refused is not None:
            return self._refused(item, refused, now)
        if len(self._items) < self._policy.max_length:
            self._push(item, now)
            return Queued()
        victim = self._victim_for(item)
        if victim is None:
            return self._refused(item, RefusalReason.QUEUE_FULL, now)
        self._remove(victim, now)
        refusal = self._refusal(victim, RefusalReason.DISPLACED, now)
        self._push(item, now)
        return Queued(displaced=(refusal,))

    def pause(self, now: Millis) -> None:
        """Note that nothing can be taken for a while, whatever waits.

        What goes wrong without: the rate at which the queue empties falls to
        nothing during an outage, and for seconds after it requests that could be
        served at once are refused, because the queue looks slow.
        """
        self._paused = True
        for drain in self._drains.values():
            drain.emptied(now)

    def resume(self, now: Millis) -> None:
        """Note that requests can be taken again."""
        self._paused = False
        for priority, queue in self._classes.items():
            if len(queue):
                self._drains[priority].waiting(now)

    def take(self, now: Millis, *, include_drafts: bool = True) -> QueueItem | None:
        """Take the request that goes next, or ``None`` if nothing waits.

        Parameters
        ----------
        now : int
            The present time.
        include_drafts : bool, default=True
            Whether a draft may be taken. Without, the last room at the
            endpoints is left to confirmations.
        """
        self._sweep(now)
        priority = self._next_class() if include_drafts else self._confirmations_only()
        if priority is None:
            return None
        queue = self._classes[priority]
        item = self._pop(queue, now)
        del self._items[item.request_id]
        self._drains[priority].taken(item.tokens, now, left=len(queue) > 0)
        self._account(item)
        return item

    def _pop(self, queue: DeficitRoundRobinQueue, now: Millis) -> QueueItem | None:
        """Take the next request of a class; under overload one that can be on time.

        What goes wrong without: each organisation has one or two requests waiting at
        a node, taken in turn. After a second of overload nearly all of those taken
        have waited for too long, and no answer is on time until it is over, although
        as many could be as are served.
        """
        if not self._is_overloaded(queue, now):
            return queue.pop()
        return queue.pop_on_time(now) or queue.pop(newest=True)

    def expire(self, now: Millis) -> list[RefusedItem]:
        """Take out the requests that can no longer meet their deadline."""
        self._sweep(now)
        late, self._late = self._late, []
        return [self._refusal(item, RefusalReason.DEADLINE, now) for item in late]

    def withdraw(self, request_id: str, now: Millis) -> QueueItem | None:
        """Take out a request whose caller has gone; ``None`` if unknown."""
        item = self._items.get(request_id)
        if item is not None:
            self._remove(item, now)
        return item

    def next_expiry(self) -> Millis | None:
        """Return when :meth:`expire` should be called at the latest."""
        starts = self._latest_starts
        while starts and not self._waits(*starts[0]):
            heappop(starts)
        return starts[0][0] + 1 if starts else None

    def expected_wait(self, item: QueueItem, now: Millis) -> float:
        """Return the milliseconds ``item`` would wait if it were queued now."""
        queue = self._classes[item.priority]
        rate = self._drains[item.priority].rate(now)
        if rate is None or not len(queue):
            return 0.0
        # In round robin an organisation waits for its own backlog and for as
        # much of each other one's, whatever a flooding one has queued.
        own = queue.tokens_of(item.organisation) + item.tokens
        weight = queue.weight_of(item.organisation)
        others = queue.weight - weight * bool(queue.tokens_of(item.organisation))
        ahead = min(queue.tokens + item.tokens, own * (others + weight) / weight)
        return ahead / rate if rate > 0 else float("inf")

    def _reason_to_refuse(self, item: QueueItem, now: Millis) -> RefusalReason | None:
        queue = self._classes[item.priority]
        if queue.length_of(item.organisation) >= self._policy.max_per_organisation:
            return RefusalReason.ORGANISATION_FULL
        expected = 0.0 if self._paused else self.expected_wait(item, now)
        if now + expected > item.latest_start:
            return RefusalReason.DEADLINE
        return None

    def _victim_for(self, item: QueueItem) -> QueueItem | None:
        for priority in reversed(Priority):
            if priority < item.priority:
                return None
            queue = self._classes[priority]
            longest = queue.longest()
            if longest is None:
                continue
            own = queue.length_of(item.organisation)
            if priority > item.priority or queue.length_of(longest) > own + 1:
                return queue.newest_of(longest)
        return None

    def _next_class(self) -> Priority | None:
        drafts = self._classes[Priority.DRAFT]
        if not len(self._classes[Priority.CONFIRMATION]):
            return Priority.DRAFT if len(drafts) else None
        if not len(drafts):
            return Priority.CONFIRMATION
        owed = self._draft_credit >= drafts.head().tokens
        return Priority.DRAFT if owed else Priority.CONFIRMATION

    def _is_overloaded(self, queue: DeficitRoundRobinQueue, now: Millis) -> bool:
        after = self._policy.newest_first_after
        return after is not None and now - queue.oldest().queued_at >= after

    def _confirmations_only(self) -> Priority | None:
        if not len(self._classes[Priority.CONFIRMATION]):
            return None
        return Priority.CONFIRMATION

    def _account(self, item: QueueItem) -> None:
        # Without a floor a steady load of confirmations would keep drafts
        # waiting for ever. Seen as drafts that only ever expire.
        if not len(self._classes[Priority.DRAFT]):
            self._draft_credit = 0.0
        elif item.priority is Priority.DRAFT:
            self._draft_credit = max(0.0, self._draft_credit - item.tokens)
        else:
            floor = self._policy.draft_floor
            self._draft_credit += item.tokens * floor / (1.0 - floor)

    def _push(self, item: QueueItem, now: Millis) -> None:
        self._items[item.request_id] = item
        self._classes[item.priority].push(item)
        heappush(self._latest_starts, (item.latest_start, item.request_id))
        if not self._paused:
            self._drains[item.priority].waiting(now)

    def _remove(self, item: QueueItem, now: Millis) -> None:
        del self._items[item.request_id]
        queue = self._classes[item.priority]
        queue.remove(item)
        if not len(queue):
            self._drains[item.priority].emptied(now)

    def _sweep(self, now: Millis) -> None:
        while (at := self.next_expiry()) is not None and at <= now:
            _, request_id = heappop(self._latest_starts)
            item = self._items[request_id]
            self._remove(item, now)
            self._late.append(item)

    def _waits(self, latest_start: Millis, request_id: str) -> bool:
        item = self._items.get(request_id)
        return item is not None and item.latest_start == latest_start

    def _refusal(
        self, item: QueueItem, reason: RefusalReason, now: Millis
    ) -> RefusedItem:
        return RefusedItem(item, self._refused(item, reason, now))

    def _refused(self, item: QueueItem, reason: RefusalReason, now: Millis) -> Refused:
        rate = self._drains[item.priority].rate(now)
        backlog = self._classes[item.priority].tokens
        wait = backlog / rate if rate else 0.0
        return Refused(reason, jitter_retry_after(wait, item.jitter))
