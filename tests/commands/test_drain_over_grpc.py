"""The drain order passes a control process's seal check, and only with the key."""

import pytest

from azurefold.border.fields import Key
from azurefold.border.orders import DRAIN, DrainReply, DrainRequest
from azurefold.border.settings import OperatorControl
from azurefold.commands.drain import control_callers, drain
from azurefold.commands.reports import Exit
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.internal.clock import wall_clock
from azurefold.internal.identity import process_identity
from azurefold.internal.process import ring_from_settings
from azurefold.wire.grpc_service import UnaryHandler, serve

KEY = Key(id="k1", secret="0123456789abcdef0123456789abcdef")
OTHER = Key(id="k1", secret="another-secret-another-secret-00")


@pytest.fixture
def control():
    ring = ring_from_settings([KEY])
    identity = process_identity("c1", ring, wall_clock())
    orders = []

    def handle(request, sender):
        orders.append((request.endpoint, sender.sender))
        return DrainReply(True, True, 0)

    handler = UnaryHandler(DRAIN, DrainRequest, handle)
    refused = []
    server = serve(
        "127.0.0.1:0", [handler], ring, refused.append, sealer=identity.sealer
    )
    yield server, orders, refused
    server.stop(0)


def order(server, key):
    address = f"127.0.0.1:{server.port}"
    listed = OperatorControl(
        name="c1", data_centre="fukuoka-hall", status=address, grpc=address
    )
    callers = control_callers([listed], [key])
    return drain("b0", callers, manual_clock(ManualTime()), print, until=0)


def test_order_with_the_key_is_carried_out(control):
    server, orders, _ = control
    assert order(server, KEY).exit is Exit.OK
    assert orders == [("b0", "operator")]


def test_order_with_another_key_is_refused_and_counted(control):
    server, orders, refused = control
    assert order(server, OTHER).exit is Exit.UNAVAILABLE
    assert orders == []
    assert len(refused) == 1
