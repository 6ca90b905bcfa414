"""Admission to a service with any number of priority classes, over all gateways."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import zip_longest

from azurefold.core.admission.messages import QueueItem
from azurefold.core.admission.work_rate import WorkRate
from azurefold.core.attempts.outcome import Failure
from azurefold.core.clock import Millis
from azurefold.core.routing.messages import Answered, Chosen, Outcome
from azurefold.entry.admission import (
    CONTENDED_SHARE,
    PART_EVERY_MS,
    Admission,
    Ticket,
    new_wait_counts,
)

__all__ = ["ClassAdmission"]

_MAX_CREDITED_MS: Millis = 250
"""Longest time for which work elsewhere is credited at once: a service is looked at
four times a second, and nothing is known of longer times."""


@dataclass
class ClassAdmission(Admission):
    """Admission whose classes leave room for the more urgent ones.

    With the two classes of :class:`Admission` it decides as that does.

    Parameters
    ----------
    class_refusals : Counter of (int, str)
        Refused requests by class and reason.
    """

    class_refusals: Counter[tuple[int, str]] = field(default_factory=Counter)
    _work: WorkRate = field(default_factory=WorkRate)
    _credited_at: Millis = 0

    @property
    def is_classed(self) -> bool:
        """Whether the service has three or more classes."""
        return self.queue.has_many_classes

    def set_classes(self, count: int, new_class_of: Callable[[int], int]) -> None:
        """Change the classes; requests that wait move to the new ones."""
        self.queue.set_classes(count, new_class_of, self.clock.now())
        self._waiting = {
            name: (replace(ticket, priority=new_class_of(ticket.priority)), result)
            for name, (ticket, result) in self._waiting.items()
        }
        for priority in range(count):
            self.seen.waits.setdefault(priority, new_wait_counts())

    def set_waiting_elsewhere(self, counts: tuple[int, ...], nodes: int) -> None:
        """Set how many requests of each class wait at how many other gateways."""
        if self.is_classed:
            self.queue.elsewhere = counts
            self.queue.other_nodes = nodes

    def more_urgent_than(self, priority: int) -> tuple[int, ...]:
        """Return how many requests of each more urgent class wait at all gateways."""
        here, elsewhere = self.queue.lengths, self.queue.elsewhere
        sums = [a + b for a, b in zip_longest(here, elsewhere, fillvalue=0)]
        return tuple(sums[:priority])

    def room_for(self, priority: int) -> int:
        """Return how many requests of a class may get a place now."""
        room = self.pool.room_for(priority)
        return room - self.queue.more_urgent_elsewhere(priority)

    def acquire(self, ticket: Ticket) -> Chosen | Failure:
        """Wait for an endpoint, and count a refusal by its class."""
        if self.is_classed:
            self._work.record_request(ticket.tokens)
        answer = super().acquire(ticket)
        if isinstance(answer, Failure):
            self.class_refusals[ticket.priority, answer.reason] += 1
        return answer

    def finished(self, endpoint: str, attempt_id: str, outcome: Outcome) -> None:
        """Note how an attempt ended, and hand on its place."""
        if self.is_classed:
            is_whole = isinstance(outcome, Answered)
            self._work.record_end(attempt_id, self.clock.now(), is_whole=is_whole)
        super().finished(endpoint, attempt_id, outcome)

    def pump(self) -> None:
        """Hand free endpoints to those who wait, the most urgent ones first."""
        if not self.is_classed:
            super().pump()
            return
        now = self.clock.now()
        self.pool.cold.refresh(now)
        for refusal in self.queue.expire(now):
            self._answer_refusal(refusal)
        self._credit_work_elsewhere(now)
        unplaced = []
        while self.pool.room > 0 and (item := self.queue.take_owed(now)):
            if not self._grant_waiting(item, now):
                unplaced.append(item)
        for item in unplaced:
            self._queue_again(item, now)
        is_contended = any(self.queue.elsewhere)
        if is_contended and now < self._next_part_at:
            return
        self._next_part_at = now + PART_EVERY_MS
        for priority in range(self.queue.class_count):
            self._grant_part(priority, is_contended, now)

    def _grant_part(self, priority: int, is_contended: bool, now: Millis) -> None:
        """Give a class its part of the room that is free for it.

        The part is as large as this gateway's part of the requests of the class that
        wait. With equal parts a gateway with most of the urgent requests would queue
        them while the others start work that can wait.
        """
        if not self.queue.length_of(priority):
            return
        part = self.room_for(priority)
        if is_contended and part > 0:
            share = CONTENDED_SHARE * self.queue.part_of(priority)
            part = int(share * part + self.draw.random())
        unplaced = []
        for _ in range(part):
            if self.room_for(priority) <= 0:
                break
            item = self.queue.take(now, least_urgent=priority)
            if item is None:
                break
            if not self._grant_waiting(item, now):
                unplaced.append(item)
        for item in unplaced:
            self._queue_again(item, now)

    def _pass_through(self, ticket: Ticket, now: Millis) -> Chosen | Failure | None:
        if not self.is_classed:
            return super()._pass_through(ticket, now)
        priority = ticket.priority
        if any(self.queue.lengths[: priority + 1]):
            return None
        # Without any room, the pool says whether there is an outage.
        if self.room_for(priority) <= 0 < self.pool.room:
            return None
        answer = self._straight_through(ticket, now)
        if isinstance(answer, Chosen):
            self.queue.record_passed(priority, ticket.tokens)
        return answer

    def _take(self, now: Millis) -> QueueItem | None:
        if not self.is_classed:
            return super()._take(now)
        owed = self.queue.take_owed(now)
        if owed is not None:
            return owed
        allowed = sum(self.room_for(c) > 0 for c in range(self.queue.class_count))
        return self.queue.take(now, least_urgent=allowed - 1) if allowed else None

    def _credit_work_elsewhere(self, now: Millis) -> None:
        """Credit classes that wait here for what other gateways serve meanwhile.

        A gateway with few urgent requests of its own would otherwise never owe a less
        urgent class its floor, while other gateways' urgent requests take all room.
        """
        elapsed = min(now - self._credited_at, _MAX_CREDITED_MS)
        self._credited_at = now
        busy = self.pool.busy_places
        for priority in range(1, self.queue.class_count):
            part = self.queue.wanted_part_of(priority) * busy
            places = max(0.0, part - self.pool.in_flight)
            tokens = self._work.tokens_done(places, elapsed)
            self.queue.record_work_elsewhere(priority, tokens)

    def _granted(self, ticket: Ticket, chosen: Chosen) -> Chosen:
        if self.is_classed:
            self._work.record_start(ticket.request_id, self.clock.now())
        return super()._granted(ticket, chosen)
