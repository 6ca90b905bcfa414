"""What an entry asks of the agents in front of endpoints."""

import secrets
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
import msgspec
from geventhttpclient import HTTPClient

from azurefold.core.attempts.course import Settlement
from azurefold.core.clock import Clock, Millis
from azurefold.entry.channels import Channel, Followed
from azurefold.entry.lines import Line, LostError, decoded_lines, raw_lines
from azurefold.internal.http_client import CONNECTION_ERRORS, fresh_client, http_client
from azurefold.internal.identity import Identity
from azurefold.wire.attempts import (
    HEADER_DEADLINE,
    HEADER_INCARNATION,
    HEADER_ORGANISATION,
    HEADER_PATH,
    HEADER_PRIORITY,
    HEADER_RUNNING,
    RefusedBody,
    SettledBody,
)
from azurefold.wire.frames import HEADER_CHANNEL

__all__ = [
    "AgentAddress",
    "Agents",
    "AttemptCall",
    "LostError",
    "NotTaken",
    "Opened",
    "new_agents",
]

_CONNECT_TIMEOUT_MS: Millis = 500
# Agents send a blank line each second while an endpoint thinks. Three missed
# ones in a row mean that something between the two ends has lost track of the
# connection, though new ones may well work.
_SILENT_AFTER_MS: Millis = 3_500
_ASK_TIMEOUT_MS: Millis = 1_500
# Far above what one endpoint runs: a request that waits for a place in a pool
# that is closed meanwhile would wait for ever.
_AT_ONCE = 8_192
_OK = 200
_ACCEPTED = 202


def _nothing_to_close() -> None:
    """Leave a connection to be closed with its response."""


@dataclass(frozen=True, slots=True)
class AgentAddress:
    """Where an agent listens and which incarnation of it is known."""

    endpoint: str
    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class AttemptCall:
    """One attempt as it is sent to an agent.

    Parameters
    ----------
    attempt_id, organisation, path : str
    body : bytes
    remaining_ms : int
        Time until the caller's deadline; a duration, since clocks of VMs
        differ.
    priority : int
    """

    attempt_id: str
    organisation: str
    path: str
    body: bytes
    remaining_ms: Millis
    priority: int


