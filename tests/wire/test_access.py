"""Messages without a valid, fresh seal are refused with their reason."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.wire.http_auth import RequestParts, sign_request, verify_request
from azurefold.wire.replay import REPLAY_WINDOW
from azurefold.wire.seal import (
    Opened,
    Reason,
    Rejected,
    ReplayGuard,
    Sealer,
    key_ring,
    open_sealed,
    seal,
)

OLD, NEW = (1, b"o" * 16), (2, b"n" * 16)
RING = key_ring([OLD])
NOW = 1_800_000_000_000


@pytest.fixture
def sealer():
    return Sealer("agent-1", incarnation=7)


@pytest.fixture
def guard():
    return ReplayGuard()


def test_opens_what_was_sealed(sealer, guard):
    sealed = seal(b"payload", RING, sealer)
    assert open_sealed(sealed, RING, guard) == Opened("agent-1", 7, 1, b"payload")


def test_refuses_a_forged_key(sealer, guard):
    forged = seal(b"x", key_ring([(1, b"f" * 16)]), sealer)
    assert open_sealed(forged, RING, guard) == Rejected(Reason.BAD_MAC)
    unknown = seal(b"x", key_ring([NEW]), sealer)
    assert open_sealed(unknown, RING, guard) == Rejected(Reason.UNKNOWN_KEY)


def test_refuses_a_seal_for_another_audience_or_purpose(sealer, guard):
    sealed = seal(b"x", RING, sealer, audience="10.0.0.1:1")
    other = open_sealed(sealed, RING, guard, audience="10.0.0.2:1")
    assert other == Rejected(Reason.BAD_MAC)
    purpose = open_sealed(sealed, RING, guard, purpose="http", audience="10.0.0.1:1")
    assert purpose == Rejected(Reason.BAD_MAC)


def test_drops_a_replay_but_not_a_late_datagram(sealer, guard):
    early, late = (seal(b"x", RING, sealer) for _ in range(2))
    assert isinstance(open_sealed(late, RING, guard), Opened)
    assert isinstance(open_sealed(early, RING, guard), Opened)
    assert open_sealed(early, RING, guard) == Rejected(Reason.REPLAYED)
    assert open_sealed(late, RING, guard) == Rejected(Reason.REPLAYED)


def test_refuses_a_former_incarnation_once_a_newer_is_known(sealer, guard):
    """A process that was paused wakes after its successor has started.

    Symptom: orders of the old one undo those of the new one. Sequence: pause,
    successor starts and sends, the old one resumes. Cause: equal names.
    """
    successor = Sealer("agent-1", incarnation=8)
    assert isinstance(open_sealed(seal(b"a", RING, sealer), RING, guard), Opened)
    assert isinstance(open_sealed(seal(b"b", RING, successor), RING, guard), Opened)
    stale = open_sealed(seal(b"c", RING, sealer), RING, guard)
    assert stale == Rejected(Reason.STALE_INCARNATION)


def test_keys_roll_over_without_a_gap(sealer, guard):
    """Each process may be one step of the rollover ahead of any other."""
    steps = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]
    rings = [key_ring(step) for step in steps]
    for here, there in zip(rings, rings[1:], strict=False):
        for signer, verifier in ((here, there), (there, here)):
            opened = open_sealed(seal(b"x", signer, sealer), verifier, guard)
            assert isinstance(opened, Opened)
    gone = open_sealed(seal(b"x", rings[0], sealer), rings[3], guard)
    assert gone == Rejected(Reason.UNKNOWN_KEY)


def test_reports_all_faulty_keys_together():
    with pytest.raises(ExceptionGroup) as caught:
        key_ring([(1, b"short"), (1, b"brief")])
    assert len(caught.value.exceptions) == 3


@given(st.binary(max_size=200))
def test_any_bytes_are_refused_without_an_exception(data):
    assert isinstance(open_sealed(data, RING, ReplayGuard()), Rejected)


@given(st.integers(0, 79), st.integers(1, 255))
def test_any_changed_byte_is_refused(place, flip):
    sealed = bytearray(seal(b"p" * 80, RING, Sealer("agent-1", 7)))
    sealed[place] ^= flip
    assert isinstance(open_sealed(bytes(sealed), RING, ReplayGuard()), Rejected)


@given(st.lists(st.integers(1, 3 * REPLAY_WINDOW), max_size=200))
def test_no_counter_passes_twice(counters):
    guard = ReplayGuard()
    passed = [c for c in counters if guard.check("agent-1", 7, c) is None]
    assert len(passed) == len(set(passed))


def test_a_burst_of_requests_that_overtake_one_another_passes():
    """Hundreds of streams are begun at once through one entry.

    Symptom: 42 of 200 are refused as replayed although all agents are free.
    Sequence: each request takes its counter, then waits for its connection;
    the last ones overtake the first. Cause: a window smaller than the burst.
    """
    guard = ReplayGuard()
    burst = range(1_000, 0, -1)
    assert all(guard.check("entry-1", 7, counter) is None for counter in burst)


def test_the_guard_stays_within_its_bound():
    guard = ReplayGuard(max_senders=2)
    for name in ("a", "b", "c"):
        guard.check(name, 1, 1)
    assert guard.check("c", 1, 1) is Reason.REPLAYED
    assert guard.check("b", 1, 1) is Reason.REPLAYED


PARTS = RequestParts("POST", "/orders?x=1", b"body", recipient="agent-9")


def test_verifies_a_signed_request(sealer, guard):
    value = sign_request(PARTS, RING, sealer, NOW)
    assert isinstance(verify_request(value, PARTS, RING, guard, NOW), Opened)
    assert verify_request(value, PARTS, RING, guard, NOW) == Rejected(Reason.REPLAYED)


@pytest.mark.parametrize(
    "changed",
    [
        RequestParts("PUT", "/orders?x=1", b"body", "agent-9"),
        RequestParts("POST", "/orders?x=2", b"body", "agent-9"),
        RequestParts("POST", "/orders?x=1", b"ydob", "agent-9"),
        RequestParts("POST", "/orders?x=1", b"body", "agent-8"),
    ],
)
def test_refuses_a_header_moved_to_another_request(sealer, guard, changed):
    value = sign_request(PARTS, RING, sealer, NOW)
    refused = verify_request(value, changed, RING, guard, NOW)
    assert refused == Rejected(Reason.BAD_MAC)
    assert isinstance(verify_request(value, PARTS, RING, guard, NOW), Opened)


@pytest.mark.parametrize("away", [-30_001, 30_001])
def test_refuses_a_request_signed_too_long_ago_or_ahead(sealer, away):
    """An order recorded before a restart is sent again after it.

    Symptom: a drain carried out twice. Sequence: order, restart of the
    receiver, replay. Cause: the guard's windows died with the process.
    """
    value = sign_request(PARTS, RING, sealer, NOW)
    refused = verify_request(value, PARTS, RING, ReplayGuard(), NOW + away)
    assert refused == Rejected(Reason.EXPIRED)


@given(st.one_of(st.none(), st.text(max_size=100)))
def test_any_header_is_refused_without_an_exception(value):
    refused = verify_request(value, PARTS, RING, ReplayGuard(), NOW)
    assert isinstance(refused, Rejected)


@given(st.text(st.characters(codec=None), max_size=20))
def test_any_path_is_refused_without_an_exception(path):
    value = sign_request(PARTS, RING, Sealer("agent-1", 7), NOW)
    parts = RequestParts("POST", path)
    refused = verify_request(value, parts, RING, ReplayGuard(), NOW)
    assert refused == Rejected(Reason.BAD_MAC)
