"""Gaps between streams' events show within two passes that a map fits no longer."""

import pytest

from azurefold.core.attempts.events import EventGapMonitor


def observed(gaps, now=0, lengths=None):
    """Take in gaps of eight streams, pass after pass; return when it is noticed."""
    lengths = lengths or EventGapMonitor()
    for gap in gaps:
        now += gap
        for _ in range(8):
            lengths.observe(gap, now)
        if lengths.has_increased(now):
            return lengths, now
    return lengths, None


def test_a_jump_is_noticed_within_three_passes():
    lengths, noticed = observed([60] * 40)
    assert noticed is None
    _, noticed = observed([110] * 10, now=2_400, lengths=lengths)
    assert noticed - 2_400 <= 3 * 110


@pytest.mark.parametrize("gaps", [[60, 66, 58, 70] * 20, [20] * 40 + [35] * 40])
def test_prompts_and_light_load_are_no_jump(gaps):
    assert observed(gaps)[1] is None


def test_it_is_told_once():
    lengths, _ = observed([60] * 40)
    lengths, noticed = observed([110] * 10, now=2_400, lengths=lengths)
    lengths.reset_baseline(noticed)
    assert not lengths.has_increased(noticed)
    _, again = observed([110] * 20, now=noticed, lengths=lengths)
    assert again is None
