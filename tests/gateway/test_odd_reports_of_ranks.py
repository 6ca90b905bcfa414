"""What a rank tells is of use, or told as nothing."""

import json

import pytest
from gevent.server import StreamServer

from azurefold.core.groups.sampled_popularity import CountSample, SampledPopularity
from azurefold.gateway.peers.messages import CrashBeat
from azurefold.gateway.peers.portions import crash_report
from azurefold.platform.ranks import rank_client

REPORT = {
    "group": {"Name": "g", "epoch": 1, "rank": 0, "State": "open"},
    "size": 2,
    "Active": 3,
}


@pytest.fixture
def client_of():
    """Return the client of a rank that answers all calls with this body."""
    servers = []

    def make(body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data)

        def answer(sock, _):
            sock.recv(65_536)
            sock.sendall(head + data)

        server = StreamServer(("127.0.0.1", 0), answer)
        server.start()
        servers.append(server)
        return rank_client("e1", f"127.0.0.1:{server.server_port}")

    yield make
    for server in servers:
        server.stop(timeout=0)


def test_a_report_is_read(client_of):
    assert client_of(REPORT).report().size == 2


@pytest.mark.parametrize(
    "changes",
    [
        {"group": REPORT["group"] | {"rank": 2}},
        {"group": REPORT["group"] | {"rank": 7}},
        {"size": 0},
        {"size": 2**53},
        {"Active": 2**53},
        {"pace": -1},
    ],
    ids=str,
)
def test_a_report_that_fits_no_group_is_none(client_of, changes):
    """Guards against a coordinator that fails at each look for one rank's report."""
    assert client_of(REPORT | changes).report() is None


@pytest.mark.parametrize("body", [b"[" * 20_000, b'{"Active":' + b"9" * 5_000 + b"}"])
def test_bytes_that_are_no_report_are_none(client_of, body):
    assert client_of(body).report() is None


@pytest.mark.parametrize("counts", [[1], [1] * 7, [1] * 9, []])
def test_counts_of_another_engine_are_none(client_of, counts):
    """Guards against a coordinator that never samples again after odd counts."""
    assert client_of({"epoch": 1, "Counts": counts}).counts(2, 4) is None


def test_counts_of_the_engine_are_read(client_of):
    sample, _ = client_of({"epoch": 1, "Counts": [1] * 8}).counts(2, 4)
    assert sample.counts == ((1,) * 4,) * 2


def test_counts_may_change_their_number():
    """Guards against counts that are never compared again after the engine changed."""
    popularity = SampledPopularity(60_000)

    def add(at, *layers):
        return popularity.add_counts([CountSample("e1", 1, layers)], at)

    add(0, (0, 0))
    assert add(1_000, (1, 2))
    assert not add(2_000, (1, 2, 3))
    assert add(3_000, (2, 4, 5))
    assert popularity.layers == ((1.0, 2.0, 2.0),)


def test_an_age_that_another_gateway_tells_can_be_told_again():
    """Guards against messages that no other gateway can read."""
    report = crash_report(CrashBeat(1, 2**53, ((7, 2**53),)), 1_000)
    later = 2**45
    assert later - report.crashes[7] < 2**53
    assert later - report.answered_at < 2**53
