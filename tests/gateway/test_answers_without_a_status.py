"""Bytes whose status is none of HTTP are no answer, and nobody waits behind them."""

import gevent
import pytest
from gevent.server import StreamServer

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.gateway.endpoints.connections import EndpointLinks
from azurefold.gateway.endpoints.reply import BrokenReplyError, read_reply

HEAD = "HTTP/1.1 {} S\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok"
INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n"
_ANSWER_S = 1.0


@pytest.fixture
def reply_to():
    """Return the reply that is read off the bytes that an endpoint sends."""
    servers, links = [], EndpointLinks(manual_clock(ManualTime()))

    def read(data):
        def answer(sock, _):
            sock.sendall(data.encode("latin-1"))
            gevent.sleep(3 * _ANSWER_S)

        server = StreamServer(("127.0.0.1", 0), answer)
        server.start()
        servers.append(server)
        link = links.take("e1", f"127.0.0.1:{server.server_port}", fresh=True)
        with gevent.Timeout(_ANSWER_S, AssertionError("waits for more")):
            return read_reply(link, "POST")

    yield read
    for server in servers:
        server.stop(timeout=0)


@pytest.mark.parametrize("before", ["", INTERIM])
@pytest.mark.parametrize(
    "status", ["000", "001", "099", "101", "600", "999", "0", "1000", "-200", "OK", ""]
)
def test_a_status_that_is_none_is_no_answer(reply_to, status, before):
    """Guards against a caller that gets such an answer, or waits for another one."""
    with pytest.raises(BrokenReplyError):
        reply_to(before + HEAD.format(status))


def test_an_answer_behind_one_without_a_status_is_none(reply_to):
    with pytest.raises(BrokenReplyError):
        reply_to(HEAD.format("000") + HEAD.format(200))


@pytest.mark.parametrize("status", ["200", "299", "404", "503", "599"])
def test_an_answer_with_a_status_is_read(reply_to, status):
    assert reply_to(INTERIM + HEAD.format(status)).head.status == int(status)


KEPT = HEAD.format(200).replace("\r\n\r\n", "\r\nKeep-Alive: timeout={}\r\n\r\n")


@pytest.mark.parametrize(
    ("seconds", "kept_ms"),
    [("5", 5_000), ("9" * 5_000, None), ("\u00b2", None), ("-1", None), ("", None)],
)
def test_an_odd_time_of_an_idle_connection_spoils_no_answer(reply_to, seconds, kept_ms):
    """Guards against a whole answer that its caller does not get."""
    reply = reply_to(KEPT.format(seconds))
    assert reply.next_bytes() == b"ok"
    assert reply.idle_timeout_ms == kept_ms
