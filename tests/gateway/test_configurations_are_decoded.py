"""Of configurations that follow one another only what has changed is decoded."""

import msgspec
import pytest
from tests.gateway.test_news_is_put_in_force import configuration

from azurefold.platform import configuration as configurations
from azurefold.platform.configuration import (
    BadConfigurationError,
    ConfigurationDecoder,
)


def test_routes_that_stay_are_not_decoded_again(monkeypatch):
    """Each stream of a gateway stands still while a configuration is decoded.

    A configuration of 1,300 routes came once a second with one of them changed, and
    each took the gateway 20 ms; now 2 ms. Of streams that ran meanwhile a quarter had
    an event too late.
    """
    decoded = []
    route = configurations._route
    monkeypatch.setattr(
        configurations, "_route", lambda read: decoded.append(read.name) or route(read)
    )
    body = msgspec.json.decode(configuration(5))
    first = body["Routes"][0]
    body["Routes"] = [
        first | {"Name": f"r{n}", "Prefix": f"/p{n}/"} for n in range(1_300)
    ]
    decoder = ConfigurationDecoder()
    before = decoder.decode(msgspec.json.encode(body))
    assert len(decoded) == 1_300
    body["Routes"][7]["TimeoutMs"] = 5_000
    del body["Routes"][9]
    after = decoder.decode(msgspec.json.encode(body))
    assert decoded[1_300:] == ["r7"]
    changed = [route for route in after.routes if route not in before.routes]
    assert [(each.name, each.timeout_ms) for each in changed] == [("r7", 5_000)]
    assert len(after.routes) == 1_299


def test_a_route_that_cannot_be_read_spoils_the_configuration_alone():
    decoder = ConfigurationDecoder()
    good = configuration(5)
    decoder.decode(good)
    body = msgspec.json.decode(good)
    body["Routes"][0]["TimeoutMs"] = "soon"
    with pytest.raises(BadConfigurationError):
        decoder.decode(msgspec.json.encode(body))
    assert decoder.decode(good).version == 5
