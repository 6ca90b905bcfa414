"""Log lines that nobody reads are held up to a number and a size."""

import os

import pytest
from gevent.os import make_nonblocking

from azurefold.internal.log_writer import QueuedLines

LINE = "x" * 16_000


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    make_nonblocking(reading)
    make_nonblocking(writing)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_long_lines_that_nobody_reads_are_dropped(pipe):
    """Guards against a memory full of lines with names that callers chose."""
    reading, writing = pipe
    lines = QueuedLines(writing)
    for _ in range(3_000):
        lines.add(LINE)
    assert not lines.flush()
    assert sum(map(len, lines._lines)) < 5 * 1_048_576
    assert lines.dropped > 2_000
    while not lines.flush():
        os.read(reading, 1_048_576)
    lines.add("short")
    assert lines.flush()
    assert lines.dropped_in_all > 2_000
    assert lines.dropped == 0
