"""What tests import leaves the standard library as it is."""

import subprocess
import sys

MODULES = (
    "azurefold.gateway.service",
    "azurefold_standins.fault_soak",
    "azurefold_standins.feed_store",
    "azurefold_standins.gateway_site",
)
CODE = """
import importlib, sys
from gevent import monkey
for name in sys.argv[1:]:
    importlib.import_module(name)
    assert not monkey.saved, f"{name} patches the standard library"
"""


def test_modules_that_tests_import_patch_nothing():
    """The whole run of tests hangs after some sixty of them.

    A module that a test imports patched the standard library in the middle of
    the run, after threads had been started that then wait for ever.
    """
    done = subprocess.run(
        [sys.executable, "-c", CODE, *MODULES],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr
