"""A connection that has gone silent is left for a new one."""

import socket
import threading

import msgspec
import pytest

from azurefold.wire.grpc_caller import CallError, CallFailure, caller
from azurefold.wire.grpc_service import UnaryHandler, serve
from azurefold.wire.seal import Sealer, key_ring

RING = key_ring([(1, b"k" * 16)])


class Ask(msgspec.Struct, array_like=True):
    number: int


class Relay:
    """Forwards connections; those that are open can be made silent."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._silenced = threading.Event()
        self._sockets = [self._listener]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def silence(self):
        """Make open connections silent; new ones work."""
        self._silenced.set()
        self._silenced = threading.Event()

    def close(self):
        for each in self._sockets:
            each.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.create_connection(("127.0.0.1", self._target))
            self._sockets += [near, far]
            for pair in ((near, far), (far, near)):
                arguments = (*pair, self._silenced)
                threading.Thread(target=_copy, args=arguments, daemon=True).start()


def _copy(source, sink, silenced):
    while True:
        try:
            data = source.recv(65_536)
            if not silenced.is_set():
                sink.sendall(data)
        except OSError:
            return
        if not data:
            return


@pytest.fixture
def relay():
    echo = UnaryHandler("Echo", Ask, lambda ask, sender: ask)
    sealer = Sealer("control-1", 1)
    server = serve("127.0.0.1:0", [echo], RING, lambda reason: None, sealer=sealer)
    relay = Relay(server.port)
    yield relay
    relay.close()
    server.stop(0)


def test_one_call_pays_for_a_silent_connection_and_the_next_works(relay):
    # Symptom: a control process gets no answer from any peer long after a cut
    # between them has healed. Sequence: a call works, the connection goes
    # silent, calls time out one after the other. Cause: gRPC keeps using a
    # connection that is open, and it is never closed.
    made = caller(relay.address, RING, Sealer("c-2", 5), recipient="control-1")
    assert made.call("Echo", Ask(1), Ask, 20_000) == Ask(1)
    relay.silence()
    with pytest.raises(CallError) as failed:
        made.call("Echo", Ask(2), Ask, 300)
    assert failed.value.failure is CallFailure.TIMEOUT
    assert made.call("Echo", Ask(3), Ask, 20_000) == Ask(3)
    made.close()
