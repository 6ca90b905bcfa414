"""A gateway that runs outlives a settings file that it cannot take in."""

import json
import signal
from pathlib import Path

import pytest

from azurefold_standins.gateway_site import new_gateway_site
from azurefold_standins.processes import wait_until

pytestmark = pytest.mark.scenario

_LEVELS = 20_000
_RELOAD_S = 10.0


def nested(text):
    return f'{text[:-1]}, "Later": {"[" * _LEVELS}{"]" * _LEVELS}}}'


def with_field(text, name, value):
    return json.dumps(json.loads(text) | {name: value})


ODD_FILES = {
    "nested": nested,
    "infinite": lambda text: with_field(text, "Bounds", {"GraceS": 1e308}),
    "store-without-port": lambda text: with_field(
        text, "Platform", {"Address": "nowhere"}
    ),
    "memory-infinite": lambda text: with_field(text, "Limits", {"MemoryMb": 1e308}),
}


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = new_gateway_site(tmp_path_factory.mktemp("site"), gateways=1, ranks=1)
    site.start()
    yield site
    site.processes.kill_all()


@pytest.mark.parametrize("odd", ODD_FILES.values(), ids=ODD_FILES)
def test_an_odd_settings_file_does_not_end_a_gateway_at_its_reload(site, odd):
    """Guards against an exception in a signal's handler, which ends the process."""
    process = site.processes["gateway-0"]
    if not process.running:
        process.start()
    site.wait_ready("gateway-0")
    path = Path(process.arguments[-1])
    before = path.read_text("utf-8")
    told = process.output().count("event=reload_failed")
    path.write_text(odd(before), "utf-8")
    try:
        process.send(signal.SIGHUP)
        wait_until(
            lambda: (
                process.output().count("event=reload_failed") > told
                or not process.running
            ),
            "the reload is refused",
            _RELOAD_S,
        )
    finally:
        path.write_text(before, "utf-8")
    assert process.running
    assert site.is_ready("gateway-0")
