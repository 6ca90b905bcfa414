"""An endpoint that asks a gateway for a pause gets nothing from it meanwhile."""

from dataclasses import replace

import pytest
from tests.gateway.test_endpoints_that_refuse_everything import (
    closing,
    loads_are_told,
)
from tests.gateway.test_relays_answer_truthfully import (
    EVENT,
    TIMEOUT_MS,
    FakeReply,
    relay_of,
)

from azurefold.core.clock import Clock
from azurefold.core.routes.model import AnswerKind
from azurefold.gateway.callers.relay import Relay
from azurefold.gateway.endpoints import attempt as attempts
from azurefold.gateway.endpoints.connections import EndpointLinks, Link
from azurefold.platform.headers import read_answer

PAUSE_MS = 3_000
EXCUSED_MS = 500
MOST_MEANWHILE = 2
STEP_MS = 100


class Endpoints:
    """Endpoints by name that answer, or refuse and ask for a pause.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.busy: set[str] = set()
        self.asked_at: dict[str, int] = {}
        self.arrivals: list[tuple[str, int]] = []
        self.headers = [("Not-Executed", "1"), ("Retry-After", "3")]

    def sendall(self, data):
        head = data.partition(b"\r\n\r\n")[0].decode()
        [name] = [
            line.partition(": ")[2]
            for line in head.splitlines()
            if line.startswith("Expect-Instance")
        ]
        self.arrivals.append((name, self.clock.now()))

    def close(self):
        pass

    def reply(self, link, method):
        name, now = self.arrivals[-1]
        if name in self.busy:
            self.asked_at.setdefault(name, now)
            return FakeReply(read_answer(503, self.headers), [], may_reuse=False)
        return closing(200, [EVENT % 1], attempt_id="")

    def sent_meanwhile(self, name):
        """Return how many requests came while an endpoint wanted none."""
        since = self.asked_at[name]
        return sum(
            who == name and since + EXCUSED_MS <= at < since + PAUSE_MS
            for who, at in self.arrivals
        )


@pytest.fixture
def endpoints(state, monkeypatch):
    made = Endpoints(state.clock)
    monkeypatch.setattr(EndpointLinks, "take", lambda self, *a, **k: Link(made))
    monkeypatch.setattr(attempts, "read_reply", made.reply)
    return made


@pytest.fixture(params=[AnswerKind.STREAMING, AnswerKind.IDEMPOTENT])
def relay(request, state, endpoints):
    """Return a request to ranks of a group, or to plain endpoints."""
    resumable = request.param is AnswerKind.STREAMING
    return relay_of(state, request.param, max_attempts=3, resumable=resumable)


def ask(relay):
    """Send a request like ``relay`` and return the first part of its answer."""
    now = relay.state.clock.now()
    call = replace(relay.call, arrived=now, deadline=now + TIMEOUT_MS)
    return next(Relay(call, relay.state, relay.service).run())


def ask_for(relay, time, ms):
    """Send requests for some time, and return the first parts of their answers."""
    parts = []
    for _ in range(ms // STEP_MS):
        parts.append(ask(relay))
        loads_are_told(relay)
        relay.service.admission.tick()
        time.at += STEP_MS
    return parts


@pytest.mark.parametrize("busy", [1, 2, 3])
def test_an_endpoint_that_asks_for_a_pause_gets_one(relay, endpoints, time, busy):
    """Guards against requests that are sent to be refused once more."""
    endpoints.busy = {f"e{n}" for n in range(busy)}
    ask_for(relay, time, PAUSE_MS)
    for name in endpoints.busy:
        assert endpoints.sent_meanwhile(name) <= MOST_MEANWHILE, name
