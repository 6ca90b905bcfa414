"""Calls to the ranks of one group, many at a time."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

import gevent
from gevent.pool import Pool

from azurefold.platform.ranks import RankClient, rank_client

__all__ = ["RankCalls"]

_CALLS_AT_ONCE = 24
"""A group of 16 is asked at once; 72 calls at once would hold up a gateway's
streams for 50 ms."""

_Answer = TypeVar("_Answer")


@dataclass(slots=True)
class RankCalls:
    """Clients of the ranks by endpoint, and the calls under way."""

    _clients: dict[str, RankClient] = field(default_factory=dict)
    _pool: Pool = field(default_factory=lambda: Pool(_CALLS_AT_ONCE))

    def client(self, endpoint: str, address: str) -> RankClient:
        """Return the client of an endpoint."""
        client = self._clients.get(endpoint)
        if client is None:
            client = rank_client(endpoint, address)
            self._clients[endpoint] = client
        return client

    def spawn(self, call: Callable[..., None], *arguments: object) -> None:
        """Make a call in the background."""
        self._pool.spawn(call, *arguments)

    def ask_all(
        self, clients: Iterable[RankClient], question: Callable[[RankClient], _Answer]
    ) -> list[_Answer | None]:
        """Ask all of ``clients`` at the same time and return their answers.

        A call that was stopped meanwhile, as when another node took over, has
        none; its greenlet's own value says only that it was stopped.
        """
        calls = [self._pool.spawn(question, client) for client in clients]
        gevent.joinall(calls)
        values = [call.value for call in calls]
        return [None if isinstance(v, gevent.GreenletExit) else v for v in values]

    def keep_only(self, endpoints: Iterable[str]) -> None:
        """Close the clients of endpoints that are gone."""
        for gone in self._clients.keys() - set(endpoints):
            self._clients.pop(gone).close()

    def close(self) -> None:
        """Stop all calls at once and close all clients."""
        self._pool.kill(block=False)
        self.keep_only(())
