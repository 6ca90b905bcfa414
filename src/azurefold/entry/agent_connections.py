"""Keeps connections to agents alive from one request to the next."""

from dataclasses import dataclass, field

from geventhttpclient import HTTPClient

from azurefold.core.clock import Millis
from azurefold.internal.http_client import http_client

__all__ = ["CONNECT_TIMEOUT_MS", "SILENT_AFTER_MS", "AgentConnections"]

CONNECT_TIMEOUT_MS: Millis = 500
# Agents send a blank line each second while an endpoint thinks. Three missed
# ones in a row mean that something between the two ends has lost track of the
# connection, though new ones may well work.
SILENT_AFTER_MS: Millis = 3_500
# Far above what one endpoint runs: a request that waits for a place in a pool
# that is closed meanwhile would wait for ever.
_AT_ONCE = 8_192


@dataclass(slots=True)
class AgentConnections:
    """Kept-alive connections of one entry, by agents' addresses."""

    _clients: dict[str, HTTPClient] = field(default_factory=dict)

    def client(self, address: str) -> HTTPClient:
        """Return the kept-alive connections to an agent."""
        client = self._clients.get(address)
        if client is None:
            client = http_client(address, CONNECT_TIMEOUT_MS, SILENT_AFTER_MS, _AT_ONCE)
            self._clients[address] = client
        return client

    def forget(self, addresses: set[str]) -> None:
        """Close connections to all agents but these."""
        for address in set(self._clients) - addresses:
            self._clients.pop(address).close()

    def condemn(self, address: str, client: HTTPClient) -> None:
        """Use an agent's connections no more, since one of them was lost."""
        # What lost track of one kept-alive connection has probably lost the
        # others of the same time. Left in the pool, each would cost one more
        # request the wait until it counts as silent.
        if self._clients.get(address) is client:
            del self._clients[address]
            client.close()
