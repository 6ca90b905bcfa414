"""Stand-ins at the gateway's interfaces: a store, a clock and a settings value."""

from dataclasses import dataclass, field, replace

import pytest

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.gateway.settings import GatewaySettings
from azurefold.gateway.state import new_gateway_state
from azurefold.platform.store_messages import Unavailable


@dataclass
class ScriptedFeed:
    """A feed that answers from its store's script."""

    store: "ScriptedStore"

    def changes(self, table, after, wait_ms):
        self.store.asked.append((after, wait_ms))
        self.store.while_waiting()
        return self.store.next_answer()

    def read_table(self, table):
        return self.store.read_table(table)

    def close(self):
        self.store.closed += 1


@dataclass
class ScriptedStore:
    """Gives the answers of a script; with none left it is away."""

    script: list = field(default_factory=list)
    asked: list = field(default_factory=list)
    written: list = field(default_factory=list)
    closed: int = 0
    while_waiting: object = staticmethod(lambda: None)

    def next_answer(self):
        return self.script.pop(0) if self.script else Unavailable("away")

    def read_table(self, table):
        self.asked.append(("all", table))
        return self.next_answer()

    def open_feed(self):
        return ScriptedFeed(self)

    def transact(self, expected=(), writes=(), removes=()):
        self.written.append((tuple(expected), tuple(writes), tuple(removes)))
        return self.next_answer()


@pytest.fixture
def store():
    return ScriptedStore()


@pytest.fixture
def time():
    return ManualTime(at=1_000)


def settings_of(**changes):
    """Return the settings of a gateway, with some of them changed."""
    settings = GatewaySettings(
        name="gateway-1",
        data_centre="dc-a",
        callers="127.0.0.1:0",
        admin="127.0.0.1:0",
        peers_port=0,
        store="127.0.0.1:1",
        stop_grace_ms=8_000,
        stall_ms=1_500,
        heartbeat_ms=1_200,
        retry_share=0.2,
        retry_slack=90,
        retry_window_ms=10_000,
        fenced_orders=False,
    )
    return replace(settings, **changes)


@pytest.fixture
def settings():
    return settings_of()


@pytest.fixture
def state(settings, time):
    """Return a gateway that has been up for a minute, alone."""
    now, time.at = time.at, time.at - 60_000
    state = new_gateway_state(settings, manual_clock(time))
    state.set_nodes(1)
    time.at = now
    return state


@pytest.fixture
def endpoint_script(monkeypatch):
    """Answers by endpoint, and the endpoints that were asked."""
    answers, asked = {}, []

    def run(attempt):
        asked.append(attempt.endpoint)
        attempt._link = None
        attempt._sent_at = attempt.state.clock.now()
        return (yield from attempt._answer(answers[attempt.endpoint]()))

    monkeypatch.setattr("azurefold.gateway.endpoints.attempt.Attempt.run", run)
    return answers, asked
