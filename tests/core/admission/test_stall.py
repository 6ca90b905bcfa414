"""Tests of the detection of groups that make no passes."""

import pytest

from azurefold.core.admission.stall import StallMonitor


@pytest.fixture
def monitor():
    return StallMonitor()


def test_a_service_without_requests_is_never_stalled(monitor):
    assert not monitor.is_stalled(10_000)
    monitor.record_event(10_000)
    monitor.record_idle()
    assert not monitor.is_stalled(20_000)


def test_a_dispatch_after_silence_starts_the_time_anew(monitor):
    monitor.record_event(1_000)
    monitor.record_idle()
    monitor.record_dispatch(9_000)
    assert not monitor.is_stalled(9_400)
    assert monitor.is_stalled(9_500)


def test_later_dispatches_do_not_hide_a_stall(monitor):
    for now in range(1_000, 2_000, 100):
        monitor.record_dispatch(now)
    assert monitor.is_stalled(1_600)


def test_an_event_ends_a_stall(monitor):
    monitor.record_dispatch(1_000)
    assert monitor.is_stalled(2_000)
    monitor.record_event(2_000)
    assert not monitor.is_stalled(2_100)
