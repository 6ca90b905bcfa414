"""Crashed endpoints are distinguished from those that only close a connection."""

import contextlib
import logging
import socket
from dataclasses import replace

import gevent
import pytest
from tests.gateway.test_relays_answer_truthfully import (
    BROKEN,
    EVENT,
    answer,
    parts_of,
    relay_of,
)

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.routes.model import AnswerKind
from azurefold.gateway.callers.calls import CallerGoneError, CutOffError
from azurefold.gateway.endpoints.connections import EndpointLinks
from azurefold.gateway.endpoints.reply import BrokenReplyError
from azurefold.platform.headers import read_request


@pytest.fixture
def links():
    return EndpointLinks(manual_clock(ManualTime(at=1_000)))


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


def address_of(server):
    return "{}:{}".format(*server.getsockname())


def test_a_successful_connection_is_kept_and_is_no_refusal(links, listener):
    assert not links.refuses_connections("e0", address_of(listener))
    assert links.take("e0", address_of(listener), fresh=False).is_new is False


def test_a_closed_port_refuses_connections(links, listener):
    address = address_of(listener)
    listener.close()
    assert links.refuses_connections("e0", address)


def test_a_port_that_closes_soon_after_refuses_connections(links, listener):
    """Guards against an endpoint that is still there for a moment when it stops."""
    address = address_of(listener)
    gevent.spawn_later(0.02, listener.close)
    assert links.refuses_connections("e0", address, watch_ms=100)


def test_an_endpoint_that_stays_open_refuses_no_connections(links, listener):
    address = address_of(listener)
    assert not links.refuses_connections("e0", address, watch_ms=20)


def test_a_connection_timeout_is_not_a_refusal(links, monkeypatch):
    def time_out(address):
        raise TimeoutError

    monkeypatch.setattr(EndpointLinks, "_open", lambda self, address: time_out(address))
    assert not links.refuses_connections("e0", "127.0.0.1:1")


def test_a_caller_that_disconnects_during_the_check_ends_the_request(
    links, monkeypatch
):
    def disconnect(self, address):
        raise CallerGoneError("gone")

    monkeypatch.setattr(EndpointLinks, "_open", disconnect)
    with pytest.raises(CallerGoneError):
        links.refuses_connections("e0", "127.0.0.1:1")


@pytest.fixture
def script(monkeypatch):
    """Errors raised by successive attempts."""
    errors = []

    def read(link, method):
        raise errors.pop(0)

    monkeypatch.setattr("azurefold.gateway.endpoints.attempt.read_reply", read)
    return errors


@pytest.fixture
def checked(state, monkeypatch):
    """Record the endpoints that were checked; all of them refuse connections."""
    checked = []

    class FakeSocket:
        def sendall(self, data):
            pass

        def close(self):
            pass

    class FakeLink:
        is_new = True
        sock = FakeSocket()

        def close(self):
            pass

    links = type(state.links)
    monkeypatch.setattr(links, "take", lambda self, *a, **k: FakeLink())
    monkeypatch.setattr(
        links, "refuses_connections", lambda self, *a: checked.append(a) or True
    )
    return checked


def test_a_crash_is_logged_with_the_identity_of_the_request(
    state, script, checked, caplog
):
    script.append(BROKEN)
    relay = relay_of(state, AnswerKind.NON_IDEMPOTENT)
    with caplog.at_level(logging.INFO, "azurefold.gateway"):
        parts_of(relay)
    assert "event=endpoint_crashed" in caplog.text
    assert f"identity={relay.call.identity:016x}" in caplog.text


def test_no_crash_check_follows_a_read_timeout(state, script, checked):
    script.append(BrokenReplyError("silent", begun=False))
    parts_of(relay_of(state, AnswerKind.NON_IDEMPOTENT))
    assert not checked


@pytest.mark.parametrize(("pieces", "begun"), [((), False), ((EVENT % 1,), True)])
def test_a_crash_is_logged_with_the_parts_of_the_prompt(
    state, monkeypatch, checked, caplog, pieces, begun
):
    """Guards against logs that do not tell which prompts crash endpoints."""
    relay = relay_of(state, AnswerKind.STREAMING, max_attempts=1)
    head = read_request([("Attempt-Id", "a1"), ("Prefix-Hash", "0a:800,1b:41,ff:25")])
    relay.call = replace(relay.call, head=head)
    monkeypatch.setattr(
        "azurefold.gateway.endpoints.attempt.read_reply",
        lambda link, method: answer(pieces=[*pieces, BROKEN]),
    )
    with (
        caplog.at_level(logging.INFO, "azurefold.gateway"),
        contextlib.suppress(CutOffError),
    ):
        parts_of(relay)
    assert f"parts=a,1b begun={begun}" in caplog.text
    # Guards against suspecting the parts of a request that ran beside the cause.
    assert state.crashing_parts.size == (0 if begun else 2)
