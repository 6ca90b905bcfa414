"""Counts of a few ranks give the popularity; ranks that begin again give none."""

import pytest

from azurefold.core.groups.samples import CountSample, SampledPopularity


@pytest.fixture
def popularity():
    return SampledPopularity(time_constant=1_000)


def sample(rank, *layers, epoch=1):
    return CountSample(f"e{rank}", epoch, tuple(map(tuple, layers)))


def test_the_first_counts_are_a_base_only(popularity):
    assert not popularity.take([sample(0, [5, 9])], now=0)
    assert popularity.layers == ()


def test_growth_is_summed_over_ranks(popularity):
    popularity.take([sample(0, [10, 0]), sample(1, [0, 10])], now=0)
    assert popularity.take([sample(0, [30, 0]), sample(1, [0, 20])], now=1_000)
    assert popularity.rates == ((20.0, 10.0),)


def test_counts_of_another_epoch_are_a_new_base(popularity):
    """Popularity turns negative or jumps after a group has formed anew."""
    popularity.take([sample(0, [100, 100])], now=0)
    assert not popularity.take([sample(0, [3, 1], epoch=2)], now=1_000)
    assert popularity.take([sample(0, [5, 1], epoch=2)], now=2_000)
    assert popularity.rates == ((2.0, 0.0),)


def test_a_group_that_rests_changes_nothing(popularity):
    popularity.take([sample(0, [1, 2])], now=0)
    assert not popularity.take([sample(0, [1, 2])], now=1_000)
