"""Fixtures that make configuration loops on manual time."""

import random

import pytest
from tests.control.loops import FewPeers, OwnStore

from azurefold.control.configuration import ConfigurationLoop
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.configuration.follower import create_follower


@pytest.fixture
def time():
    return ManualTime(0)


@pytest.fixture
def make_loop(time, monkeypatch):
    """Return a function that makes loops; what they spawn runs at once."""
    monkeypatch.setattr(
        "azurefold.control.configuration.gevent.spawn", lambda work, *a: work(*a)
    )

    def make(name="one", peers=None, sent=None):
        return ConfigurationLoop(
            create_follower(name, "hall"),
            OwnStore(),
            peers or FewPeers(),
            manual_clock(time),
            random.Random(name),
            (sent if sent is not None else []).extend,
            lambda: frozenset({name}),
        )

    return make
