"""Calls to the ranks of one group, many at a time."""

import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

import gevent
from gevent.event import Event

from azurefold.core.clock import Millis
from azurefold.internal.logs import log_event
from azurefold.platform.ranks import RankClient, rank_client

__all__ = ["RankCalls"]

_log = logging.getLogger("azurefold.gateway")

_CALLS_AT_ONCE = 24
"""A group of 16 is asked at once; 72 calls at once would hold up a gateway's
streams for 50 ms."""

_PLACE_MS: Millis = 40
"""For which a call counts among those at once. Most answers come within 10 ms; a call
that still waits then takes no processor time from streams."""

_MOST_CALLS = 256
"""Calls that run or wait for their answers."""

_ASK_ALL_TIMEOUT_MS: Millis = 4_000
"""For 192 ranks of which none answers within its call's own timeout."""

_SECOND_MS = 1_000

_Answer = TypeVar("_Answer")


class _Place:
    """One of the calls at once; given up by itself when its call takes long."""

    def __init__(self, calls: "RankCalls") -> None:
        self._calls = calls
        self._timer = gevent.get_hub().loop.timer(_PLACE_MS / _SECOND_MS)
        self.is_held = True

    def keep(self) -> None:
        """Begin the time of another call."""
        self._timer.stop()
        self._timer.start(self.give_up, update=True)

    def give_up(self) -> None:
        """Let another call begin; nothing if one was let before."""
        self._timer.stop()
        if self.is_held:
            self.is_held = False
            self._calls._give_up_place()


@dataclass(slots=True)
class RankCalls:
    """Clients of the ranks by endpoint, and the calls under way.

    A call runs in one of a limited number of greenlets and hands its answer over
    without waiting. It may submit further calls: :meth:`submit` never waits for a
    free greenlet, so calls cannot wait for each other.
    """

    _clients: dict[str, RankClient] = field(default_factory=dict)
    _orders: deque[Callable[[], None]] = field(default_factory=deque)
    _questions: deque[Callable[[], None]] = field(default_factory=deque)
    _workers: set[gevent.Greenlet] = field(default_factory=set)
    _places_taken: int = 0

    def client(self, endpoint: str, address: str) -> RankClient:
        """Return the client of an endpoint."""
        client = self._clients.get(endpoint)
        if client is None:
            client = rank_client(endpoint, address)
            self._clients[endpoint] = client
        return client

    def submit(self, call: Callable[[], None], *, is_order: bool = False) -> None:
        """Make a call in the background, now or when a greenlet is free.

        Parameters
        ----------
        call : callable
            Must end within a timeout of its own.
        is_order : bool, default=False
            Orders go before questions: a group may be held until they are answered.
        """
        (self._orders if is_order else self._questions).append(call)
        self._start_worker()

    def ask_all(
        self, clients: Iterable[RankClient], question: Callable[[RankClient], _Answer]
    ) -> list[_Answer | None]:
        """Ask all of ``clients`` at the same time and return their answers.

        Must not be used inside a call. A client has no answer if its call failed, was
        stopped because another node took over, or took too long.
        """
        clients = list(clients)
        answers: dict[int, _Answer] = {}
        pending = set(range(len(clients)))
        all_done = Event()

        def ask(number: int) -> None:
            try:
                answers[number] = question(clients[number])
            finally:
                pending.discard(number)
                if not pending:
                    all_done.set()

        for number in range(len(clients)):
            self.submit(lambda number=number: ask(number))
        if clients:
            all_done.wait(_ASK_ALL_TIMEOUT_MS / _SECOND_MS)
        return [answers.get(number) for number in range(len(clients))]

    def keep_only(self, endpoints: Iterable[str]) -> None:
        """Close the clients of endpoints that are gone."""
        for gone in self._clients.keys() - set(endpoints):
            self._clients.pop(gone).close()

    def close(self) -> None:
        """Stop all calls at once and close all clients."""
        self._orders.clear()
        self._questions.clear()
        gevent.killall(list(self._workers), block=False)
        self._workers.clear()
        self._places_taken = 0
        self.keep_only(())

    def _start_worker(self) -> None:
        has_calls = self._orders or self._questions
        has_place = self._places_taken < _CALLS_AT_ONCE
        if has_calls and has_place and len(self._workers) < _MOST_CALLS:
            self._places_taken += 1
            self._workers.add(gevent.spawn(self._work))

    def _work(self) -> None:
        """Make calls until there are none, or one has waited too long."""
        place = _Place(self)
        try:
            while (self._orders or self._questions) and place.is_held:
                queue = self._orders or self._questions
                place.keep()
                self._make(queue.popleft())
        finally:
            # At once, not by a link: a call submitted before the link has run would
            # find no free greenlet and wait for the next one.
            self._workers.discard(gevent.getcurrent())
            place.give_up()

    def _give_up_place(self) -> None:
        self._places_taken = max(0, self._places_taken - 1)
        self._start_worker()

    def _make(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:  # noqa: BLE001
            log_event(_log, "rank_call_failed", logging.ERROR)
            _log.exception("the next call is made")
