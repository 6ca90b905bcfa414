"""Longer gaps between events show within a few passes that a map no longer fits."""

import pytest

from azurefold.core.attempts.events import EventGapMonitor


def observe_until_increase(gaps, now=0, monitor=None):
    """Feed the gaps of eight streams; return the monitor and the time of detection."""
    monitor = monitor or EventGapMonitor()
    for gap in gaps:
        now += gap
        for _ in range(8):
            monitor.observe(gap, now)
        if monitor.has_increased(now):
            return monitor, now
    return monitor, None


def test_sudden_increase_is_detected_within_three_passes():
    monitor, detected_at = observe_until_increase([60] * 40)
    assert detected_at is None
    _, detected_at = observe_until_increase([110] * 10, now=2_400, monitor=monitor)
    assert detected_at - 2_400 <= 3 * 110


@pytest.mark.parametrize("gaps", [[60, 66, 58, 70] * 20, [20] * 40 + [35] * 40])
def test_prompts_and_light_load_are_not_detected(gaps):
    assert observe_until_increase(gaps)[1] is None


def test_increase_is_reported_once():
    monitor, _ = observe_until_increase([60] * 40)
    monitor, detected_at = observe_until_increase(
        [110] * 10, now=2_400, monitor=monitor
    )
    monitor.reset_baseline(detected_at)
    assert not monitor.has_increased(detected_at)
    _, second_detection = observe_until_increase(
        [110] * 20, now=detected_at, monitor=monitor
    )
    assert second_detection is None
