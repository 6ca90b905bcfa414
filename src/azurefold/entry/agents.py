"""What an entry asks of the agents in front of endpoints."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
from geventhttpclient import HTTPClient

from azurefold.core.attempts.course import Settlement
from azurefold.core.attempts.frames import End, Frame
from azurefold.core.clock import Millis
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
from azurefold.wire.frames import BadLineError, Broken, Head, decode_line

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
_NOT_FOUND = 404
_UNAUTHORIZED = 401

Line = Frame | End | Broken | Head


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
    """

    lines: Iterator[list[Line]]
    running: int


@dataclass(frozen=True, slots=True)
class NotTaken:
    """The attempt certainly does not run there."""

    reason: str


class LostError(Exception):
    """The connection broke or went silent."""


@dataclass(slots=True)
class Agents:
    """Connections of one entry to all agents it knows."""

    identity: Identity
    _clients: dict[str, HTTPClient] = field(default_factory=dict)

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
        try:
            return self._open(client, "POST", path, call.attempt_id, headers, call.body)
        except LostError:
            self._condemn(agent.address, client)
            raise
        except RuntimeError:
            # The pool was condemned between connecting and sending, for
            # another request; the library says so before it sends anything.
            return NotTaken("agent_unreachable")

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
        return self._open(client, "GET", path, attempt_id, headers, b"")

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

    def _condemn(self, address: str, client: HTTPClient) -> None:
        # What lost track of one kept-alive connection has probably lost the
        # others of the same time. Left in the pool, each would cost one more
        # request the wait until it counts as silent.
        if self._clients.get(address) is client:
            del self._clients[address]
            client.close()

    def _open(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        attempt_id: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Opened | NotTaken:
        try:
            response = client.request(method, path, body=body, headers=headers)
            if response.status_code != _OK:
                return _not_taken(response)
        except CONNECTION_ERRORS as error:
            raise LostError(str(error)) from error
        running = str(response.get(HEADER_RUNNING, "0"))
        return Opened(_lines(response, attempt_id), int(running))


def _not_taken(response: object) -> NotTaken:
    data = bytes(response.read())
    try:
        return NotTaken(msgspec.json.decode(data, type=RefusedBody).reason)
    except msgspec.MsgspecError as error:
        raise LostError(f"status {response.status_code} without a reason") from error


def _lines(response: object, attempt_id: str) -> Iterator[list[Line]]:
    while True:
        try:
            raw = [response.readline(b"\n")]
            buffered = response._body_buffer
            while b"\n" in buffered:
                raw.append(response.readline(b"\n"))
            if not raw[-1]:
                raise LostError("the agent closed the stream before its end")
            yield [decode_line(attempt_id, line) for line in raw if line != b"\n"]
        except CONNECTION_ERRORS as error:
            raise LostError(str(error)) from error
        except BadLineError as error:
            raise LostError(str(error)) from error


def new_agents(identity: Identity) -> Agents:
    """Return connections to agents for one entry."""
    return Agents(identity)
