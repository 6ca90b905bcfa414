"""Heads that two programs read differently, and proper ones that are rare."""

import pytest

from tests.misbehaving.conftest import answer_of, request_head

pytestmark = pytest.mark.scenario

SMUGGLED = request_head("/lists/smuggled/", "smuggled", "Content-Length: 0")
ODD_LINES = [
    f"Content-Length : {len(SMUGGLED)}",
    f"Content-Length\t: {len(SMUGGLED)}",
    f"no colon\r\nContent-Length: {len(SMUGGLED)}",
    f"N\xe4me: x\r\nContent-Length: {len(SMUGGLED)}",
    f": x\r\nContent-Length: {len(SMUGGLED)}",
    f" folded\r\nContent-Length: {len(SMUGGLED)}",
    f"Content-Length: {len(SMUGGLED)}\r\nContent-Length: 0",
    f"Content-Length: {len(SMUGGLED)}\r\nTransfer-Encoding: chunked",
    f"Content-Length: 0{len(SMUGGLED)}, 0",
    "Transfer-Encoding: xchunked",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding: chunked, identity",
]


def test_no_odd_head_has_its_body_run_as_a_request(gateway):
    """Guards against a request in a body that runs as one that nobody sent."""
    for number, line in enumerate(ODD_LINES):
        head = request_head("/lists/outer/", f"outer-{number}", line)
        status, _ = answer_of(gateway.address, head + SMUGGLED)
        assert status == 400, line
    runs = gateway.site.journal().runs
    assert not any(name.startswith(("outer", "smuggled")) for name in runs)
    gateway.serves()


@pytest.mark.parametrize(
    "head",
    [
        request_head("/lists/r/", "many", *[f"X-{n}: {n}" for n in range(300)]),
        b"\r\n" + request_head("/lists/r/", "empty-line"),
        request_head("/lists/r/" + "a" * 12_000, "long-target"),
        request_head("/lists/r/", "long-field", "X-Long: " + "y" * 16_000),
    ],
    ids=["many-fields", "empty-line-before", "long-target", "long-field"],
)
def test_a_proper_head_that_is_rare_is_served(gateway, head):
    """Guards against proper requests that are refused for their form."""
    request = head[:-2] + b"Content-Length: 2\r\nConnection: close\r\n\r\nhi"
    status, body = answer_of(gateway.address, request)
    assert status == 200
    assert body.endswith(b":hi")


def test_a_caller_that_waits_for_an_interim_answer_is_served(gateway, crowd):
    """Guards against a body that is never asked for."""
    head = request_head(
        "/lists/r/", "expects", "Content-Length: 2", "Expect: 100-continue"
    )
    sock = crowd.send(head)
    assert sock.recv(4_096).startswith(b"HTTP/1.1 100")
    sock.sendall(b"hi")
    answer = b""
    while not answer.endswith(b":hi"):
        answer += sock.recv(4_096)
    assert answer.startswith(b"HTTP/1.1 200")
