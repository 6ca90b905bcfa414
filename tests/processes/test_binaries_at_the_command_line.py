"""Binaries say what they are and refuse bad settings with all findings."""

import subprocess
import sys

import pytest

from azurefold import __version__

pytestmark = pytest.mark.scenario

DAEMONS = ("entry", "control", "agent")


def run(module, *words):
    """Run a binary and return what it did."""
    command = [sys.executable, "-m", module, *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@pytest.mark.parametrize("name", DAEMONS)
def test_version_and_help(name):
    assert run(f"azurefold.{name}", "--version").stdout.split()[-1] == __version__
    shown = run(f"azurefold.{name}", "--help")
    assert shown.returncode == 0
    assert "SETTINGS" in shown.stdout + shown.stderr


@pytest.mark.parametrize("name", DAEMONS)
def test_bad_settings_are_refused_with_every_finding(name, tmp_path):
    path = tmp_path / "bad.jsonc"
    path.write_text('{\n  // a comment\n  "data_centre": 7,\n  "nonsense": true\n}')
    done = run(f"azurefold.{name}", str(path))
    assert done.returncode == 2
    findings = done.stderr.splitlines()
    assert any("bad.jsonc:3:" in line and "data_centre" in line for line in findings)
    assert any("bad.jsonc:4:" in line and "nonsense" in line for line in findings)
    assert any("keys: is missing" in line for line in findings)


def test_a_settings_file_that_is_not_there_is_refused():
    done = run("azurefold.entry", "nowhere.jsonc")
    assert done.returncode == 2
    assert "nowhere.jsonc" in done.stderr
