"""Odd headers, orders, events and replies are refused where they come in."""

from types import SimpleNamespace

import falcon
import msgspec
import pytest
from falcon import testing
from hypothesis import given, settings
from tests.odd_json import DIGITS, NESTED, odd_texts

from azurefold.agent.endpoint import StreamBrokeError, parse_event
from azurefold.agent.expert_maps_engine import EngineFailedError, RankEngine
from azurefold.agent.http_api import attempt_routes
from azurefold.agent.leaving import leave_route
from azurefold.agent.runner import NotStarted
from azurefold.core.groups.engine import ReadState
from azurefold.wire.attempts import HEADER_DEADLINE, HEADER_PRIORITY
from azurefold.wire.orders import PATH_LEAVE

EVENT = {"offset": 0, "text": "a", "done": False, "total": 3}
STATE = {
    "incarnation": 1,
    "next_step": 2,
    "plan": [{"from_step": 0, "map_id": "m", "number": 1}],
    "hold": None,
    "hold_number": 0,
    "staged": ["m"],
}
REPLY = {"accepted": True, "state": STATE}
REPORT = {"map_id": "m", "layers": [], "tokens": [[1]], "work": 1.0, "busy_us": 5}


class ReadBody:
    """Reads bodies as the check of signatures does."""

    def process_request(self, req, resp):
        req.context.body = req.bounded_stream.read()


@pytest.fixture
def dispatched():
    return []


@pytest.fixture
def client(dispatched):
    """An agent's interface, without the check of signatures."""

    def dispatch(call, **details):
        dispatched.append((call.priority, details["remaining_ms"]))
        return NotStarted("leaving")

    ledger = SimpleNamespace(is_leaving=False, running_count=0)
    runner = SimpleNamespace(dispatch=dispatch, ledger=ledger)
    app = falcon.App(middleware=[ReadBody()])
    attempt_routes(app, runner)
    leave_route(app, SimpleNamespace(incarnation=1), runner, None)
    return testing.TestClient(app)


@pytest.mark.parametrize("text", ["--5", "9" * 300, "9" * DIGITS, "x", "-", "1e999"])
def test_an_odd_number_in_a_header_counts_as_none(client, dispatched, text):
    """Guards against an answer 500 of an agent, which says nothing of what ran."""
    headers = {HEADER_PRIORITY: text, HEADER_DEADLINE: text}
    assert client.simulate_post("/attempts/a1", headers=headers).status_code == 409
    assert dispatched == [(0, 0)]


@pytest.mark.parametrize(
    "body", ["", "{}", NESTED, f'{{"incarnation":1,"later":{NESTED}}}', "9" * DIGITS]
)
def test_an_odd_order_to_leave_is_refused(client, body):
    assert client.simulate_post(PATH_LEAVE, body=body).status_code == 400


@settings(max_examples=200, deadline=None)
@given(odd_texts(EVENT))
def test_an_odd_event_is_refused_or_of_use(text):
    """Guards against an event after which an attempt runs for ever, as it seems."""
    try:
        event = parse_event(text.encode())
    except StreamBrokeError:
        return
    assert 0 <= event.offset <= 2**53
    assert 0 <= event.total <= 2**53


class Engine:
    """Answers each request with the same bytes."""

    def __init__(self, body):
        self._body = body

    def request(self, method, path, body):
        return SimpleNamespace(status_code=200, read=lambda: self._body)


@settings(max_examples=200, deadline=None)
@given(odd_texts(REPLY), odd_texts(REPORT))
def test_an_engines_odd_reply_counts_as_none_or_is_of_use(reply, report):
    """Guards against a reply that ends the loop which asks the engine."""
    for ask, text in (
        (lambda engine: engine.give(ReadState()), reply),
        (lambda engine: engine.experts(), report),
    ):
        try:
            answer = ask(RankEngine(Engine(text.encode())))
        except EngineFailedError:
            continue
        msgspec.msgpack.encode(answer)
