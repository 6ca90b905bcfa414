"""Keeps a channel open from each agent that an entry sends attempts to."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from azurefold.core.clock import Clock
from azurefold.entry.agent_connections import CONNECT_TIMEOUT_MS, SILENT_AFTER_MS
from azurefold.entry.agent_messages import AgentAddress
from azurefold.entry.channels import Channel
from azurefold.entry.lines import raw_lines
from azurefold.internal.http_client import CONNECTION_ERRORS, fresh_client
from azurefold.internal.identity import Identity

__all__ = ["AgentChannels"]

_OK = 200


@dataclass(slots=True)
class AgentChannels:
    """Channels of one entry, by agents' addresses.

    Parameters
    ----------
    identity : Identity
    clock : Clock
    on_drop : callable
        Called with a reason for each line that nobody waits for.
    """

    identity: Identity
    clock: Clock
    on_drop: Callable[[str], None]
    _channels: dict[str, Channel] = field(default_factory=dict)
    _opening: set[str] = field(default_factory=set)

    def channel(self, agent: AgentAddress) -> Channel | None:
        """Return the channel from an agent, or have one opened for later."""
        address = agent.address
        channel = self._channels.get(address)
        if channel is None and address not in self._opening:
            self._opening.add(address)
            gevent.spawn(self._run, agent)
        return channel

    def _run(self, agent: AgentAddress) -> None:
        channel = Channel(secrets.token_hex(8), self.clock, self.on_drop)
        path = f"/channels/{channel.id}"
        headers = self.identity.headers("GET", path, b"", agent.endpoint)
        client = fresh_client(agent.address, CONNECT_TIMEOUT_MS, SILENT_AFTER_MS)
        try:
            response = client.request("GET", path, body=b"", headers=headers)
            if response.status_code == _OK:
                self._channels[agent.address] = channel
                channel.run(raw_lines(response))
        except CONNECTION_ERRORS:
            return
        finally:
            self._opening.discard(agent.address)
            self._channels.pop(agent.address, None)
            client.close()
