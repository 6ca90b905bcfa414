"""Popularity follows the observed counts, and old counts decay."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance.popularity import new_popularity, update_popularity

MINUTE_MS = 60_000


def test_old_counts_decay_with_the_time_constant():
    popularity = update_popularity(new_popularity(1, MINUTE_MS), [1_000], 1_000, now=0)
    popularity = update_popularity(popularity, [0], 1_000, now=MINUTE_MS)
    assert popularity.rates[0] == pytest.approx(1_000 / 2.718281828)


@given(st.lists(st.integers(0, 10_000), min_size=1, max_size=20))
def test_rate_stays_within_observed_range(counts):
    popularity = new_popularity(1, MINUTE_MS)
    for index, count in enumerate(counts):
        popularity = update_popularity(popularity, [count], 1_000, index * 5_000)
    assert min(counts) - 1e-6 <= popularity.rates[0] <= max(counts) + 1e-6


def test_wrong_number_of_counts_is_rejected():
    with pytest.raises(ValueError, match="one for each expert"):
        update_popularity(new_popularity(2, MINUTE_MS), [1], 1_000, now=0)


def test_zero_span_is_rejected():
    with pytest.raises(ValueError, match="span must be greater than 0"):
        update_popularity(new_popularity(1, MINUTE_MS), [1], 0, now=0)
