"""Calls between processes are sealed both ways and fail with typed errors."""

import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.wire.grpc_caller import CallError, CallFailure, caller
from azurefold.wire.grpc_service import StreamHandler, UnaryHandler, serve
from azurefold.wire.seal import Sealer, key_ring

RING = key_ring([(1, b"k" * 16)])
TIMEOUT = 20_000
SOURCE = Path(__file__).parents[2] / "src"


class Ask(msgspec.Struct, array_like=True):
    number: int


class Answer(msgspec.Struct, array_like=True):
    number: int
    sender: str


@pytest.fixture
def rejects():
    return Counter()


@pytest.fixture
def server(rejects):
    def double(ask, sender):
        return Answer(2 * ask.number, sender.sender)

    def count(ask, sender):
        return (Answer(n, sender.sender) for n in range(ask.number))

    handlers = [UnaryHandler("Double", Ask, double), StreamHandler("Count", Ask, count)]
    sealer = Sealer("control-1", 1)
    served = serve(
        "127.0.0.1:0",
        handlers,
        RING,
        lambda reason: rejects.update([reason.value]),
        sealer=sealer,
    )
    yield served
    served.stop(0)


@pytest.fixture
def make_caller(server):
    callers = []

    def make(ring=RING, recipient="control-1", clock=None):
        address = f"127.0.0.1:{server.port}"
        sealer = Sealer("entry-1", 5)
        made = caller(address, ring, sealer, recipient=recipient, clock=clock)
        callers.append(made)
        return made

    yield make
    for made in callers:
        made.close()


def test_a_call_returns_the_typed_response(make_caller):
    answer = make_caller().call("Double", Ask(4), Answer, TIMEOUT)
    assert answer == Answer(8, "entry-1")


def test_a_stream_yields_all_parts_in_order(make_caller):
    parts = make_caller().stream("Count", Ask(50), Answer, TIMEOUT)
    assert [part.number for part in parts] == list(range(50))


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"ring": key_ring([(1, b"f" * 16)])}, "bad_mac"),
        ({"ring": key_ring([(2, b"f" * 16)])}, "unknown_key"),
        ({"recipient": "control-2"}, "bad_mac"),
        ({"clock": manual_clock(ManualTime(at=0))}, "expired"),
    ],
)
def test_an_order_without_a_valid_seal_is_refused_and_counted(
    make_caller, rejects, change, reason
):
    with pytest.raises(CallError) as caught:
        make_caller(**change).call("Double", Ask(4), Answer, TIMEOUT)
    assert caught.value.failure is CallFailure.REFUSED
    assert rejects == {reason: 1}


def test_a_malformed_request_is_refused_and_counted(make_caller, rejects):
    with pytest.raises(CallError) as caught:
        make_caller().call("Double", ["no number"], Answer, TIMEOUT)
    assert caught.value.failure is CallFailure.REFUSED
    assert rejects == {"malformed": 1}


def test_a_replayed_request_is_refused_and_counted(make_caller, rejects):
    """An order recorded on its way is sent again.

    Symptom: it is carried out twice. Sequence: order, answer, the same bytes
    again. Cause: a valid code says who wrote an order, not how often.
    """
    honest, thief = make_caller(), make_caller()
    recorded = honest._sign("Double", msgspec.msgpack.encode(Ask(4)))
    honest._sign = thief._sign = lambda method, body: recorded
    assert honest.call("Double", Ask(4), Answer, TIMEOUT).number == 8
    with pytest.raises(CallError) as caught:
        thief.call("Double", Ask(4), Answer, TIMEOUT)
    assert caught.value.failure is CallFailure.REFUSED
    assert rejects == {"replayed": 1}


def test_an_unreachable_process_is_told_apart_from_a_refusal(server, make_caller):
    reached = make_caller()
    server.stop(0)
    with pytest.raises(CallError) as caught:
        reached.call("Double", Ask(4), Answer, TIMEOUT)
    assert caught.value.failure is CallFailure.UNREACHABLE


_UNDER_GEVENT = """
import gevent.monkey
gevent.monkey.patch_all()
import gevent, msgspec
from azurefold.wire.grpc_service import UnaryHandler, serve, use_gevent
from azurefold.wire.grpc_caller import caller
from azurefold.wire.seal import Sealer, key_ring
use_gevent()
ring = key_ring([(1, b"k" * 16)])
released = gevent.event.Event()
def wait(request, sender):
    released.wait(20)
    return request
handlers = [UnaryHandler("Wait", int, wait)]
server = serve("127.0.0.1:0", handlers, ring, print, sealer=Sealer("control-1", 1))
address = f"127.0.0.1:{server.port}"
calling = caller(address, ring, Sealer("entry-1", 1), recipient="control-1")
waiting = [gevent.spawn(calling.call, "Wait", n, int, 20_000) for n in range(4)]
gevent.sleep(0.1)
released.set()
print(sorted(greenlet.get() for greenlet in waiting))
server.stop(0)
"""


def test_a_waiting_call_leaves_other_greenlets_running():
    """A call waits for its answer, and heartbeats stop meanwhile.

    Symptom: a control process is taken for dead while it asks another.
    Sequence: call, no answer yet, other greenlets never run. Cause: gRPC
    blocks the thread unless told of gevent; here it would never be released.
    """
    done = subprocess.run(
        [sys.executable, "-c", _UNDER_GEVENT],
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.stdout.strip() == "[0, 1, 2, 3]", done.stderr
