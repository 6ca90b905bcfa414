"""Prompts with a part that crashes endpoints are refused by all gateways."""

import logging

import pytest
from tests.gateway.crash_world import STABLE_MS, CrashSite, install
from tests.gateway.row_store import RowStore

from azurefold.core.attempts.crashes import (
    CRASHES_ENDPOINTS,
    CrashReport,
    Quarantine,
)
from azurefold.core.attempts.crashing_parts import PartPolicy
from azurefold.core.attempts.outcome import RunStatus
from azurefold.core.attempts.part_trials import TrialPolicy
from azurefold.entry.admission import Admission
from azurefold.gateway.callers.calls import Begun
from azurefold.gateway.endpoints import attempt
from azurefold.gateway.endpoints.crash_check import CrashCheck
from azurefold.gateway.peers.portions import PartPortions
from azurefold.platform import names
from azurefold.platform.store_messages import RowKey, RowWrite

POLICY = PartPolicy()
MAX_SENDS_AFTER_FIFTH_CRASH = 3
REFUSED_WITHIN_MS = 1_000
DEADLY = 0xBAD
CALLERS_PART, OTHER_PART = 0xCA11, 0x0DD


@pytest.fixture(autouse=True)
def quiet(caplog):
    """Suppress the many log lines of the simulation."""
    caplog.set_level(logging.CRITICAL)


@pytest.fixture
def site_of(monkeypatch):
    """Return a site whose endpoints crash under one part of prompts."""

    def make(gateways, endpoints=16, **fields):
        site = install(monkeypatch, CrashSite(gateways, endpoints, **fields))
        site.crashing_parts.add(DEADLY)
        return site

    return make


def send_deadly(site, times, parts=(DEADLY,), pause_ms=4_000):
    """Send prompts with the crashing part, no two alike, each to the next gateway."""
    names = list(site.by_name)
    for turn in range(times):
        site.send(names[turn % len(names)], b"prompt %d" % turn, parts)
        site.run(pause_ms)


PLACES = {
    "first": (DEADLY, CALLERS_PART, OTHER_PART),
    "middle": (CALLERS_PART, DEADLY, OTHER_PART),
    "last shared": (CALLERS_PART, OTHER_PART, DEADLY),
}


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("gateways", [1, 6, 36])
def test_prompts_with_a_part_that_crashes_endpoints_end(site_of, gateways, place):
    """Guards against prompts that share a part and crash one endpoint after another."""
    site = site_of(gateways)
    send_deadly(site, 12, PLACES[place])
    assert site.sent_after_fifth_crash(DEADLY) <= MAX_SENDS_AFTER_FIFTH_CRASH


def test_gateways_that_all_start_again_know_the_part(site_of):
    """Guards against three more crashes after each power cut of all gateways."""
    site = site_of(6)
    send_deadly(site, 6)
    assert len(site.part_crashes) == 3
    for _ in range(3):
        for name in site.by_name:
            site.restart(name)
        site.run(2 * STABLE_MS)
        send_deadly(site, 6)
    assert len(site.part_crashes) == 3


def test_a_gateway_that_joins_late_knows_the_part(site_of):
    site = site_of(6)
    send_deadly(site, 6)
    site.rows = RowStore()
    site.restart("gw-003")
    site.run(STABLE_MS)
    site.send("gw-003", b"prompt", (DEADLY,))
    assert len(site.part_crashes) == 3


def test_a_part_that_is_sound_again_is_served_and_its_record_removed(site_of):
    """Guards against a part that stays refused after a release that mends it."""
    site = site_of(3)
    send_deadly(site, 4)
    assert site.rows.read_table(names.CRASHING_PARTS).rows
    site.crashing_parts.clear()
    site.run(TrialPolicy().interval)
    for gateway in site.by_name.values():
        # The quarantine is over.
        for suspect in gateway.state.crashing_parts._suspects.values():
            for mark in suspect.crashes:
                suspect.crashes[mark] -= POLICY.durations[0]
        gateway.state.crashing_parts._groups = None
    for name in site.by_name:
        site.send(name, b"prompt", (DEADLY,))
    site.run(1_000)
    for name in site.by_name:
        assert isinstance(site.send(name, b"prompt", (DEADLY,)), Begun)
    assert not site.rows.read_table(names.CRASHING_PARTS).rows


