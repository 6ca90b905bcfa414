"""A caller that leaves ends its request, and nothing more is sent for it."""

import socket

import gevent
import pytest

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.gateway.callers.calls import CallerGoneError, DeadlinePassedError
from azurefold.gateway.endpoints.connections import EndpointLinks
from azurefold.gateway.endpoints.reply import read_reply


@pytest.mark.parametrize("reason", [CallerGoneError, DeadlinePassedError])
def test_what_ends_a_request_is_not_taken_for_a_broken_connection(reason):
    """Requests reach endpoints after their callers have left.

    A caller gave up a stream that had shown nothing for two seconds. What ended its
    request came while an endpoint's answer was waited for, and was taken for a reset
    of that endpoint's connection: the request went to another endpoint, and ran there
    for nobody. Hunted day: deploy/days/two-groups.toml --vary --seed 630838795054 on
    the Union's site, four requests sent on after their callers had left.
    """
    links = EndpointLinks(manual_clock(ManualTime(at=1_000)))
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        link = links.take("e1", address, fresh=True)
        waiting = gevent.spawn(read_reply, link, "POST")
        gevent.sleep(0.02)
        gevent.kill(waiting, reason("over"))
        with pytest.raises(reason):
            waiting.get(timeout=1)
