"""Accepting an edit through the stand-in, with lost answers and rivals."""

import itertools

import gevent
import pytest

from azurefold.core.configuration.acceptance import (
    Acceptance,
    AcceptanceUnknown,
    Accepted,
    NotAccepted,
    Submit,
    WriteConflict,
    WriteSucceeded,
)
from azurefold.core.configuration.head import NO_HEAD, build_next_head
from azurefold.core.configuration.messages import PollFailed
from azurefold.core.configuration.sections import content_hash
from azurefold.site_store.client import platform_client
from azurefold.site_store.configuration_store import configuration_store

CONTENT = b'{"kind":"plain"}'
SECTIONS = {"service/a": content_hash(CONTENT)}
CHANGED = "the base has changed meanwhile"
MINE = build_next_head(NO_HEAD, "mine", SECTIONS)
RIVAL = build_next_head(NO_HEAD, "rival", SECTIONS)


@pytest.fixture
def store(client):
    return configuration_store(client)


def accept(store, head, version, tries=10):
    acceptance = Acceptance(head, deadline=tries * 200)
    step = acceptance.start()
    for now in itertools.count(0, 200):
        if not isinstance(step, Submit):
            return step
        step = acceptance.handle(store.submit(step.head, version), now)
    return None


def test_accepted_head_can_be_read_with_its_contents(store):
    assert store.poll().head_id is None
    store.put_contents([CONTENT])
    assert store.submit(MINE, None) == WriteSucceeded()
    base = store.read_base()
    assert base.head == MINE
    assert store.poll().head_id == MINE.head_id
    assert store.poll().row_version == base.version
    assert store.read_sections(MINE) == {"service/a": CONTENT}


def test_rival_is_named(store):
    store.submit(RIVAL, None)
    assert store.submit(MINE, None) == WriteConflict(RIVAL.head_id, "rival")


def test_lost_answer_of_an_edit_that_took_effect_is_accepted(store, order):
    order("PUT", "/faults", b'{"mode": "lose_answers", "count": 1}')
    assert accept(store, MINE, None) == Accepted(MINE.head_id)


def test_lost_answer_and_then_another_edit_upon_it_is_still_accepted(store, order):
    """Symptom: an operator repeats an edit that is in force already.

    Sequence: the answer is lost, a colleague edits upon it, the repeat meets
    a revision that is two higher. Cause: only the edit's own row tells.
    """
    order("PUT", "/faults", b'{"mode": "lose_answers", "count": 1}')
    store.submit(MINE, None)
    store.submit(build_next_head(MINE, "later", SECTIONS), store.read_base().version)
    assert accept(store, MINE, None) == Accepted(MINE.head_id)


def test_lost_answers_without_end_are_read_back(store, order):
    order("PUT", "/faults", b'{"mode": "lose_answers"}')
    assert accept(store, MINE, None) == Accepted(MINE.head_id)
    assert accept(store, RIVAL, None) == NotAccepted(CHANGED, MINE.head_id)


def test_lost_answer_of_an_edit_that_came_too_late_is_not_accepted(store, order):
    store.submit(RIVAL, None)
    order("PUT", "/faults", b'{"mode": "lose_answers"}')
    assert accept(store, MINE, None) == NotAccepted(CHANGED, RIVAL.head_id)


def test_slow_platform_leaves_an_edit_unknown_until_it_lands(address, store, order):
    """Symptom: an edit reported as failed is in force a moment later.

    Sequence: the platform is slow, no try is answered in time, the operator's
    patience ends, the first write lands. Cause: a timeout proves nothing.
    """
    hasty = configuration_store(platform_client(address, 20))
    order("PUT", "/faults", b'{"mode": "slow", "latency_ms": 200}')
    assert accept(hasty, MINE, None, tries=3) == AcceptanceUnknown(MINE.head_id)
    order("PUT", "/faults", b'{"mode": "ok"}')
    with gevent.Timeout(5):
        while store.edit_of(MINE.revision) != "mine":
            gevent.sleep(0.01)


def test_platform_that_is_down_is_not_accepted(store, order):
    order("PUT", "/faults", b'{"mode": "down"}')
    assert isinstance(accept(store, MINE, None), NotAccepted)
    assert store.poll() == PollFailed()


def test_written_back_over_a_restored_copy(store, order):
    store.submit(MINE, None)
    order("POST", "/snapshot")
    later = build_next_head(MINE, "later", SECTIONS)
    store.submit(later, store.read_base().version)
    order("POST", "/restore")
    seen = store.poll()
    assert seen.head_id == MINE.head_id
    assert store.write_back(later, {"service/a": CONTENT}, seen.row_version)
    assert store.read_base().head == later
    assert store.edit_of(later.revision) == "later"
    assert not store.write_back(later, {"service/a": CONTENT}, seen.row_version)
