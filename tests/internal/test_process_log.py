"""Each way in which a process ends leaves a line, or a code that tells it."""

import contextlib
import os
import subprocess
import sys

import pytest

from azurefold.internal.process_log import EXIT_FAILED, print_event

_FAILS = """
import sys
from azurefold.internal.process import run_binary
def start(path: str) -> int:
    raise OverflowError("a number")
sys.argv = ["azurefold-agent", "a.jsonc"]
run_binary(start, "azurefold-agent")
"""


def test_a_process_that_fails_ends_with_one_line_and_a_code_of_its_own():
    ended = subprocess.run(
        [sys.executable, "-c", _FAILS], capture_output=True, text=True, check=False
    )
    assert ended.returncode == EXIT_FAILED
    assert "event=starting" in ended.stdout
    [line] = ended.stderr.splitlines()
    assert 'event=ended why="OverflowError: a number" code=70' in line


def fill(writer):
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, bytes(65_536))


@pytest.mark.parametrize("is_open", [True, False])
def test_a_start_is_announced_to_whoever_reads(is_open):
    reader, writer = os.pipe()
    if not is_open:
        os.close(reader)
    print_event("azurefold-gateway", "event=starting", writer)
    os.close(writer)
    if is_open:
        with os.fdopen(reader) as lines:
            assert "event=starting" in lines.read()


def test_a_full_pipe_does_not_hold_up_a_start():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    fill(writer)
    os.set_blocking(writer, True)
    print_event("azurefold-gateway", "event=starting", writer)
    assert os.get_blocking(writer)
    os.close(reader)
    os.close(writer)
