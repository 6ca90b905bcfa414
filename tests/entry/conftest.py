"""Stand-ins at the entry's interfaces: a clock, a pool and scripted agents."""

from dataclasses import dataclass, field

import pytest

from azurefold.core.admission.messages import Priority
from azurefold.core.attempts.request_state import AttemptStatus
from azurefold.core.clock import Clock
from azurefold.entry.admission import new_admission
from azurefold.entry.agent_messages import AgentAddress, NotTaken, Opened
from azurefold.entry.lines import LostError
from azurefold.entry.relay import Relay
from azurefold.entry.requests import CallerRequest

INCARNATION = "7"


@dataclass
class ManualClock:
    """A clock that only tests move."""

    now: int = 1_000
    clock: Clock = field(init=False)
    pauses: int = 0

    def __post_init__(self):
        self.clock = Clock(read=lambda: self.now)

    def pause(self, milliseconds):
        """Let time pass."""
        self.now += milliseconds
        self.pauses += 1


@dataclass
class FakeAgents:
    """Agents that give what a script says.

    ``script`` holds for each connection a function of the attempt's id and
    the offset asked for, which yields lists of lines and may raise.
    """

    script: list = field(default_factory=list)
    states: list = field(default_factory=list)
    dispatched: list = field(default_factory=list)
    resumed: list = field(default_factory=list)
    closed: int = 0

    def dispatch(self, agent, call):
        """Take the next connection of the script."""
        self.dispatched.append(call.attempt_id)
        return self._connect(call.attempt_id, 0)

    def resume(self, agent, attempt_id, organisation, offset):
        """Take the next connection of the script."""
        self.resumed.append(offset)
        return self._connect(attempt_id, offset)

    def settle(self, agent, attempt_id, organisation):
        """Answer from ``states``, at last always that it is done."""
        return self.states.pop(0) if self.states else AttemptStatus.DONE

    def _connect(self, attempt_id, offset):
        if not self.script:
            raise LostError("no connection is left")
        lines = self.script.pop(0)
        if isinstance(lines, str):
            return NotTaken(lines)
        return Opened(lines(attempt_id, offset), 1, self._close)

    def _close(self):
        self.closed += 1


@dataclass
class Counts:
    """Keeps what a relay counts."""

    drops: list = field(default_factory=list)
    losses: int = 0
    states: list = field(default_factory=list)

    def dropped(self, reason):
        """Keep a reason."""
        self.drops.append(str(reason))

    def lost(self, service):
        """Count a connection."""
        self.losses += 1

    def settled(self, service, state):
        """Keep an agent's answer."""
        self.states.append(str(state))


def request(**changes):
    """Return a caller's request for a draft."""
    fields = {
        "organisation": "union",
        "service": "drafts",
        "path": "/v1/completions",
        "body": b"{}",
        "stream": True,
        "priority": Priority.DRAFT,
        "deadline": 60_000,
        "tokens": 10,
        "idempotent": True,
    }
    return CallerRequest(**(fields | changes))


@pytest.fixture
def time():
    """A clock at 1,000 ms."""
    return ManualClock()


@pytest.fixture
def agents():
    """Agents without a script."""
    return FakeAgents()


def make_relay(agents, time, asked=None, **more):
    """Return a relay over two endpoints."""
    admission = new_admission(time.clock, seed=1)
    admission.pool.set_endpoints(["a", "b"], time.now)
    return Relay(
        request=asked or request(),
        admission=admission,
        agents=agents,
        locate=lambda name: AgentAddress(name, INCARNATION, f"{name}:1"),
        clock=time.clock,
        wall=time.clock,
        observer=more.pop("observer", Counts()),
        pause=time.pause,
        **more,
    )
