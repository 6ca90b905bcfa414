"""What an entry asks of the agents in front of endpoints."""

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from geventhttpclient import HTTPClient

from azurefold.border.decoding import UnreadableError, as_whole_number, json_decoder
from azurefold.core.attempts.request_state import AttemptStatus
from azurefold.core.clock import Clock, Millis
from azurefold.entry.agent_channels import AgentChannels
from azurefold.entry.agent_connections import (
    CONNECT_TIMEOUT_MS,
    SILENT_AFTER_MS,
    AgentConnections,
)
from azurefold.entry.agent_messages import AgentAddress, AttemptCall, NotTaken, Opened
from azurefold.entry.channels import Channel, Followed
from azurefold.entry.lines import LostError, decoded_lines
from azurefold.internal.http_client import CONNECTION_ERRORS, fresh_client
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

__all__ = ["Agents", "new_agents"]

_ASK_TIMEOUT_MS: Millis = 1_500
_OK = 200
_ACCEPTED = 202

_decode_refused = json_decoder(RefusedBody)
_decode_settled = json_decoder(SettledBody)


@dataclass(slots=True)
class Agents:
    """Connections of one entry to all agents it knows.

    Parameters
    ----------
    identity : Identity
    channels : AgentChannels
    """

    identity: Identity
    channels: AgentChannels
    _connections: AgentConnections = field(default_factory=AgentConnections)

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
        client = self._connections.client(agent.address)
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
        client = fresh_client(agent.address, CONNECT_TIMEOUT_MS, SILENT_AFTER_MS)
        try:
            response = self._ask(client, "GET", path, headers, b"")
            return _opened(response, attempt_id)
        except CONNECTION_ERRORS as error:
            raise LostError(str(error)) from error

    def settle(
        self, agent: AgentAddress, attempt_id: str, organisation: str
    ) -> AttemptStatus:
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
        client = fresh_client(agent.address, CONNECT_TIMEOUT_MS, _ASK_TIMEOUT_MS)
        try:
            response = client.post(path, headers=headers)
            if response.status_code != _OK:
                raise LostError(f"status {response.status_code}")
            body = _decode_settled(bytes(response.read()))
            return AttemptStatus(body.state)
        except (*CONNECTION_ERRORS, ValueError) as error:
            raise LostError(str(error)) from error
        finally:
            client.close()

    def cancel(self, agent: AgentAddress, attempt_id: str, organisation: str) -> None:
        """Tell the agent that nobody wants the answer; may get lost."""
        path = f"/attempts/{attempt_id}"
        headers = self.identity.headers("DELETE", path, b"", agent.endpoint)
        headers[HEADER_ORGANISATION] = organisation
        client = fresh_client(agent.address, CONNECT_TIMEOUT_MS, _ASK_TIMEOUT_MS)
        try:
            client.delete(path, headers=headers).read()
        except CONNECTION_ERRORS:
            return
        finally:
            client.close()

    def forget(self, addresses: set[str]) -> None:
        """Close connections to all agents but these."""
        self._connections.forget(addresses)

    def _send(
        self,
        agent: AgentAddress,
        call: AttemptCall,
        client: HTTPClient,
        path: str,
        headers: dict[str, str],
    ) -> Opened | NotTaken:
        channel = self.channels.channel(agent)
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
            self._connections.condemn(agent.address, client)
            raise LostError(str(error)) from error
        except RuntimeError:
            # The pool was condemned between connecting and sending, for
            # another request; the library says so before it sends anything.
            return NotTaken("agent_unreachable")
        finally:
            if followed is not None and not on_channel:
                channel.leave(followed)

    def _ask(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> object:
        return client.request(method, path, body=body, headers=headers)

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
            client = self._connections.client(agent.address)
            self._ask(client, "DELETE", path, headers, b"").read()
        except CONNECTION_ERRORS:
            return


def _opened(response: object, attempt_id: str) -> Opened | NotTaken:
    if response.status_code != _OK:
        return _not_taken(response)
    return Opened(decoded_lines(response, attempt_id), _running(response))


def _running(response: object) -> int:
    return max(0, as_whole_number(str(response.get(HEADER_RUNNING, "0"))))


def _not_taken(response: object) -> NotTaken:
    data = bytes(response.read())
    try:
        return NotTaken(_decode_refused(data).reason)
    except UnreadableError as error:
        raise LostError(f"status {response.status_code} without a reason") from error


def new_agents(
    identity: Identity, clock: Clock, on_drop: Callable[[str], None]
) -> Agents:
    """Return connections to agents for one entry."""
    return Agents(identity, AgentChannels(identity, clock, on_drop))
