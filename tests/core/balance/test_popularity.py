"""Popularity follows what is asked for, and forgets what was."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.balance.popularity import new_popularity, update_popularity

MINUTE = 60_000


def test_old_counts_fade_with_the_time_constant():
    popularity = update_popularity(new_popularity(1, MINUTE), [1_000], 1_000, now=0)
    popularity = update_popularity(popularity, [0], 1_000, now=MINUTE)
    assert popularity.rates[0] == pytest.approx(1_000 / 2.718281828)


@given(st.lists(st.integers(0, 10_000), min_size=1, max_size=20))
def test_a_rate_stays_within_what_was_observed(counts):
    popularity = new_popularity(1, MINUTE)
    for now, count in enumerate(counts):
        popularity = update_popularity(popularity, [count], 1_000, now * 5_000)
    assert min(counts) - 1e-6 <= popularity.rates[0] <= max(counts) + 1e-6


def test_counts_for_another_number_of_experts_are_refused():
    with pytest.raises(ValueError, match="one for each expert"):
        update_popularity(new_popularity(2, MINUTE), [1], 1_000, now=0)


def test_counts_without_a_span_are_refused():
    with pytest.raises(ValueError, match="span above 0"):
        update_popularity(new_popularity(1, MINUTE), [1], 0, now=0)
