"""An agent's channel gives an entry the answers of many attempts."""

import gevent
import pytest
from tests.entry.conftest import ManualClock

from azurefold.agent.buffer import AnswerBuffer
from azurefold.agent.channels import Channels
from azurefold.core.attempts.frames import AnswerAssembler, AnswerComplete
from azurefold.entry.channels import Channel
from azurefold.entry.lines import LostError
from azurefold.wire.frames import Head


@pytest.fixture
def sending():
    """The agent's end of an open channel."""
    return Channels().open("c")


@pytest.fixture
def drops():
    """Reasons of lines that nobody waited for."""
    return []


@pytest.fixture
def receiving(drops):
    """The entry's end."""
    return Channel("c", ManualClock().clock, drops.append)


def moments(sending, most=1_000):
    """Yield the lines of each write, as a connection would."""
    for number, data in enumerate(sending.lines()):
        lines = data.splitlines(keepends=True)
        yield [line for line in lines if line != b"\n"]
        if number + 1 == most:
            raise LostError("broken")


def read(followed):
    """Return the head's status and the whole text of an attempt."""
    assembler = AnswerAssembler(followed.attempt_id)
    text, status = "", None
    for lines in followed.lines():
        for line in lines:
            if isinstance(line, Head):
                status = line.status
                continue
            result = assembler.accept(line)
            if isinstance(result, AnswerComplete):
                return status, text
            text += result.text
    return None


def test_answers_that_come_in_turns_come_whole(sending, receiving):
    reader = gevent.spawn(receiving.run, moments(sending))
    buffers = [AnswerBuffer(f"attempt-{n}", status=200 + n) for n in range(3)]
    followed = [receiving.follow(buffer.attempt_id) for buffer in buffers]
    buffers[1].append("begun before")
    for buffer, one in zip(buffers, followed, strict=True):
        buffer.follow(sending, one.number)
    readers = [gevent.spawn(read, one) for one in followed]
    for word in (" lot", " 回収\n", " \u2028"):
        for buffer in buffers:
            buffer.append(word)
        gevent.sleep(0)
    for buffer in buffers:
        buffer.finish()
    with gevent.Timeout(20):
        got = [one.get() for one in readers]
    assert got == [(buffer.status, buffer.text) for buffer in buffers]
    assert not any(buffer.readers for buffer in buffers)
    reader.kill()


def test_a_broken_channel_loses_all_its_attempts(sending, receiving):
    # Symptom: callers wait for ever for the rest of their streams. Sequence:
    # the channel's connection breaks while attempts are followed on it.
    # Cause: each of them has to be told, to be resumed by itself.
    followed = [receiving.follow(f"attempt-{n}") for n in range(2)]
    receiving.run(moments(sending, most=1))
    for one in followed:
        with pytest.raises(LostError):
            list(one.lines())


def test_lines_of_an_attempt_that_nobody_follows_are_counted(receiving, drops):
    receiving.run(iter([[b'9 ["f",0,"a"]\n'], [b'9 ["f",1,"b"]\n']]))
    assert drops == ["no_reader", "no_reader"]


def test_a_line_without_a_number_ends_the_channel(receiving):
    followed = receiving.follow("attempt")
    receiving.run(iter([[b'["f",0,"a"]\n']]))
    with pytest.raises(LostError):
        list(followed.lines())


def test_a_caller_too_slow_for_its_answer_does_not_fill_the_memory(receiving):
    followed = receiving.follow("attempt")
    line = b'1 ["f",0,"a"]\n'
    receiving.run(iter([[line]] * 10_000))
    assert followed.waiting < 5_000
    with pytest.raises(LostError):
        list(followed.lines())


def test_an_entry_that_reads_too_slowly_loses_its_channel(sending):
    for _ in range(100):
        sending.put(b"x" * 100_000)
    assert sending.closed
    assert not sending.pending


def test_a_channel_without_news_shows_signs_of_life(sending):
    written = sending.lines()
    next(written)
    sending.keep_alive()
    sending.keep_alive()
    assert next(written) == b"\n"


def test_an_attempt_without_news_shows_signs_of_life(receiving):
    # Symptom: a request far past its deadline still waits. Sequence: its
    # endpoint stands still while other attempts on the channel go on. Cause:
    # without a line of its own the relay never looks at the clock.
    lines = receiving.follow("attempt").lines()
    seen = []

    def moments():
        yield [b'9 ["f",0,"a"]\n']
        seen.append(next(lines))

    receiving.run(moments())
    assert seen == [[]]
