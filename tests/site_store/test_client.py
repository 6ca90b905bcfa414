"""The client tells what took effect, what did not, and what it cannot know."""

import json

import gevent
import pytest
from gevent.server import StreamServer

from azurefold.site_store.client import platform_client
from azurefold.site_store.connections import NotSentError, http_client
from azurefold.site_store.messages import (
    Condition,
    Conflict,
    Missing,
    ObjectBytes,
    Put,
    Stored,
    Transaction,
    Unavailable,
    Unknown,
    Written,
)

INSERT = Transaction((Condition("claim/1"),), (Put("claim/1", "attempt-1"),))


def test_insert_if_absent_happens_once(client):
    first = client.write(INSERT)
    second = client.write(INSERT)
    assert isinstance(first, Written)
    assert isinstance(second, Conflict)
    assert second.rows["claim/1"].value == "attempt-1"
    assert second.rows["claim/1"].version == first.versions["claim/1"]


def test_transaction_is_all_or_nothing(client):
    client.write(INSERT)
    both = Transaction(
        (Condition("claim/2"), Condition("claim/1")),
        (Put("claim/2", "x"), Put("claim/1", "y")),
    )
    assert isinstance(client.write(both), Conflict)
    assert set(client.read(["claim/1", "claim/2"]).rows) == {"claim/1"}


def test_condition_on_version_and_delete(client):
    version = client.write(INSERT).versions["claim/1"]
    stale = Transaction((Condition("claim/1", version - 1),), deletes=("claim/1",))
    right = Transaction((Condition("claim/1", version),), deletes=("claim/1",))
    assert isinstance(client.write(stale), Conflict)
    assert isinstance(client.write(right), Written)
    assert client.read(["claim/1"]).rows == {}


def test_prefix_and_awkward_keys(client):
    keys = ["a/b c", "a/b,c", "a/&=%", "b/κλειδί"]
    client.write(Transaction(puts=tuple(Put(key, key) for key in keys)))
    assert set(client.read(keys).rows) == set(keys)
    assert set(client.read_prefix("a/").rows) == set(keys[:3])


def test_objects_are_kept_under_their_hash(client):
    stored = client.put_object(b"section")
    assert isinstance(stored, Stored)
    assert client.get_object(stored.sha256) == ObjectBytes(b"section")
    assert client.get_object("0" * 64) == Missing("0" * 64)


def test_damaged_object_is_not_passed_on(client, order):
    order("PUT", "/objects/" + "0" * 64, b"other")
    assert isinstance(client.get_object("0" * 64), Unavailable)


def test_lost_answer_is_unknown_and_took_effect(client, order):
    """Symptom: a booking made twice. The answer to its claim was lost.

    Sequence: the row is inserted, the connection closes without an answer,
    a client that repeats the write meets its own row and takes it for a rival.
    Cause: a lost answer says nothing about the write, so it is told as unknown
    and never repeated by the client itself.
    """
    client.read(["warm the connection"])
    order("PUT", "/faults", b'{"mode": "lose_answers", "count": 1}')
    assert isinstance(client.write(INSERT), Unknown)
    assert client.read(["claim/1"]).rows["claim/1"].value == "attempt-1"
    assert json.loads(order("GET", "/counters"))["writes"] == 1


def test_refusal_and_closed_port_are_unavailable(client, order):
    order("PUT", "/faults", b'{"mode": "down"}')
    assert isinstance(client.write(INSERT), Unavailable)
    assert isinstance(client.read(["claim/1"]), Unavailable)
    order("PUT", "/faults", b'{"mode": "ok"}')
    assert client.read(["claim/1"]).rows == {}


def test_slow_write_is_unknown_and_may_land_later(address, order):
    """Symptom: a write reported as failed shows up seconds afterwards.

    Sequence: the platform is slow, the client stops waiting, the platform
    then acts. Cause: a timeout is no proof of anything.
    """
    order("PUT", "/faults", b'{"mode": "slow", "latency_ms": 300}')
    hasty = platform_client(address, 50)
    assert isinstance(hasty.write(INSERT), Unknown)
    order("PUT", "/faults", b'{"mode": "ok"}')
    patient = platform_client(address, 5_000)
    with gevent.Timeout(5):
        while not patient.read(["claim/1"]).rows:
            gevent.sleep(0.01)


@pytest.mark.parametrize("answer", [b"", b"nonsense\r\n\r\n", b"HTTP/1.1 503 X\r\n"])
def test_answers_that_are_no_answers_leave_a_write_unknown(answer):
    def serve(sock, _address):
        sock.recv(65_536)
        sock.sendall(answer)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = platform_client(f"127.0.0.1:{server.server_port}", 5_000)
    assert isinstance(client.write(INSERT), Unknown)
    assert isinstance(client.read(["x"]), Unavailable)
    server.stop(timeout=0)


def test_write_that_was_never_sent_is_unavailable_and_goes_to_next_address(address):
    closed = StreamServer(("127.0.0.1", 0), lambda *_: None)
    closed.start()
    dead = f"127.0.0.1:{closed.server_port}"
    closed.stop()
    assert isinstance(platform_client(dead, 200).write(INSERT), Unavailable)
    assert isinstance(platform_client([dead, address], 5_000).write(INSERT), Written)


def test_waiting_for_a_connection_is_not_sending(address):
    http = http_client(address, 5_000, concurrency=1)
    http._connection_pool.get_socket()
    with pytest.raises(NotSentError), gevent.Timeout(0.05):
        http.request("POST", "/table", b"{}")


def test_requests_given_up_leave_no_connection_occupied(address, order):
    """Symptom: after an outage the client stays mute for good.

    Sequence: requests time out, each keeps its place in the pool, the pool
    runs dry. Cause: a timeout must give the connection back.
    """
    client = platform_client(address, 50, concurrency=2)
    order("PUT", "/faults", b'{"mode": "slow", "latency_ms": 200}')
    results = [client.write(INSERT) for _ in range(5)]
    assert all(isinstance(result, Unknown) for result in results)
    order("PUT", "/faults", b'{"mode": "ok"}')
    with gevent.Timeout(5):
        while isinstance(client.read(["x"]), Unavailable):
            gevent.sleep(0.01)


def test_vm_list_lags(client, order):
    order("PUT", "/vms", b'{"vms": [{"name": "vm-1", "data_centre": "fukuoka-hall"}]}')
    assert client.vms().vms[0].data_centre == "fukuoka-hall"
    order("PUT", "/faults", b'{"vm_lag_ms": 60000}')
    assert client.vms().vms == ()


def test_restore_brings_back_the_older_copy(client, order):
    client.write(Transaction(puts=(Put("head", "1"),)))
    order("POST", "/snapshot")
    client.write(Transaction(puts=(Put("head", "2"),)))
    order("POST", "/restore")
    assert client.read(["head"]).rows["head"].value == "1"