def test_an_unreadable_record_is_left_out(site_of, caplog):
    site = site_of(1)
    send_deadly(site, 4)
    rows = site.rows
    rows.transact(writes=[RowWrite(RowKey(names.CRASHING_PARTS, "no part"), b"x")])
    with caplog.at_level(logging.ERROR, "azurefold.gateway"):
        site.restart("gw-000")
    assert "part_record_unreadable" in caplog.text
    assert site.by_name["gw-000"].state.crashing_parts.size == 1


def test_a_queued_prompt_is_checked_again_before_it_is_sent(site_of, monkeypatch):
    """Guards against sending a prompt whose part was found while it was queued."""
    site = site_of(1)
    acquire = Admission.acquire

    def acquire_after_crashes(self, ticket):
        monkeypatch.setattr(Admission, "acquire", acquire)
        send_deadly(site, 4)
        return acquire(self, ticket)

    monkeypatch.setattr(Admission, "acquire", acquire_after_crashes)
    refusal = site.send("gw-000", b"queued", (DEADLY,))
    assert refusal.failure.reason == CRASHES_ENDPOINTS
    assert refusal.failure.ran is RunStatus.NOT_RUN
    assert len(site.part_crashes) == POLICY.crash_threshold


def test_a_prompt_that_is_not_checked_after_its_wait_is_detected(site_of, monkeypatch):
    monkeypatch.setattr(attempt, "restriction_on", lambda call, state: None)
    monkeypatch.setattr(attempt, "take_trial", lambda call, state: None)
    with pytest.raises(AssertionError):
        test_a_queued_prompt_is_checked_again_before_it_is_sent(site_of, monkeypatch)


def test_a_planned_end_of_an_endpoint_makes_no_suspects(site_of, monkeypatch):
    """Guards against refusing popular parts because endpoints are replaced."""
    site = site_of(2)
    monkeypatch.setattr(CrashCheck, "_is_planned", True)
    send_deadly(site, 4)
    assert site.by_name["gw-000"].state.crashing_parts.size == 0


def test_reports_that_are_not_urgent_are_sent_now_and_then():
    """Guards against suspects that fill each message for weeks."""
    portions = PartPortions()
    portions.update({part: CrashReport({1: 0}) for part in range(200)}, urgent=())
    messages = [portions.next(now, is_counted=True) for now in range(0, 10_000, 60)]
    assert sum(bool(beats) for beats in messages) <= 10_000 / 500 + 1
    assert {beat.identity for beats in messages for beat in beats} >= set(range(50))


@pytest.mark.parametrize("gateways", [1, 6, 36, 98, 390])
def test_all_gateways_refuse_soon_after_the_deciding_crash(site_of, gateways):
    """Guards against gateways of other cells that go on sending such prompts."""
    site = site_of(gateways, endpoints=max(16, 2 * gateways), loss=0.3)
    names = list(site.by_name)
    while len(site.part_crashes) < POLICY.crash_threshold:
        number = len(site.part_crashes)
        site.send(names[7 * number % gateways], b"prompt %d" % number, (DEADLY,))
        if len(site.part_crashes) < POLICY.crash_threshold:
            site.run(POLICY.separation)
    site.run(REFUSED_WITHIN_MS)
    assert len(site.part_crashes) == POLICY.crash_threshold
    for gateway in site.by_name.values():
        verdict = gateway.state.crashing_parts.judge({DEADLY}, site.time.at)
        assert isinstance(verdict, Quarantine)
