"""Callers who hardly read give the places of their answers to those who wait."""

import gevent
import pytest

from azurefold.gateway.callers.calls import AnswerCutOffError
from azurefold.gateway.endpoints.passed_on import PassedOnReader, cut_off_slow_readers

NOW = 10_000


@pytest.fixture
def readers():
    """Three readers of one service and one of another, the first the slowest."""
    ended = []

    def read(name):
        try:
            gevent.sleep(60)
        except AnswerCutOffError:
            ended.append(name)

    def reader(name, service, waited_ms):
        greenlet = gevent.spawn(read, name)
        since = None if waited_ms is None else NOW - waited_ms
        return PassedOnReader(name, service, greenlet, since)

    made = [
        reader("a", "desk", 600),
        reader("b", "desk", 900),
        reader("c", "desk", 100),
        reader("d", "desk", None),
        reader("e", "drafts", 900),
    ]
    gevent.sleep(0)
    yield made, ended
    gevent.killall([each.greenlet for each in made])


@pytest.mark.parametrize(
    ("waiting", "expected"),
    [
        ({"desk": 0, "drafts": 0}, []),
        ({"desk": 1, "drafts": 0}, ["b"]),
        ({"desk": 9, "drafts": 0}, ["b", "a"]),
        ({"desk": 0, "drafts": 2}, ["e"]),
    ],
)
def test_as_many_slow_readers_are_cut_off_as_requests_wait(readers, waiting, expected):
    """Guards against places that callers keep by reading next to nothing."""
    made, ended = readers
    assert cut_off_slow_readers(made, dict(waiting), NOW) == expected
    gevent.sleep(0)
    assert ended == expected
    assert not {*cut_off_slow_readers(made, dict(waiting), NOW)} & {*expected}