@dataclass(slots=True)
class Opened:
    """The agent sends the answer's lines.

    Parameters
    ----------
    lines : iterator of list
        Each item holds the lines that were there at one moment; an empty one
        is a sign of life.
    running : int
        Attempts in flight at the endpoint, itself included.
    close : callable
        To be called when the lines are read no longer.
    """

    lines: Iterator[list[Line]]
    running: int
    close: Callable[[], None] = _nothing_to_close


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The attempt certainly does not run there."""

    reason: str


@dataclass(slots=True)
class Agents:
    """Connections of one entry to all agents it knows.

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
    _clients: dict[str, HTTPClient] = field(default_factory=dict)
    _channels: dict[str, Channel] = field(default_factory=dict)
    _opening: set[str] = field(default_factory=set)

    def dispatch(self, agent: AgentAddress, call: AttemptCall) -> Opened | NotTaken:
        """Send an attempt to its agent.

        Raises
        ------
        LostError
            If something was sent and no answer came.
        """
        path = f"/attempts/{call.attempt_id}"
        headers = self.identity.headers("POST", path, call.body, agent.endpoint)
        headers[HEADER_INCARNATION] = agent.incarnation
        headers[HEADER_ORGANISATION] = call.organisation
        headers[HEADER_PATH] = call.path
        headers[HEADER_DEADLINE] = str(call.remaining_ms)
        headers[HEADER_PRIORITY] = str(call.priority)
        client = self._client(agent.address)
        try:
            # Connecting comes apart from sending: what was never sent was
            # certainly not run, and the caller can be told so.
            connections = client._connection_pool
            connections.return_socket(connections.get_socket())
        except CONNECTION_ERRORS:
            return NotTaken("agent_unreachable")
        return self._send(agent, call, client, path, headers)

    def resume(
        self, agent: AgentAddress, attempt_id: str, organisation: str, offset: int
    ) -> Opened | NotTaken:
        """Fetch an attempt's answer from an offset, over a new connection.

        Raises
        ------
        LostError
            If the agent does not answer.
        """
        path = f"/attempts/{attempt_id}?from={offset}"
        headers = self.identity.headers("GET", path, b"", agent.endpoint)
        headers[HEADER_ORGANISATION] = organisation
        client = fresh_client(agent.address, _CONNECT_TIMEOUT_MS, _SILENT_AFTER_MS)
        try:
            response = self._ask(client, "GET", path, headers, b"")
            return _opened(response, attempt_id)
        except CONNECTION_ERRORS as error:
            raise LostError(str(error)) from error

    def settle(
        self, agent: AgentAddress, attempt_id: str, organisation: str
    ) -> Settlement:
        """Ask, over a new connection, what became of an attempt.

        Raises
        ------
        LostError
            If the agent does not answer.
        """
        path = f"/settle/{attempt_id}"
        headers = self.identity.headers("POST", path, b"", agent.endpoint)
        headers[HEADER_ORGANISATION] = organisation
        headers[HEADER_INCARNATION] = agent.incarnation
        client = fresh_client(agent.address, _CONNECT_TIMEOUT_MS, _ASK_TIMEOUT_MS)
        try:
            response = client.post(path, headers=headers)
            if response.status_code != _OK:
                raise LostError(f"status {response.status_code}")
            body = msgspec.json.decode(bytes(response.read()), type=SettledBody)
            return Settlement(body.state)
        except (*CONNECTION_ERRORS, msgspec.MsgspecError) as error:
            raise LostError(str(error)) from error
        finally:
            client.close()

    def cancel(self, agent: AgentAddress, attempt_id: str, organisation: str) -> None:
        """Tell the agent that nobody wants the answer; may get lost."""
        path = f"/attempts/{attempt_id}"
        headers = self.identity.headers("DELETE", path, b"", agent.endpoint)
        headers[HEADER_ORGANISATION] = organisation
        client = fresh_client(agent.address, _CONNECT_TIMEOUT_MS, _ASK_TIMEOUT_MS)
        try:
            client.delete(path, headers=headers).read()
        except CONNECTION_ERRORS:
            return
        finally:
            client.close()

    def forget(self, addresses: set[str]) -> None:
        """Close connections to all agents but these."""
        for address in set(self._clients) - addresses:
            self._clients.pop(address).close()

    def _client(self, address: str) -> HTTPClient:
        client = self._clients.get(address)
        if client is None:
            client = http_client(
                address, _CONNECT_TIMEOUT_MS, _SILENT_AFTER_MS, _AT_ONCE
            )
            self._clients[address] = client
        return client

    def _send(
        self,
        agent: AgentAddress,
        call: AttemptCall,
        client: HTTPClient,
        path: str,
        headers: dict[str, str],
    ) -> Opened | NotTaken:
        channel = self._channel(agent)
        followed = channel.follow(call.attempt_id) if channel else None
        if followed is not None:
            headers[HEADER_CHANNEL] = f"{channel.id}/{followed.number}"
        on_channel = False
        try:
            response = self._ask(client, "POST", path, headers, call.body)
            on_channel = response.status_code == _ACCEPTED
            if on_channel:
                response.read()
                return self._opened_on_channel(agent, channel, followed, response)
            return _opened(response, call.attempt_id)
        except CONNECTION_ERRORS as error:
            on_channel = False
            self._condemn(agent.address, client)
            raise LostError(str(error)) from error
        except RuntimeError:
            # The pool was condemned between connecting and sending, for
            # another request; the library says so before it sends anything.
            return NotTaken("agent_unreachable")
        finally:
            if followed is not None and not on_channel:
                channel.leave(followed)

    def _condemn(self, address: str, client: HTTPClient) -> None:
        # What lost track of one kept-alive connection has probably lost the
        # others of the same time. Left in the pool, each would cost one more
        # request the wait until it counts as silent.
        if self._clients.get(address) is client:
            del self._clients[address]
            client.close()

    def _ask(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> object:
        return client.request(method, path, body=body, headers=headers)

    def _channel(self, agent: AgentAddress) -> Channel | None:
        """Return the channel from an agent, or have one opened for later."""
        address = agent.address
        channel = self._channels.get(address)
        if channel is None and address not in self._opening:
            self._opening.add(address)
            gevent.spawn(self._run_channel, agent)
        return channel

    def _run_channel(self, agent: AgentAddress) -> None:
        channel = Channel(secrets.token_hex(8), self.clock, self.on_drop)
        path = f"/channels/{channel.id}"
        headers = self.identity.headers("GET", path, b"", agent.endpoint)
        client = fresh_client(agent.address, _CONNECT_TIMEOUT_MS, _SILENT_AFTER_MS)
        try:
            response = self._ask(client, "GET", path, headers, b"")
            if response.status_code == _OK:
                self._channels[agent.address] = channel
                channel.run(raw_lines(response))
        except CONNECTION_ERRORS:
            return
        finally:
            self._opening.discard(agent.address)
            self._channels.pop(agent.address, None)
            client.close()

    def _opened_on_channel(
        self,
        agent: AgentAddress,
        channel: Channel,
        followed: Followed,
        response: object,
    ) -> Opened:
        def close() -> None:
            channel.leave(followed)
            if not followed.ended:
                gevent.spawn(self._unfollow, agent, channel.id, followed.attempt_id)

        return Opened(followed.lines(), _running(response), close)

    def _unfollow(self, agent: AgentAddress, channel_id: str, attempt_id: str) -> None:
        # Lost, it costs the agent only lines that are dropped here.
        path = f"/channels/{channel_id}/{attempt_id}"
        headers = self.identity.headers("DELETE", path, b"", agent.endpoint)
        try:
            self._ask(self._client(agent.address), "DELETE", path, headers, b"").read()
        except CONNECTION_ERRORS:
            return


def _opened(response: object, attempt_id: str) -> Opened | NotTaken:
    if response.status_code != _OK:
        return _not_taken(response)
    return Opened(decoded_lines(response, attempt_id), _running(response))


def _running(response: object) -> int:
    return int(str(response.get(HEADER_RUNNING, "0")))


def _not_taken(response: object) -> NotTaken:
    data = bytes(response.read())
    try:
        return NotTaken(msgspec.json.decode(data, type=RefusedBody).reason)
    except msgspec.MsgspecError as error:
        raise LostError(f"status {response.status_code} without a reason") from error


def new_agents(
    identity: Identity, clock: Clock, on_drop: Callable[[str], None]
) -> Agents:
    """Return connections to agents for one entry."""
    return Agents(identity, clock, on_drop)
