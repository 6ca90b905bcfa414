"""The fair queue in front of the endpoints.

More urgent classes are served first, but each less urgent class is guaranteed a
minimum share of the tokens while it waits. Services with three or more priorities have
a class for each; all others have two, confirmations and drafts. Within a class
organisations share the tokens in proportion to their weights. A request that cannot
be served before its deadline is refused at once, with the time after which the caller
should retry.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from heapq import heappop, heappush

from azurefold.core.admission.deficit_round_robin import DeficitRoundRobinQueue
from azurefold.core.admission.drain import DrainRate, jitter_retry_after
from azurefold.core.admission.floor_credits import FloorCredits
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

__all__ = ["DEFAULT_CLASS_FLOOR", "FairQueue", "QueuePolicy"]

DEFAULT_CLASS_FLOOR = 0.05

_FEWEST_CLASSES = 2


_MAX_FLOORS = 0.5
"""Largest share of the tokens that the floors of all classes may take."""


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Bounds and scheduling parameters of the queue.

    Parameters
    ----------
    max_length : int
        Maximum number of waiting requests.
    max_per_organisation : int
        Maximum number of waiting requests of one organisation in one class.
    quantum : int
        Tokens that an organisation of weight 1 gets in each round.
    min_draft_share : float
        Minimum share of the tokens that drafts get while drafts wait.
    class_floor : float
        The same for each class but the most urgent one, if there are more than two.
    newest_first_after : int or None
        Once the oldest request of a class has waited this many milliseconds,
        each organisation's newest request is served first. Under sustained
        overload every request would otherwise be served after the same long wait
        and miss its latency objective; the newest can still meet it. None always
        keeps the order of arrival.
    """

    max_length: int = 512
    max_per_organisation: int = 128
    quantum: int = 512
    min_draft_share: float = 0.1
    class_floor: float = DEFAULT_CLASS_FLOOR
    newest_first_after: Millis | None = None


