"""Counts of a few ranks give the popularity; ranks that begin again give none."""

import pytest

from azurefold.core.groups.sampled_popularity import CountSample, SampledPopularity


@pytest.fixture
def popularity():
    return SampledPopularity(time_constant=1_000)


def sample(rank, *layers, epoch=1):
    return CountSample(f"e{rank}", epoch, tuple(map(tuple, layers)))


def test_the_first_counts_are_a_base_only(popularity):
    assert not popularity.add_counts([sample(0, [5, 9])], now=0)
    assert popularity.layers == ()


def test_growth_is_summed_over_ranks(popularity):
    popularity.add_counts([sample(0, [10, 0]), sample(1, [0, 10])], now=0)
    assert popularity.add_counts([sample(0, [30, 0]), sample(1, [0, 20])], now=1_000)
    assert popularity.rates == ((20.0, 10.0),)


def test_counts_of_another_epoch_are_a_new_base(popularity):
    """Popularity turns negative or jumps after a group has formed anew."""
    popularity.add_counts([sample(0, [100, 100])], now=0)
    assert not popularity.add_counts([sample(0, [3, 1], epoch=2)], now=1_000)
    assert popularity.add_counts([sample(0, [5, 1], epoch=2)], now=2_000)
    assert popularity.rates == ((2.0, 0.0),)


def test_a_group_that_rests_changes_nothing(popularity):
    popularity.add_counts([sample(0, [1, 2])], now=0)
    assert not popularity.add_counts([sample(0, [1, 2])], now=1_000)


def counts_of(popularity, seconds):
    """Return the counts that a popularity gives in so many seconds."""
    return [round(1_000 * seconds * share) for share in popularity]


def feed(popularity, shares, now, seconds=0.5, total=None):
    total = total if total is not None else [0] * len(shares)
    for index, count in enumerate(counts_of(shares, seconds)):
        total[index] += count
    return popularity.add_counts([sample(0, list(total))], now), total


BEFORE, AFTER = (0.7, 0.2, 0.1, 0.0), (0.1, 0.2, 0.1, 0.6)


def test_growth_is_added_up_while_popularity_stays(popularity):
    total = None
    for now in (0, 500, 1_000):
        fresh, total = feed(popularity, BEFORE, now, total=total)
    assert fresh
    assert popularity.rates[0][0] > counts_of(BEFORE, 0.5)[0]


def test_a_sample_across_a_jump_is_not_planned_for(popularity):
    """A map that was loaded for a second fits neither before nor after a jump.

    Half of a sample's growth was of before the jump. The plan made from it was
    replaced a second later, with as much to load again.
    """
    total = None
    for now in (0, 500, 1_000):
        _, total = feed(popularity, BEFORE, now, total=total)
    mixed = [(a + b) / 2 for a, b in zip(BEFORE, AFTER, strict=True)]
    fresh, total = feed(popularity, mixed, 1_500, total=total)
    assert not fresh
    assert popularity.is_unsettled
    fresh, _ = feed(popularity, AFTER, 1_700, seconds=0.2, total=total)
    assert fresh
    assert not popularity.is_unsettled
    shares = [rate / sum(popularity.rates[0]) for rate in popularity.rates[0]]
    assert shares == pytest.approx(AFTER, abs=0.01)


def test_what_another_coordinator_saw_is_there_at_once(popularity):
    popularity.restore([[700, 200, 100, 0]])
    assert popularity.rates == ((700.0, 200.0, 100.0, 0.0),)
    assert popularity.usable_rounds == 0
