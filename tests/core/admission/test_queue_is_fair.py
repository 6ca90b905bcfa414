"""Classes and organisations get their share of the tokens."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.admission.messages import Priority, Queued, RefusalReason, Refused
from azurefold.core.admission.queue import FairQueue, QueuePolicy

ROOMY = QueuePolicy(max_length=5_000, max_per_organisation=2_000)


def fill(queue, make_item, organisation, count, priority=Priority.DRAFT, tokens=100):
    for _ in range(count):
        item = make_item(organisation, priority, tokens=tokens)
        assert queue.offer(item, 0) == Queued()


def tokens_by(queue, field, takes):
    taken = Counter()
    for _ in range(takes):
        item = queue.take(0)
        taken[getattr(item, field)] += item.tokens
    return taken


def draft_share(queue, make_item):
    fill(queue, make_item, "a", 1_000, Priority.CONFIRMATION)
    fill(queue, make_item, "a", 1_000, Priority.DRAFT)
    taken = tokens_by(queue, "priority", 800)
    return taken[Priority.DRAFT] / taken.total()


def test_drafts_keep_their_floor_and_no_more(make_item):
    """Drafts only ever expire.

    Sequence: confirmations arrive as fast as they are served. Cause: strict
    priority; the mutant has no floor.
    """
    assert draft_share(FairQueue(ROOMY), make_item) == pytest.approx(0.1, abs=0.01)
    strict = QueuePolicy(
        max_length=5_000, max_per_organisation=2_000, min_draft_share=0.0
    )
    with pytest.raises(AssertionError):
        assert draft_share(FairQueue(strict), make_item) > 0.05


def test_a_credit_is_not_saved_up_while_no_draft_waits(make_item):
    queue = FairQueue(ROOMY)
    fill(queue, make_item, "a", 300, Priority.CONFIRMATION)
    tokens_by(queue, "priority", 200)
    fill(queue, make_item, "a", 100, Priority.DRAFT)
    assert tokens_by(queue, "priority", 5)[Priority.DRAFT] == 0


def test_a_flood_takes_no_more_than_its_share(make_item):
    queue = FairQueue(ROOMY)
    fill(queue, make_item, "large", 1_500)
    for organisation in ("b", "c", "d"):
        fill(queue, make_item, organisation, 100)
    taken = tokens_by(queue, "organisation", 200)
    assert all(taken[name] >= 4_500 for name in ("large", "b", "c", "d"))


@given(sizes=st.lists(st.integers(50, 4_000), min_size=2, max_size=6))
def test_shares_are_of_tokens_whatever_the_sizes(make_item, sizes):
    queue = FairQueue(ROOMY)
    largest = max(sizes)
    for number, size in enumerate(sizes):
        fill(queue, make_item, str(number), 4 * largest // size + 5, tokens=size)
    taken = Counter()
    while min(taken[str(n)] for n in range(len(sizes))) < 3 * largest:
        item = queue.take(0)
        taken[item.organisation] += item.tokens
        spread = max(taken.values()) - min(taken[str(n)] for n in range(len(sizes)))
        # The bound of deficit round robin: one quantum and one item each way.
        assert spread <= 2 * (512 + largest)


def test_one_organisation_cannot_fill_the_queue(make_item):
    queue = FairQueue(QueuePolicy(max_per_organisation=10))
    fill(queue, make_item, "large", 10)
    refused = queue.offer(make_item("large"), 0)
    assert refused.reason is RefusalReason.ORGANISATION_FULL
    assert queue.offer(make_item("small"), 0) == Queued()


def test_a_full_queue_gives_way_to_a_confirmation(make_item):
    queue = FairQueue(QueuePolicy(max_length=10))
    fill(queue, make_item, "large", 7)
    fill(queue, make_item, "small", 3)
    offered = queue.offer(make_item("small", Priority.CONFIRMATION), 0)
    (refusal,) = offered.displaced
    assert refusal.item.organisation == "large"
    assert refusal.refused.reason is RefusalReason.DISPLACED
    assert len(queue) == 10


def test_a_draft_never_displaces_a_confirmation(make_item):
    queue = FairQueue(QueuePolicy(max_length=10))
    fill(queue, make_item, "large", 10, Priority.CONFIRMATION)
    refused = queue.offer(make_item("small"), 0)
    assert refused.reason is RefusalReason.QUEUE_FULL


def test_an_id_is_queued_once(make_item):
    queue = FairQueue()
    item = make_item()
    queue.offer(item, 0)
    with pytest.raises(ValueError, match="is already queued"):
        queue.offer(item, 0)


def drain_steadily(queue, make_item, until, priority=Priority.DRAFT):
    """Keep a backlog and take 100 tokens every 100 ms."""
    fill(queue, make_item, "a", 20 + until // 100, priority)
    for now in range(100, until + 1, 100):
        queue.take(now)


def test_what_cannot_be_served_in_time_is_refused_at_once(make_item):
    queue = FairQueue(ROOMY)
    drain_steadily(queue, make_item, 5_000)
    patient = make_item(deadline=5_000 + 4_000)
    hurried = make_item(deadline=5_000 + 1_000)
    refused = queue.offer(hurried, 5_000)
    assert refused.reason is RefusalReason.DEADLINE
    # Twenty wait, and ten go each second.
    assert 1_900 <= refused.retry_after_ms <= 4_000
    assert queue.offer(patient, 5_000) == Queued()


def test_a_drain_that_stops_is_noticed(make_item):
    """Callers wait for a queue that nothing is taken from.

    Sequence: all endpoints hang; offers are still judged by the rate before.
    Cause: a rate that is learnt only when something is taken.
    """
    queue = FairQueue(ROOMY)
    drain_steadily(queue, make_item, 5_000)
    assert queue.offer(make_item(deadline=9_000), 5_000) == Queued()
    refused = queue.offer(make_item(deadline=44_000), 40_000)
    assert isinstance(refused, Refused)


def test_retry_after_is_spread(make_item):
    """All refused callers come back in one wave.

    Sequence: an overload refuses many at one moment, each told the same time.
    Cause: no spread; equal draws show it.
    """

    def times(draw_of):
        queue = FairQueue(QueuePolicy(max_per_organisation=1))
        fill(queue, make_item, "a", 1)
        offers = [make_item(jitter=draw_of(n)) for n in range(100)]
        return {queue.offer(item, 0).retry_after_ms for item in offers}

    assert len(times(lambda number: number / 100)) > 50
    assert len(times(lambda number: 0.5)) == 1
