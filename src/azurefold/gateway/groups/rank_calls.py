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

_ASK_ALL_TIMEOUT_MS: Millis = 4_000
"""For 192 ranks of which none answers within its call's own timeout."""

_SECOND_MS = 1_000

_Answer = TypeVar("_Answer")


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
        if len(self._workers) < _CALLS_AT_ONCE:
            self._workers.add(gevent.spawn(self._work))

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
        self.keep_only(())

    def _work(self) -> None:
        try:
            while self._orders or self._questions:
                queue = self._orders or self._questions
                self._make(queue.popleft())
        finally:
            # At once, not by a link: a call submitted before the link has run would
            # find no free greenlet and wait for the next one.
            self._workers.discard(gevent.getcurrent())

    def _make(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:  # noqa: BLE001
            log_event(_log, "rank_call_failed", logging.ERROR)
            _log.exception("the next call is made")
