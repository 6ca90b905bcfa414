"""Odd settings are findings; no process ends in them before it says why."""

import json

import pytest
from hypothesis import given, settings
from tests.odd_json import DIGITS, LEVELS, odd_texts

from azurefold.border.findings import FindingsError
from azurefold.border.settings import AgentSettings, EntrySettings, load_settings
from azurefold.internal.process_limits import new_process_limits

ENTRY = {
    "data_centre": "f",
    "metrics": "10.0.0.1:1",
    "keys": [{"id": "k", "secret": "s" * 16}],
    "memory_mb": 512,
    "descriptors": 1024,
    "name": "e",
    "listen": "10.0.0.1:2",
    "control": "10.0.0.1:3",
    "control_name": "c",
    "platform": ["10.0.0.1:4"],
    "limits": {"max_body_bytes": 1_000, "drain_timeout_ms": 5},
}
AGENT = {
    "data_centre": "f",
    "metrics": "10.0.0.1:1",
    "keys": [{"id": "k", "secret": "s" * 16}],
    "endpoint": "e",
    "service": "s",
    "group": "g",
    "rank": 1,
    "http": "10.0.0.1:2",
    "grpc": "10.0.0.1:3",
    "udp": "10.0.0.1:4",
    "engine": "10.0.0.1:5",
    "controls": [{"name": "c", "udp": "10.0.0.1:6"}],
}


@pytest.fixture(scope="module")
def path(tmp_path_factory):
    return tmp_path_factory.mktemp("settings") / "settings.jsonc"


def use(path, text, model):
    """Load settings and use them as a process does that starts."""
    path.write_text(text)
    loaded = load_settings(str(path), model)
    new_process_limits(loaded.memory_bytes, loaded.descriptors)
    assert all(key.secret_bytes() for key in loaded.keys)
    return loaded


@settings(max_examples=150, deadline=None)
@given(odd_texts(ENTRY))
def test_odd_settings_of_an_entry_are_findings_or_of_use(path, text):
    """Guards against a process that ends in a traceback in place of a finding."""
    try:
        use(path, text, EntrySettings)
    except FindingsError:
        return


@settings(max_examples=150, deadline=None)
@given(odd_texts(AGENT))
def test_odd_settings_of_an_agent_are_findings_or_of_use(path, text):
    try:
        loaded = use(path, text, AgentSettings)
    except FindingsError:
        return
    assert loaded.rank is None or 0 <= loaded.rank < 2**31


@pytest.mark.parametrize("name", ["memory_mb", "descriptors"])
@pytest.mark.parametrize("number", ["9" * 300, "9" * 400, "9" * DIGITS, "-1"])
def test_a_number_of_no_machine_is_a_finding(path, name, number):
    text = json.dumps(ENTRY | {name: "@"}).replace('"@"', number)
    with pytest.raises(FindingsError):
        use(path, text, EntrySettings)


@pytest.mark.parametrize("number", ["9" * 300, "2147483648", "-1"])
def test_a_rank_that_fits_into_no_message_is_a_finding(path, number):
    text = json.dumps(AGENT | {"rank": "@"}).replace('"@"', number)
    with pytest.raises(FindingsError):
        use(path, text, AgentSettings)


def test_a_secret_with_half_a_character_is_a_finding(path):
    key = {"id": "k", "secret": "\ud800" * 16}
    with pytest.raises(FindingsError):
        use(path, json.dumps(ENTRY | {"keys": [key]}), EntrySettings)


@pytest.mark.parametrize("levels", [150, 330, 500, 900, 980, 1_500, 3_000, LEVELS])
def test_settings_that_nest_too_deeply_are_a_finding(path, levels):
    nested = "[" * levels + "]" * levels
    with pytest.raises(FindingsError):
        use(path, json.dumps(ENTRY)[:-1] + f',"later":{nested}}}', EntrySettings)
