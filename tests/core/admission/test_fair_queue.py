"""Tests of shares, bounds, displacement and refusals of the fair queue."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.admission.messages import Priority, Queued, RefusalReason, Refused
from azurefold.core.admission.queue import FairQueue, QueuePolicy

LARGE_QUEUE = QueuePolicy(max_length=5_000, max_per_organisation=2_000)


def offer_items(
    queue, make_item, organisation, count, priority=Priority.DRAFT, tokens=100
):
    for _ in range(count):
        item = make_item(organisation, priority, tokens=tokens)
        assert queue.offer(item, 0) == Queued()


def take_and_sum_tokens(queue, field, take_count):
    taken = Counter()
    for _ in range(take_count):
        item = queue.take(0)
        taken[getattr(item, field)] += item.tokens
    return taken


def measure_draft_share(queue, make_item):
    offer_items(queue, make_item, "a", 1_000, Priority.CONFIRMATION)
    offer_items(queue, make_item, "a", 1_000, Priority.DRAFT)
    taken = take_and_sum_tokens(queue, "priority", 800)
    return taken[Priority.DRAFT] / taken.total()


def test_drafts_get_exactly_minimum_share(make_item):
    """Guards against starvation of drafts, which then all expire in the queue.

    This happens with strict priority, as in the mutant without a minimum share, when
    confirmations arrive as fast as they are served.
    """
    assert measure_draft_share(FairQueue(LARGE_QUEUE), make_item) == pytest.approx(
        0.1, abs=0.01
    )
    strict_priority = QueuePolicy(
        max_length=5_000, max_per_organisation=2_000, min_draft_share=0.0
    )
    with pytest.raises(AssertionError):
        assert measure_draft_share(FairQueue(strict_priority), make_item) > 0.05


def test_draft_credit_does_not_grow_without_drafts(make_item):
    queue = FairQueue(LARGE_QUEUE)
    offer_items(queue, make_item, "a", 300, Priority.CONFIRMATION)
    take_and_sum_tokens(queue, "priority", 200)
    offer_items(queue, make_item, "a", 100, Priority.DRAFT)
    assert take_and_sum_tokens(queue, "priority", 5)[Priority.DRAFT] == 0


def test_flooding_organisation_gets_equal_share(make_item):
    queue = FairQueue(LARGE_QUEUE)
    offer_items(queue, make_item, "large", 1_500)
    for organisation in ("b", "c", "d"):
        offer_items(queue, make_item, organisation, 100)
    taken = take_and_sum_tokens(queue, "organisation", 200)
    assert all(taken[name] >= 4_500 for name in ("large", "b", "c", "d"))


@given(sizes=st.lists(st.integers(50, 4_000), min_size=2, max_size=6))
def test_token_shares_do_not_depend_on_request_size(make_item, sizes):
    queue = FairQueue(LARGE_QUEUE)
    largest = max(sizes)
    for number, size in enumerate(sizes):
        offer_items(queue, make_item, str(number), 4 * largest // size + 5, tokens=size)
    taken = Counter()
    while min(taken[str(n)] for n in range(len(sizes))) < 3 * largest:
        item = queue.take(0)
        taken[item.organisation] += item.tokens
        spread = max(taken.values()) - min(taken[str(n)] for n in range(len(sizes)))
        # Bound of deficit round robin: one quantum and one item in each direction.
        assert spread <= 2 * (512 + largest)


def test_queue_limits_items_per_organisation(make_item):
    queue = FairQueue(QueuePolicy(max_per_organisation=10))
    offer_items(queue, make_item, "large", 10)
    refused = queue.offer(make_item("large"), 0)
    assert refused.reason is RefusalReason.ORGANISATION_FULL
    assert queue.offer(make_item("small"), 0) == Queued()


def test_confirmation_displaces_draft_from_full_queue(make_item):
    queue = FairQueue(QueuePolicy(max_length=10))
    offer_items(queue, make_item, "large", 7)
    offer_items(queue, make_item, "small", 3)
    result = queue.offer(make_item("small", Priority.CONFIRMATION), 0)
    (refused_item,) = result.displaced
    assert refused_item.item.organisation == "large"
    assert refused_item.refused.reason is RefusalReason.DISPLACED
    assert len(queue) == 10


def test_draft_does_not_displace_confirmation(make_item):
    queue = FairQueue(QueuePolicy(max_length=10))
    offer_items(queue, make_item, "large", 10, Priority.CONFIRMATION)
    refused = queue.offer(make_item("small"), 0)
    assert refused.reason is RefusalReason.QUEUE_FULL


def test_duplicate_id_is_rejected(make_item):
    queue = FairQueue()
    item = make_item()
    queue.offer(item, 0)
    with pytest.raises(ValueError, match="is already queued"):
        queue.offer(item, 0)


def drain_at_constant_rate(queue, make_item, until, priority=Priority.DRAFT):
    """Offer a backlog, then take 100 tokens every 100 ms; 20 requests remain."""
    offer_items(queue, make_item, "a", 20 + until // 100, priority)
    for now in range(100, until + 1, 100):
        queue.take(now)


def test_request_that_cannot_meet_deadline_is_refused_at_once(make_item):
    queue = FairQueue(LARGE_QUEUE)
    drain_at_constant_rate(queue, make_item, 5_000)
    late_deadline = make_item(deadline=5_000 + 4_000)
    early_deadline = make_item(deadline=5_000 + 1_000)
    refused = queue.offer(early_deadline, 5_000)
    assert refused.reason is RefusalReason.DEADLINE
    # Twenty requests wait, and ten are taken per second.
    assert 1_900 <= refused.retry_after_ms <= 4_000
    assert queue.offer(late_deadline, 5_000) == Queued()


def test_stalled_queue_refuses_requests(make_item):
    """Guards against queueing requests while no request is taken.

    If the drain rate is updated only when a request is taken, it keeps its old value
    when all endpoints hang, and new requests are queued as before.
    """
    queue = FairQueue(LARGE_QUEUE)
    drain_at_constant_rate(queue, make_item, 5_000)
    assert queue.offer(make_item(deadline=9_000), 5_000) == Queued()
    refused = queue.offer(make_item(deadline=44_000), 40_000)
    assert isinstance(refused, Refused)


def test_retry_after_is_spread(make_item):
    """Guards against a synchronised retry of all refused callers.

    Without jitter, requests refused at the same time all get the same retry delay,
    as equal jitter values show.
    """

    def collect_retry_delays(jitter_of):
        queue = FairQueue(QueuePolicy(max_per_organisation=1))
        offer_items(queue, make_item, "a", 1)
        items = [make_item(jitter=jitter_of(number)) for number in range(100)]
        return {queue.offer(item, 0).retry_after_ms for item in items}

    assert len(collect_retry_delays(lambda number: number / 100)) > 50
    assert len(collect_retry_delays(lambda number: 0.5)) == 1
