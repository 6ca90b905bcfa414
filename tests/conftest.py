"""Fixtures and Hypothesis profiles shared by all tests.

The ``ci`` profile is derandomised, so that one tree always gets one verdict.
``make soak`` selects the larger, random one.
"""

import os

from hypothesis import HealthCheck, settings
from hypothesis.internal.conjecture import providers

_SLOW_MACHINE = [HealthCheck.too_slow, HealthCheck.data_too_large]

# Hypothesis mixes constants from the source of all local modules imported so
# far into what it draws. A derandomised test then draws other examples in the
# whole run than alone, and others again once any file changes: mutants that are
# caught today would slip through tomorrow. Without them a test's examples
# depend on the test itself only.
_NO_CONSTANTS = providers.Constants()
providers._get_local_constants = lambda: _NO_CONSTANTS

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=_SLOW_MACHINE,
)
settings.register_profile(
    "soak",
    deadline=None,
    max_examples=2_000,
    stateful_step_count=80,
    suppress_health_check=_SLOW_MACHINE,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
