"""Popularity from the counts of a few ranks, including restarts and jumps."""

import pytest

from azurefold.core.groups.sampled_popularity import CountSample, SampledPopularity


@pytest.fixture
def popularity():
    return SampledPopularity(time_constant=1_000)


def sample(rank, *layers, epoch=1):
    return CountSample(f"e{rank}", epoch, tuple(map(tuple, layers)))


def test_the_first_counts_only_serve_as_a_base(popularity):
    assert not popularity.add_counts([sample(0, [5, 9])], now=0)
    assert popularity.layers == ()


def test_growth_is_summed_over_ranks(popularity):
    popularity.add_counts([sample(0, [10, 0]), sample(1, [0, 10])], now=0)
    assert popularity.add_counts([sample(0, [30, 0]), sample(1, [0, 20])], now=1_000)
    assert popularity.rates == ((20.0, 10.0),)


def test_counts_of_another_epoch_are_a_new_base(popularity):
    """Guards against negative or jumping popularity after a group is re-formed."""
    popularity.add_counts([sample(0, [100, 100])], now=0)
    assert not popularity.add_counts([sample(0, [3, 1], epoch=2)], now=1_000)
    assert popularity.add_counts([sample(0, [5, 1], epoch=2)], now=2_000)
    assert popularity.rates == ((2.0, 0.0),)


def test_an_idle_group_changes_nothing(popularity):
    popularity.add_counts([sample(0, [1, 2])], now=0)
    assert not popularity.add_counts([sample(0, [1, 2])], now=1_000)


def counts_of(popularity, seconds):
    """Return the counts of experts within ``seconds``, at 1,000 tokens per second."""
    return [round(1_000 * seconds * share) for share in popularity]


def add_sample(popularity, shares, now, seconds=0.5, total=None):
    """Add the counts of one rank after ``seconds`` more with the given shares.

    Returns whether the result is usable, and the counts since the rank has started.
    """
    total = total if total is not None else [0] * len(shares)
    for index, count in enumerate(counts_of(shares, seconds)):
        total[index] += count
    return popularity.add_counts([sample(0, list(total))], now), total


SHARES_BEFORE_JUMP, SHARES_AFTER_JUMP = (0.7, 0.2, 0.1, 0.0), (0.1, 0.2, 0.1, 0.6)


def test_growth_is_summed_while_popularity_is_constant(popularity):
    total = None
    for now in (0, 500, 1_000):
        is_usable, total = add_sample(popularity, SHARES_BEFORE_JUMP, now, total=total)
    assert is_usable
    assert popularity.rates[0][0] > counts_of(SHARES_BEFORE_JUMP, 0.5)[0]


def test_a_sample_across_a_jump_is_not_usable_for_planning(popularity):
    """Guards against a map that fits the popularity neither before nor after a jump.

    Half of the growth in the sample was from before the jump. The map planned from it
    was replaced a second later, and the weights had to be loaded again.
    """
    total = None
    for now in (0, 500, 1_000):
        _, total = add_sample(popularity, SHARES_BEFORE_JUMP, now, total=total)
    mixed = [
        (a + b) / 2 for a, b in zip(SHARES_BEFORE_JUMP, SHARES_AFTER_JUMP, strict=True)
    ]
    is_usable, total = add_sample(popularity, mixed, 1_500, total=total)
    assert not is_usable
    assert popularity.is_unsettled
    is_usable, _ = add_sample(
        popularity, SHARES_AFTER_JUMP, 1_700, seconds=0.2, total=total
    )
    assert is_usable
    assert not popularity.is_unsettled
    shares = [rate / sum(popularity.rates[0]) for rate in popularity.rates[0]]
    assert shares == pytest.approx(SHARES_AFTER_JUMP, abs=0.01)


def test_a_restored_popularity_is_available_immediately(popularity):
    popularity.restore([[700, 200, 100, 0]])
    assert popularity.rates == ((700.0, 200.0, 100.0, 0.0),)
    assert popularity.usable_rounds == 0
