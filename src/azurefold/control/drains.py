"""Carries operators' drain orders to the agents."""

from dataclasses import dataclass

import msgspec

from azurefold.border.decoding import UnreadableError, json_decoder
from azurefold.control.membership import MembershipLoop
from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import Endpoint
from azurefold.internal.http_client import CONNECTION_ERRORS, fresh_client
from azurefold.internal.identity import Identity
from azurefold.wire.orders import (
    PATH_LEAVE,
    DrainReply,
    DrainRequest,
    LeaveReply,
    LeaveRequest,
)
from azurefold.wire.seal import Opened

__all__ = ["Drains"]

_TIMEOUT_MS: Millis = 2_000

_decode_reply = json_decoder(LeaveReply)


@dataclass(frozen=True, slots=True)
class Drains:
    """Drain orders of operators."""

    identity: Identity
    membership: MembershipLoop

    def handle(self, request: DrainRequest, sender: Opened) -> DrainReply:
        """Tell an endpoint's agent to leave and say how far it is."""
        record = self.membership.directory.record(request.endpoint)
        if record is None:
            return DrainReply(known=False, detail="no such endpoint is known here")
        try:
            reply = self._order(record)
        except (*CONNECTION_ERRORS, UnreadableError) as error:
            return DrainReply(known=True, detail=str(error))
        return DrainReply(True, reply.leaving, reply.in_flight)

    def _order(self, record: Endpoint) -> LeaveReply:
        body = msgspec.json.encode(LeaveRequest(record.incarnation))
        headers = self.identity.headers("POST", PATH_LEAVE, body, record.name)
        client = fresh_client(record.address, _TIMEOUT_MS, _TIMEOUT_MS)
        try:
            response = client.post(PATH_LEAVE, body=body, headers=headers)
            return _decode_reply(bytes(response.read()))
        finally:
            client.close()
