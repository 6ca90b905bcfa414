"""Requests that crash endpoints are refused by all gateways."""

import logging
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from tests.gateway.crash_world import (
    RESTART_MS,
    SERVICE,
    STABLE_MS,
    CrashSite,
    finish,
    install,
)
from tests.gateway.test_endpoints_that_refuse_everything import closing
from tests.gateway.test_relays_answer_truthfully import relay_of

from azurefold.core.attempts.crashes import CRASHES_ENDPOINTS
from azurefold.core.attempts.outcome import RunStatus
from azurefold.core.routes.model import AnswerKind
from azurefold.entry.admission import Admission
from azurefold.gateway.callers.calls import Begun
from azurefold.gateway.callers.relay import Relay

MAX_SENDS_AFTER_THIRD_CRASH = 3
CRASHING = b"crashing"


@pytest.fixture(autouse=True)
def quiet(caplog):
    """Suppress the many log lines of the simulation."""
    caplog.set_level(logging.CRITICAL)


def site_of(monkeypatch, gateways, endpoints=16, **fields):
    site = install(monkeypatch, CrashSite(gateways, endpoints, **fields))
    site.crashing.add(CRASHING)
    return site


def repeat(site, times, pause_ms=4_000):
    """Repeat the crashing request, each time at the next gateway."""
    names = list(site.by_name)
    for turn in range(times):
        site.send(names[turn % len(names)], CRASHING)
        site.run(pause_ms)


@pytest.mark.parametrize("gateways", [1, 6, 9])
def test_repeats_of_a_request_that_crashes_endpoints_end(monkeypatch, gateways):
    """Guards against repeats that crash one endpoint after another."""
    site = site_of(monkeypatch, gateways)
    repeat(site, 8)
    assert site.sent_after_third_crash(CRASHING) <= MAX_SENDS_AFTER_THIRD_CRASH


def test_a_request_is_refused_after_two_crashes(monkeypatch):
    """Guards against a third crash within the same call or at another gateway."""
    site = site_of(monkeypatch, 6)
    first = site.send("gw-000", CRASHING)
    assert len(site.crashes) == 2
    # The request was sent, so it may have run.
    assert (first.status, first.failure.ran) == (502, RunStatus.UNKNOWN)
    site.run(RESTART_MS)
    for name in site.by_name:
        refusal = site.send(name, CRASHING)
        assert (refusal.status, refusal.failure.reason) == (503, CRASHES_ENDPOINTS)
        assert refusal.failure.retry_after_ms is None
    assert len(site.crashes) == 2


def test_other_requests_of_the_same_caller_are_served(monkeypatch):
    """Guards against an identity that does not distinguish requests."""
    site = site_of(monkeypatch, 3)
    repeat(site, 3)
    for name in site.by_name:
        assert isinstance(site.send(name, b"harmless"), Begun)


def test_crashes_at_different_gateways_are_added(monkeypatch):
    """Guards against gateways that count only their own crashes."""
    site = site_of(monkeypatch, 2)
    for name in site.by_name:
        site.by_name[name].state.set_nodes(2)
        monkeypatch.setattr(Relay, "_may_retry", lambda self: False)
        site.send(name, CRASHING)
        site.run(1_000)
    refusal = site.send("gw-000", CRASHING)
    assert refusal.failure.reason == CRASHES_ENDPOINTS


def test_a_restarted_gateway_learns_of_quarantines(monkeypatch):
    site = site_of(monkeypatch, 6)
    repeat(site, 1)
    for name in site.by_name:
        site.restart(name)
        site.run(2 * STABLE_MS)
        assert site.send(name, CRASHING).failure.reason == CRASHES_ENDPOINTS


def test_lost_and_late_messages_are_tolerated(monkeypatch):
    site = site_of(monkeypatch, 9, loss=0.3, delay_ms=(1, 900))
    repeat(site, 12, pause_ms=1_000)
    assert site.sent_after_third_crash(CRASHING) <= MAX_SENDS_AFTER_THIRD_CRASH


@pytest.mark.parametrize("gateways", [31, 98])
def test_crashes_are_reported_to_other_cells(monkeypatch, gateways):
    """Guards against reporting a crash only within the cell of its gateway."""
    site = site_of(monkeypatch, gateways, endpoints=2 * gateways, loss=0.1)
    repeat(site, 2)
    for name, gateway in site.by_name.items():
        now = site.time.at
        identity = next(iter(gateway.state.crashes.build_reports()))
        assert gateway.state.crashes.get_quarantine(identity, now), name