class FairQueue:
    """The requests that wait for an endpoint on one node, by priority class.

    Classes are indices, 0 for the most urgent one.

    Call :meth:`expire` before :meth:`take` with the same ``now``, and answer the
    requests that it returns at once.

    Parameters
    ----------
    policy : QueuePolicy, optional
        Bounds and scheduling parameters.
    class_count : int, default=2
        Number of priority classes.

    Attributes
    ----------
    elsewhere : tuple of int
        Number of requests of each class that wait at other nodes for the same
        endpoints; empty if that is not known.
    other_nodes : int
        Number of other nodes that send requests to these endpoints.
    """

    def __init__(
        self, policy: QueuePolicy | None = None, class_count: int = _FEWEST_CLASSES
    ) -> None:
        self._policy = policy or QueuePolicy()
        self.elsewhere: tuple[int, ...] = ()
        self.other_nodes = 0
        self._weights: Mapping[str, float] = {}
        self._create_classes(class_count)
        self._items: dict[str, QueueItem] = {}
        self._latest_starts: list[tuple[Millis, str]] = []
        self._is_paused = False
        self._expired: list[QueueItem] = []

    def _create_classes(self, count: int) -> None:
        self._class_queues = [
            DeficitRoundRobinQueue(self._policy.quantum) for _ in range(count)
        ]
        for queue in self._class_queues:
            queue.set_weights(self._weights)
        self._drain_rates = [DrainRate() for _ in range(count)]
        # All floors together leave half of the tokens to the order of urgency.
        floor = min(self._policy.class_floor, _MAX_FLOORS / max(1, count - 1))
        self._credits = FloorCredits(count, floor)
        self._draft_credit = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the organisations' weights; one that is not named has weight 1."""
        self._weights = weights
        for queue in self._class_queues:
            queue.set_weights(weights)

    @property
    def class_count(self) -> int:
        """Number of priority classes."""
        return len(self._class_queues)

    @property
    def has_many_classes(self) -> bool:
        """Whether there are more classes than confirmations and drafts."""
        return self.class_count > _FEWEST_CLASSES

    @property
    def lengths(self) -> tuple[int, ...]:
        """Number of waiting requests of each class."""
        return tuple(map(len, self._class_queues))

    def more_urgent_elsewhere(self, priority: int) -> int:
        """Return how many requests more urgent than a class wait at other nodes."""
        return sum(self.elsewhere[:priority])

    def part_of(self, priority: int) -> float:
        """Return this node's part of the waiting requests of a class, at most 1."""
        here = len(self._class_queues[priority])
        elsewhere = sum(self.elsewhere[priority : priority + 1])
        return here / (here + elsewhere) if here else 0.0

    def set_classes(
        self, count: int, new_class_of: Callable[[int], int], now: Millis
    ) -> None:
        """Change the classes; waiting requests keep their order within a class.

        Parameters
        ----------
        count : int
            Number of classes from now on.
        new_class_of : callable
            Returns the new class of the requests of an old one.
        now : int
            The current time.
        """
        self.elsewhere = ()
        items = list(self._items.values())
        self._items.clear()
        self._latest_starts.clear()
        self._create_classes(count)
        for item in items:
            self._push(replace(item, priority=new_class_of(item.priority)), now)
        self._expired = [
            replace(item, priority=new_class_of(item.priority))
            for item in self._expired
        ]

    def length_of(self, priority: int) -> int:
        """Return the number of waiting requests of a class."""
        return len(self._class_queues[priority])

    def offer(self, item: QueueItem, now: Millis) -> OfferResult:
        """Queue a request or refuse it.

        Raises
        ------
        ValueError
            If a request with the same id is already queued.
        """
        if item.request_id in self._items:
            raise ValueError(
                f"request {item.request_id!r} is already queued; offer each id once"
            )
        self._credits.record_wanted(item.priority, item.tokens)
        reason = self._find_refusal_reason(item, now)
        if reason is not None:
            return self._build_refused(item, reason, now)
        if len(self._items) < self._policy.max_length:
            self._push(item, now)
            return Queued()
        displaced_item = self._select_displaced(item)
        if displaced_item is None:
            return self._build_refused(item, RefusalReason.QUEUE_FULL, now)
        self._remove(displaced_item, now)
        refused_item = self._build_refused_item(
            displaced_item, RefusalReason.DISPLACED, now
        )
        self._push(item, now)
        return Queued(displaced=(refused_item,))

    def correct(
        self, organisation: str, priority: int, tokens: int, now: Millis
    ) -> None:
        """Charge an organisation with tokens beyond an estimate; below 0 if fewer."""
        # The configuration may have fewer classes than when the request was queued.
        index = min(priority, len(self._class_queues) - 1)
        self._class_queues[index].correct(organisation, tokens, now)

    def pause(self, now: Millis) -> None:
        """Stop measuring the drain rate while no request can be dispatched.

        Otherwise the measured rate falls towards zero during an outage. For some
        seconds after it, requests that could be served at once would be refused
        because their expected wait looks too long.
        """
        self._is_paused = True
        for drain_rate in self._drain_rates:
            drain_rate.end_busy_period(now)

    def resume(self, now: Millis) -> None:
        """Resume measuring the drain rate once requests can be dispatched again."""
        self._is_paused = False
        for priority, queue in enumerate(self._class_queues):
            if len(queue):
                self._drain_rates[priority].start_busy_period(now)

    def take(self, now: Millis, *, least_urgent: int | None = None) -> QueueItem | None:
        """Remove and return the next request, or ``None`` if there is none.

        Parameters
        ----------
        now : int
            The current time.
        least_urgent : int or None
            Least urgent class of which a request may be returned. The remaining
            endpoint capacity is reserved for more urgent ones. None allows all.
        """
        self._remove_expired(now)
        count = self.class_count if least_urgent is None else least_urgent + 1
        priority = self._select_class(count)
        return None if priority is None else self._take_from(priority, now)

    def take_owed(self, now: Millis) -> QueueItem | None:
        """Remove and return a request of a class that is owed its floor, if any."""
        self._remove_expired(now)
        priority = self._select_owed_class(self.class_count)
        return None if priority is None else self._take_from(priority, now)

    def record_passed(self, priority: int, tokens: int) -> None:
        """Credit waiting classes for a request that was served without waiting.

        Otherwise a class that waits for the reserve to become free would never be
        owed its floor while all more urgent requests find room at once.
        """
        is_last = not len(self._class_queues[priority])
        self._credits.record_served(priority, tokens, is_last=is_last)

    def wanted_part_of(self, priority: int) -> float:
        """Return this node's part of the work that a class is owed.

        Requests that were refused do not show in the numbers of those that wait, so
        each other node is counted with at least one.
        """
        if not self._credits.is_wanted(priority):
            return 0.0
        here = max(1, len(self._class_queues[priority]))
        elsewhere = sum(self.elsewhere[priority : priority + 1])
        return here / (here + max(elsewhere, self.other_nodes))

    def record_work_elsewhere(self, priority: int, tokens: float) -> None:
        """Credit a class for work of other nodes, if it collects credit."""
        self._credits.collect(priority, tokens)

    def _take_from(self, priority: int, now: Millis) -> QueueItem:
        queue = self._class_queues[priority]
        item = self._pop(queue, now)
        del self._items[item.request_id]
        self._drain_rates[priority].record_take(
            item.tokens, now, is_more_waiting=len(queue) > 0
        )
        self._update_credits(item)
        return item

    def _pop(self, queue: DeficitRoundRobinQueue, now: Millis) -> QueueItem | None:
        """Remove the next request; under overload, one that can still be on time.

        In round robin each organisation has one or two requests waiting at a node.
        After a second of overload nearly all dequeued requests would have waited
        too long, and no answer would be on time until the overload ends, although
        as many could be on time as are served.
        """
        if not self._is_overloaded(queue, now):
            return queue.pop()
        return queue.pop_on_time(now) or queue.pop(newest=True)

    def expire(self, now: Millis) -> list[RefusedItem]:
        """Remove and return the requests that can no longer meet their deadline."""
        self._remove_expired(now)
        expired, self._expired = self._expired, []
        return [
            self._build_refused_item(item, RefusalReason.DEADLINE, now)
            for item in expired
        ]

    def withdraw(self, request_id: str, now: Millis) -> QueueItem | None:
        """Remove a request whose caller has disconnected; ``None`` if unknown."""
        item = self._items.get(request_id)
        if item is not None:
            self._remove(item, now)
        return item

    def next_expiry(self) -> Millis | None:
        """Return the time by which :meth:`expire` must be called, if any."""
        starts = self._latest_starts
        # Requests that leave the queue stay in the heap until they reach its top.
        while starts and not self._is_queued(*starts[0]):
            heappop(starts)
        return starts[0][0] + 1 if starts else None

    def estimate_wait(self, item: QueueItem, now: Millis) -> float:
        """Return the milliseconds that ``item`` would wait if it were queued now."""
        more_urgent_ms = 0.0
        if self.has_many_classes:
            more_urgent_ms = self._more_urgent_wait(item, now)
        return more_urgent_ms + self._wait_in_class(item, now)

    def _more_urgent_wait(self, item: QueueItem, now: Millis) -> float:
        """Return the milliseconds until the more urgent backlog has drained.

        Of the requests at other nodes, as many are counted as this node's part of the
        class: so much of the room that they take would otherwise be its own.
        """
        here = len(self._class_queues[item.priority]) + 1
        elsewhere = sum(self.elsewhere[item.priority : item.priority + 1])
        part = here / (here + elsewhere)
        wait_ms = 0.0
        if self._credits.covers(item.priority, item.tokens):
            return wait_ms
        for priority in range(item.priority):
            tokens = self._class_queues[priority].total_tokens
            told = sum(self.elsewhere[priority : priority + 1])
            tokens += told * part * item.tokens
            wait_ms += self._drain_time(priority, tokens, now)
        return wait_ms

    def _drain_time(self, priority: int, tokens: float, now: Millis) -> float:
        """Return the milliseconds in which a class drains; 0 if its rate is unknown."""
        rate = self._drain_rates[priority].compute_rate(now)
        if not tokens or rate is None:
            return 0.0
        return tokens / rate if rate > 0 else float("inf")

    def _wait_in_class(self, item: QueueItem, now: Millis) -> float:
        queue = self._class_queues[item.priority]
        rate = self._drain_rates[item.priority].compute_rate(now)
        if rate is None or not len(queue):
            return 0.0
        # In round robin an organisation waits for its own backlog and for as many
        # tokens of each other organisation, however long their backlogs are.
        item_tokens = queue.tokens_for_wait(item)
        own_tokens = queue.tokens_of(item.organisation) + item_tokens
        weight = queue.weight_of(item.organisation)
        other_weights = queue.total_weight - weight * bool(
            queue.tokens_of(item.organisation)
        )
        tokens_ahead = min(
            queue.total_tokens + item_tokens,
            own_tokens * (other_weights + weight) / weight,
        )
        return tokens_ahead / rate if rate > 0 else float("inf")

    def _find_refusal_reason(
        self, item: QueueItem, now: Millis
    ) -> RefusalReason | None:
        queue = self._class_queues[item.priority]
        if queue.length_of(item.organisation) >= self._policy.max_per_organisation:
            return RefusalReason.ORGANISATION_FULL
        expected_wait_ms = 0.0 if self._is_paused else self.estimate_wait(item, now)
        if now + expected_wait_ms > item.latest_start:
            return RefusalReason.DEADLINE
        return None

    def _select_displaced(self, item: QueueItem) -> QueueItem | None:
        for priority in reversed(range(self.class_count)):
            if priority < item.priority:
                return None
            queue = self._class_queues[priority]
            largest = queue.find_longest_backlog()
            if largest is None:
                continue
            own_length = queue.length_of(item.organisation)
            if priority > item.priority or queue.length_of(largest) > own_length + 1:
                return queue.newest_of(largest)
        return None

    def _select_class(self, count: int) -> int | None:
        """Return the class to serve next among the ``count`` most urgent ones."""
        waiting = [c for c in range(count) if len(self._class_queues[c])]
        if len(waiting) > 1:
            owed = self._select_owed_class(count)
            return waiting[0] if owed is None else owed
        return waiting[0] if waiting else None

    def _select_owed_class(self, count: int) -> int | None:
        # Without a minimum share, a steady load of more urgent requests would starve
        # the others: every one of them would expire in the queue.
        for priority in range(1, count):
            queue = self._class_queues[priority]
            if len(queue) and self._is_owed(priority, queue.peek().tokens):
                return priority
        return None

    def _is_overloaded(self, queue: DeficitRoundRobinQueue, now: Millis) -> bool:
        threshold = self._policy.newest_first_after
        return threshold is not None and now - queue.oldest().queued_at >= threshold

    def _is_owed(self, priority: int, tokens: int) -> bool:
        if self.has_many_classes:
            return self._credits.covers(priority, tokens)
        return self._draft_credit >= tokens

    def _update_credits(self, item: QueueItem) -> None:
        if self.has_many_classes:
            is_owed = self._credits.covers(item.priority, item.tokens)
            is_last = not is_owed and not len(self._class_queues[item.priority])
            self._credits.record_served(item.priority, item.tokens, is_last=is_last)
        elif not len(self._class_queues[Priority.DRAFT]):
            self._draft_credit = 0.0
        elif item.priority == Priority.DRAFT:
            self._draft_credit = max(0.0, self._draft_credit - item.tokens)
        else:
            share = self._policy.min_draft_share
            self._draft_credit += item.tokens * share / (1.0 - share)

    def _push(self, item: QueueItem, now: Millis) -> None:
        self._items[item.request_id] = item
        self._class_queues[item.priority].push(item)
        heappush(self._latest_starts, (item.latest_start, item.request_id))
        if not self._is_paused:
            self._drain_rates[item.priority].start_busy_period(now)

    def _remove(self, item: QueueItem, now: Millis) -> None:
        del self._items[item.request_id]
        queue = self._class_queues[item.priority]
        queue.remove(item)
        if not len(queue):
            self._drain_rates[item.priority].end_busy_period(now)

    def _remove_expired(self, now: Millis) -> None:
        while (expiry := self.next_expiry()) is not None and expiry <= now:
            _, request_id = heappop(self._latest_starts)
            item = self._items[request_id]
            self._remove(item, now)
            self._expired.append(item)

    def _is_queued(self, latest_start: Millis, request_id: str) -> bool:
        item = self._items.get(request_id)
        return item is not None and item.latest_start == latest_start

    def _build_refused_item(
        self, item: QueueItem, reason: RefusalReason, now: Millis
    ) -> RefusedItem:
        return RefusedItem(item, self._build_refused(item, reason, now))

    def _build_refused(
        self, item: QueueItem, reason: RefusalReason, now: Millis
    ) -> Refused:
        # With many classes, the more urgent backlogs drain first, so that callers of
        # less urgent requests return later.
        first = 0 if self.has_many_classes else item.priority
        wait_ms = 0.0
        for priority in range(first, item.priority + 1):
            rate = self._drain_rates[priority].compute_rate(now)
            backlog_tokens = self._class_queues[priority].total_tokens
            wait_ms += backlog_tokens / rate if rate else 0.0
        return Refused(reason, jitter_retry_after(wait_ms, item.jitter))
