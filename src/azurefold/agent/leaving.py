"""The order to leave, which comes over the same port as attempts."""

from dataclasses import dataclass

import falcon
import msgspec

from azurefold.agent.heartbeats import Heartbeats
from azurefold.agent.runner import Runner
from azurefold.border.decoding import UnreadableError, json_decoder
from azurefold.core.membership.endpoints import State
from azurefold.internal.identity import Identity
from azurefold.wire.orders import PATH_LEAVE, LeaveReply, LeaveRequest

__all__ = ["leave_route"]

_decode_order = json_decoder(LeaveRequest)


@dataclass(frozen=True, slots=True)
class _Leave:
    identity: Identity
    runner: Runner
    heartbeats: Heartbeats

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        try:
            order = _decode_order(req.context.body)
        except UnreadableError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        ledger = self.runner.ledger
        # An order that was held up must not make a later life leave: the
        # operator meant the one that was there.
        if order.incarnation == self.identity.incarnation:
            ledger.start_leaving()
            self.heartbeats.announce(State.LEAVING)
        resp.data = msgspec.json.encode(
            LeaveReply(ledger.is_leaving, ledger.running_count)
        )


def leave_route(
    app: falcon.App, identity: Identity, runner: Runner, heartbeats: Heartbeats
) -> None:
    """Add the route for the order to leave."""
    app.add_route(PATH_LEAVE, _Leave(identity, runner, heartbeats))
