"""A build leaves what starts here, whatever was there before or runs beside it."""

import os
import shutil
import subprocess
import sys
import sysconfig
import time
from pathlib import Path

import pytest

pytestmark = pytest.mark.scenario

ROOT = Path(__file__).parents[2]

_PYTHON = """#!/bin/sh
# Stands in for pip, which would ask an index: installs a library that names its kind.
if [ "$1 $2 $3" = "-m pip install" ]; then
    while [ "$1" != "--target" ]; do shift; done
    mkdir -p "$2"
    sleep 0.2
    "{python}" -c 'import sysconfig; print("KIND =", repr(sysconfig.get_platform()))' \\
        >"$2/library_of_a_kind.py"
    exit 0
fi
exec "{python}" "$@"
"""


class Checkout:
    """A copy of the sources in which builds run."""

    def __init__(self, folder):
        self.folder = folder / "checkout"
        shutil.copytree(ROOT / "deploy", self.folder / "deploy")
        shutil.copytree(
            ROOT / "src" / "azurefold",
            self.folder / "src" / "azurefold",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        programs = folder / "bin"
        programs.mkdir()
        python = programs / "python3"
        python.write_text(_PYTHON.format(python=sys.executable))
        python.chmod(0o755)
        self._path = f"{programs}{os.pathsep}{os.environ['PATH']}"

    def begin_build(self, **variables):
        return subprocess.Popen(
            ["bash", "deploy/build.sh"],
            cwd=self.folder,
            env={**os.environ, "PATH": self._path, **variables},
            stderr=subprocess.PIPE,
            start_new_session=True,
        )

    def build(self, **variables):
        build = self.begin_build(**variables)
        _, errors = build.communicate()
        assert build.returncode == 0, errors

    def change_source(self, number):
        path = self.folder / "src" / "azurefold" / "__init__.py"
        path.write_text(f"{path.read_text()}\n# {number}\n")

    def start(self):
        """Start the gateway for its help, with the libraries of these tests."""
        libraries = sysconfig.get_path("purelib")
        return subprocess.run(
            [sys.executable, "-S", "deploy/gateway.py", "--help"],
            cwd=self.folder,
            env={**os.environ, "PYTHONPATH": f"target/deps{os.pathsep}{libraries}"},
            capture_output=True,
            text=True,
            check=False,
        )

    def kind(self):
        """Return for what kind of machine the libraries were installed."""
        code = "import library_of_a_kind; print(library_of_a_kind.KIND)"
        return subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONPATH": str(self.folder / "target" / "deps")},
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_libraries_of_another_kind_of_machine_are_installed_anew(checkout):
    """Guards against a build over carried-over folders after which nothing starts."""
    checkout.build(_PYTHON_HOST_PLATFORM="linux-other")
    assert checkout.kind() == "linux-other"
    checkout.build()
    assert checkout.kind() == sysconfig.get_platform()
    assert checkout.start().returncode == 0


def test_a_folder_of_an_earlier_release_is_replaced(checkout):
    """Guards against libraries of any kind in the folder that is a link now."""
    former = checkout.folder / "target" / "deps"
    former.mkdir(parents=True)
    (former / ".ready").touch()
    (former / "library_of_a_kind.py").write_text("KIND = 'unknown'\n")
    checkout.build()
    assert checkout.kind() == sysconfig.get_platform()
    assert checkout.start().returncode == 0


@pytest.mark.parametrize("number", [2, 4])
def test_builds_at_once_all_succeed(checkout, number):
    """Guards against builds that remove each other's folders."""
    for change in range(3):
        checkout.change_source(change)
        builds = [checkout.begin_build() for _ in range(number)]
        errors = [build.communicate()[1] for build in builds]
        assert [build.returncode for build in builds] == [0] * number, errors
        assert checkout.start().returncode == 0


def test_processes_start_while_builds_replace_the_package(checkout):
    """Guards against a moment in which a start finds no package, or half of one."""
    checkout.build()
    starts = []
    for change in range(4):
        checkout.change_source(change)
        build = checkout.begin_build()
        while build.poll() is None:
            starts.append(checkout.start())
        build.communicate()
        assert build.returncode == 0
    assert starts
    assert [each.stderr for each in starts if each.returncode] == []


@pytest.mark.parametrize("after_s", [0.1, 0.3, 0.5])
def test_a_build_after_one_that_was_ended_midway_succeeds(checkout, after_s):
    """Guards against half a folder that is taken for a whole one."""
    build = checkout.begin_build()
    time.sleep(after_s)
    os.killpg(build.pid, 9)
    build.communicate()
    checkout.build()
    assert checkout.start().returncode == 0


def test_a_build_without_changes_leaves_the_link_as_it_is(checkout):
    checkout.build()
    link = checkout.folder / "target" / "deps"
    before = link.lstat().st_ino
    checkout.build()
    assert link.lstat().st_ino == before
    checkout.change_source(1)
    checkout.build()
    checkout.change_source(2)
    checkout.build()
    # The one before may still be loaded from; older ones are gone.
    assert len(list((checkout.folder / "target" / "builds").iterdir())) == 2
