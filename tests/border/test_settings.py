"""Settings are refused with all findings at once, each with its place."""

import pytest

from azurefold.border.settings import (
    AgentSettings,
    ControlSettings,
    EntrySettings,
    load_settings,
)

ENTRY = """{
  // an entry
  "name": "entry-1",
  "data_centre": "fukuoka-hall",
  "listen": "127.0.0.1:8080",
  "metrics": "127.0.0.1:9090",
  "control": "[::1]:7000", "control_name": "control-1",
  "platform": ["127.0.0.1:6000"],
  "keys": [{"id": "k1", "secret": "0123456789abcdef"}],
}
"""


@pytest.fixture
def write(tmp_path):
    def write(text):
        path = tmp_path / "settings.jsonc"
        path.write_text(text)
        return str(path)

    return write


def test_good_settings_with_defaults(write):
    settings = load_settings(write(ENTRY), EntrySettings)
    assert settings.limits.max_body_bytes == 1_048_576
    assert settings.keys[0].secret_bytes() == b"0123456789abcdef"
    assert "0123456789abcdef" not in repr(settings)


def test_all_findings_come_at_once_with_places(write, refused):
    text = """{
  "name": "Entry 1",
  "data_centre": 7,
  "listen": "localhost:8080",
  "metrics": "127.0.0.1",
  "control": "127.0.0.1:70000",
  "platform": [],
  "keys": [{"id": "k1", "secret": "a-long-secret-0123"},
           {"id": "k1", "secret": "short"}],
  "limits": {"max_body_bytes": "1", "max_bodies": 2},
}"""
    places, told = refused(load_settings, write(text), EntrySettings)
    assert [(line, path) for line, _, path in places] == [
        (2, "name"),
        (3, "data_centre"),
        (4, "listen"),
        (5, "metrics"),
        (6, "control"),
        (7, "platform"),
        (9, "keys[1].id"),
        (9, "keys[1].secret"),
        (10, "limits.max_body_bytes"),
        (10, "limits.max_bodies"),
    ]
    assert "settings.jsonc:10:37: limits.max_bodies: is not known" in told
    assert "expected one of: body_timeout_ms, drain_timeout_ms" in told
    assert "'localhost' is not an IP number" in told
    assert 'expected where callers come: an IP number with a port, "10.0.0.1' in told


def test_findings_never_show_a_secret(write, refused):
    text = ENTRY.replace("0123456789abcdef", "tiny-secret")
    assert "tiny-secret" not in refused(load_settings, write(text), EntrySettings)[1]


def test_missing_keys_and_file(write, refused, tmp_path):
    places, told = refused(load_settings, write("{}"), ControlSettings)
    assert {path for _, _, path in places} >= {"name", "grpc", "udp", "keys"}
    assert "is missing" in told
    _, told = refused(load_settings, str(tmp_path / "none"), ControlSettings)
    assert "No such file" in told


@pytest.mark.parametrize("text", ["[]", "3", "null", '"x"'])
def test_settings_that_are_no_object(text, write, refused):
    places, _ = refused(load_settings, write(text), AgentSettings)
    assert places == [(1, 1, "")]


def test_peers_that_are_itself_or_doubled_and_half_a_rank(write, refused):
    text = """{
  "endpoint": "drafts-0", "service": "recall-drafts", "rank": 0,
  "data_centre": "fukuoka-hall",
  "http": "127.0.0.1:1", "grpc": "127.0.0.1:2", "metrics": "127.0.0.1:3",
  "udp": "127.0.0.1:9",
  "engine": "127.0.0.1:4", "keys": [{"id": "k", "secret": "0123456789abcdef"}],
  "controls": [{"name": "c", "udp": "127.0.0.1:5"}],
  "peers": [{"endpoint": "drafts-0", "grpc": "127.0.0.1:6"},
            {"endpoint": "drafts-1", "grpc": "127.0.0.1:7"},
            {"endpoint": "drafts-1", "grpc": "127.0.0.1:8"}],
}"""
    places, _ = refused(load_settings, write(text), AgentSettings)
    assert [path for _, _, path in places] == [
        "rank",
        "peers[0].endpoint",
        "peers[2].endpoint",
    ]