def test_an_answered_request_is_not_refused_for_crashes_of_others(monkeypatch):
    """Guards against refusing a request that often runs beside crashing ones."""
    site = site_of(monkeypatch, 3)
    names = list(site.by_name)
    for turn in range(6):
        assert isinstance(site.send(names[turn % 3], b"popular"), Begun)
        begun = [site.open(name, b"popular") for name in names for _ in range(16)]
        site.crashing.add(b"crashing %d" % turn)
        site.send(names[turn % 3], b"crashing %d" % turn)
        for _, parts in begun:
            finish(parts)
        site.run(4_000)
    assert len(site.crashes) == 12
    for name in names:
        assert isinstance(site.send(name, b"popular"), Begun)


def test_a_planned_end_of_an_endpoint_is_not_a_crash(monkeypatch):
    """Guards against suspecting requests that a planned stop interrupts."""
    site = site_of(monkeypatch, 1)
    state = site.by_name["gw-000"].state
    begun = [site.open("gw-000", b"long") for _ in range(48)]
    for name in list(site.running)[:3]:
        leaving = replace(state.registry.entries[name], leaving=True)
        state.registry.put([leaving])
        state.spread_endpoints()
        site.crash(name)
    for _, parts in begun:
        finish(parts)
    assert state.crashes.size == 0


def test_a_refusal_by_an_endpoint_is_not_an_answer(state, endpoint_script):
    """Guards against clearing a request that the endpoint did not run."""
    answers, _ = endpoint_script
    relay = relay_of(state, AnswerKind.IDEMPOTENT, max_attempts=1)
    for name in relay.service.admission.pool.endpoints:
        answers[name] = lambda: closing(503, not_run=True)
    list(relay.run())
    for endpoint in (1, 2):
        state.crashes.record_crash(relay.call.identity, endpoint, state.clock.now())
    assert state.crashes.get_quarantine(relay.call.identity, state.clock.now())


def test_a_queued_request_is_checked_again_before_it_is_sent(monkeypatch):
    """Guards against sending a request that was quarantined while it was queued."""
    site = site_of(monkeypatch, 1)
    state = site.by_name["gw-000"].state
    acquire = Admission.acquire

    def acquire_after_crashes(self, ticket):
        site.send("gw-000", CRASHING)
        return acquire(self, ticket)

    with monkeypatch.context() as patch:
        patch.setattr(Admission, "acquire", _once(acquire_after_crashes, acquire))
        refusal = site.send("gw-000", CRASHING)
    assert refusal.failure.reason == CRASHES_ENDPOINTS
    assert refusal.failure.ran is RunStatus.NOT_RUN
    assert len(site.crashes) == 2
    assert not state.services[SERVICE].admission.pool.in_flight


def _once(first, then):
    """Return a method that calls ``first`` once and ``then`` afterwards."""
    methods = [first]

    def method(self, ticket):
        return (methods.pop() if methods else then)(self, ticket)

    return method


STEPS = st.one_of(
    st.tuples(st.just("repeat"), st.integers(0, 5), st.integers(0, 1)),
    st.tuples(st.just("popular"), st.integers(0, 5), st.integers(1, 12)),
    st.tuples(st.just("crash"), st.integers(0, 15), st.just(0)),
    st.tuples(st.just("wait"), st.integers(1, 40), st.just(0)),
    st.tuples(st.just("restart"), st.integers(0, 5), st.just(0)),
    st.tuples(st.just("cut"), st.integers(0, 5), st.integers(1, 5)),
)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(STEPS, min_size=10, max_size=50), st.sampled_from([0.0, 0.3]))
def test_repeats_end_despite_restarts_and_partitions(monkeypatch, steps, loss):
    """Guards against further crashes and against refusing harmless requests."""
    site = site_of(monkeypatch, 6, loss=loss)
    names = list(site.by_name)
    site.crashing |= {b"crashing 0", b"crashing 1"}
    begun = []
    for kind, first, second in steps:
        name = names[first % len(names)]
        match kind:
            case "repeat":
                site.send(name, b"crashing %d" % second)
            case "popular":
                site.send(name, b"popular")
                begun += [site.open(name, b"popular") for _ in range(second)]
            case "crash" if len(site.running) > 8:
                site.crash(list(site.running)[first % len(site.running)])
            case "wait":
                site.run(100 * first)
            case "restart":
                site.restart(name)
            case "cut":
                site.cut(name, 1_000 * second)
        for first_part, parts in begun[::2]:
            finish(parts)
            reason = getattr(getattr(first_part, "failure", None), "reason", "")
            assert reason != CRASHES_ENDPOINTS
        begun = begun[1::2]
    for body in (b"crashing 0", b"crashing 1"):
        assert site.sent_after_third_crash(body) <= MAX_SENDS_AFTER_THIRD_CRASH
