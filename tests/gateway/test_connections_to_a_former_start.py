"""Connections to an endpoint's former start are closed, also those in use."""

import socket

import gevent
import pytest

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.gateway.endpoints.connections import EndpointLinks
from azurefold.gateway.endpoints.reply import BrokenReplyError, read_reply


@pytest.fixture
def silent_endpoint():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@pytest.fixture
def links():
    return EndpointLinks(manual_clock(ManualTime(at=1_000)))


def test_a_request_to_a_former_start_learns_so_at_once(links, silent_endpoint):
    """A request waits until its deadline for an answer that cannot come.

    Its endpoint crashed behind a cut and started again, so nothing told the
    connection that its other end was gone.
    """
    link = links.take("e1", silent_endpoint, fresh=True)
    waiting = gevent.spawn(read_reply, link, "POST")
    gevent.sleep(0.02)
    links.sever("e1")
    with pytest.raises(BrokenReplyError):
        waiting.get(timeout=1)


def test_kept_connections_are_not_used_again(links, silent_endpoint):
    link = links.take("e1", silent_endpoint, fresh=True)
    links.keep("e1", link, None)
    links.sever("e1")
    assert links.take("e1", silent_endpoint, fresh=False) is not link


def test_other_endpoints_keep_theirs(links, silent_endpoint):
    link = links.take("e1", silent_endpoint, fresh=True)
    links.keep("e1", link, None)
    links.sever("e2")
    assert links.take("e1", silent_endpoint, fresh=False) is link
