"""The operators' text: what it means, and what is refused in it."""

from pathlib import Path

import pytest

from azurefold.border.configuration import (
    configuration_from_raw,
    load_configuration,
    parse_configuration,
)
from azurefold.core.configuration.model import Priority, ServiceKind

DEMO = Path(__file__).parents[2] / "examples" / "demo.jsonc"
SERVICE = '"kind": "plain", "data_centres": ["d"]'


def test_demo_text_is_accepted():
    configuration = load_configuration(str(DEMO)).to_core()
    drafts = configuration.services["recall-drafts"]
    bookings = configuration.services["bookings"]
    assert drafts.kind is ServiceKind.MODEL
    assert drafts.groups[0].endpoints == drafts.endpoints
    assert drafts.balance.booking_hours[0].end_minute == 360
    assert bookings.priority is Priority.CONFIRMATION
    assert not bookings.is_idempotent
    assert configuration.find_service("bookings-1") is bookings
    assert configuration.find_service("unknown") is None


def test_raw_form_gives_the_same_configuration():
    model = load_configuration(str(DEMO))
    assert configuration_from_raw(model.to_raw()) == model.to_core()


def test_accepted_configuration_of_a_newer_version_is_a_plain_error():
    with pytest.raises(ValueError, match="services"):
        configuration_from_raw({"services": {"a": {"shape": "new"}}})


def test_findings_across_parts_come_with_findings_within(refused):
    text = f"""{{
  "services": {{
    "a": {{{SERVICE}, "endpoints": ["e1", "e2"], "depends_on": ["b", "nowhere"]}},
    "b": {{{SERVICE}, "endpoints": ["e2"], "depends_on": ["a"]}},
    "c": {{"kind": "model", "data_centres": ["d"], "endpoints": ["e3"],
          "groups": {{"g": ["e3", "e3", "e9"]}}}},
    "d": {{{SERVICE}, "endpoints": ["e4"], "model": "m", "groups": {{"g": ["e4"]}}}},
    "Bad Name": {{{SERVICE}, "endpoints": ["e5"], "limits": {{"timeout_ms": 0}}}}
  }},
  "organisations": {{"o": {{"share": -1, "api_key_sha256": "xyz"}}}}
}}"""
    places, told = refused(parse_configuration, "text.jsonc", text)
    paths = [path for _, _, path in places]
    assert paths == [
        "services.a.depends_on",
        "services.a.depends_on[1]",
        "services.b.endpoints[0]",
        "services.c.model",
        "services.c.groups.g[1]",
        "services.c.groups.g[2]",
        "services.d.model",
        "services.d.groups",
        "services.d.groups.g",
        "services.Bad Name",
        "services.Bad Name.limits.timeout_ms",
        "organisations.o.share",
        "organisations.o.api_key_sha256",
    ]
    assert "a cycle: " in told
    assert "endpoint 'e2' already stands in 'a'" in told


@pytest.mark.parametrize(
    "text",
    [
        '{"services": 3}',
        '{"services": {"a": 3}}',
        '{"services": {"a": {"endpoints": {"x": 1}, "depends_on": [3, null]}}}',
        '{"services": {"a": {"groups": {"g": 3}, "kind": ["model"]}}}',
        "[]",
        "null",
    ],
)
def test_values_of_any_shape_are_findings_not_crashes(text, refused):
    places, _ = refused(parse_configuration, "x", text)
    assert places
