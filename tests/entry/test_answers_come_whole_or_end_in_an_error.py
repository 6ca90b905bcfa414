"""A caller gets the whole text, once, in order, or is told that it did not."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.entry.conftest import Counts, FakeAgents, ManualClock, make_relay, request

from azurefold.core.attempts.frames import (
    AnswerAssembler,
    EndFrame,
    Frame,
    NewText,
    text_digest,
)
from azurefold.core.attempts.outcome import RunStatus
from azurefold.entry import relay as relay_module
from azurefold.entry.lines import LostError
from azurefold.entry.parts import GivenUp, Text, Whole
from azurefold.wire.frames import Broken, Head

TEXT = "α lot must leave the shelf, 回収 now"
HEAD = Head(200, "text/event-stream")


def frames_of(attempt_id, start, cuts):
    """Return the frames of the text from an offset, cut in some places."""
    places = sorted({start, *(cut for cut in cuts if cut > start), len(TEXT)})
    pairs = zip(places, places[1:], strict=False)
    return [Frame(attempt_id, a, TEXT[a:b]) for a, b in pairs]


def end_of(attempt_id, text=TEXT):
    """Return the last frame of a text."""
    return EndFrame(attempt_id, len(text), text_digest(text))


def disturbed(attempt_id, frames, changes):
    """Return the lines of a connection on which things go wrong."""
    lines = [HEAD, *frames, end_of(attempt_id)]
    for kind, place in changes:
        at = place % len(lines)
        match kind:
            case "lost":
                del lines[at]
            case "doubled":
                lines.insert(at, lines[at])
            case "late":
                lines.append(lines.pop(at))
            case "foreign":
                lines.insert(at, Frame("another", 0, "not yours"))
            case "early end":
                lines.insert(at, end_of(attempt_id))
        if not lines:
            return lines
    return lines


changes = st.lists(
    st.tuples(
        st.sampled_from(["lost", "doubled", "late", "foreign", "early end"]),
        st.integers(0, 50),
    ),
    max_size=6,
)
connections = st.lists(
    st.tuples(st.lists(st.integers(1, len(TEXT) - 1)), changes, st.integers(0, 12)),
    min_size=1,
    max_size=5,
)


def connection(cuts, wrong, breaks_after):
    """Return a scripted connection; it breaks after some moments, if not 0."""

    def lines(attempt_id, offset):
        sent = disturbed(attempt_id, frames_of(attempt_id, offset, cuts), wrong)
        for number, line in enumerate(sent):
            if breaks_after and number == breaks_after:
                break
            yield [line]
        raise LostError("broken")

    return lines


def run(script, **more):
    """Return the parts that a caller gets over these connections."""
    agents = FakeAgents([connection(*one) for one in script])
    return list(make_relay(agents, ManualClock(), **more).run())


def check(parts):
    """Raise unless the parts are the whole text, or a part and an error."""
    text = "".join(part.text for part in parts if isinstance(part, Text))
    ends = [part for part in parts if isinstance(part, Whole | GivenUp)]
    assert len(ends) == 1
    assert parts[-1] is ends[0]
    assert TEXT.startswith(text)
    if isinstance(ends[0], Whole):
        assert text == TEXT
    else:
        assert not text or ends[0].failure.ran is not RunStatus.NOT_RUN


@given(connections)
def test_whatever_happens_to_frames_no_text_is_cut_short_in_silence(script):
    check(run(script))


class _TrustingAssembler(AnswerAssembler):
    """Passes on whatever comes; the mutant."""

    def accept(self, frame):
        if isinstance(frame, Frame):
            self.next_offset += len(frame.text)
            return NewText(self.next_offset, frame.text)
        return AnswerAssembler.accept(
            self, EndFrame(self.attempt_id, self.next_offset, "")
        )


@pytest.mark.parametrize("kind", ["doubled", "late", "foreign"])
def test_a_relay_that_trusts_every_frame_is_caught(monkeypatch, kind):
    monkeypatch.setattr(relay_module, "AnswerAssembler", _TrustingAssembler)
    with pytest.raises(AssertionError):
        check(run([([5, 9], [(kind, 1)], 0)]))


def test_a_missing_part_is_fetched_over_a_new_connection():
    agents = FakeAgents([connection([10], [("lost", 1)], 0), connection([20], [], 0)])
    parts = list(make_relay(agents, ManualClock()).run())
    check(parts)
    assert agents.resumed == [0]
    assert isinstance(parts[-1], Whole)


def test_a_digest_that_does_not_fit_ends_in_an_error():
    # Symptom: a caller reads a text that the endpoint never gave. Sequence:
    # some text is changed on the way, its length is not. Cause: without the
    # digest nobody would notice.
    def lines(attempt_id, offset):
        yield [HEAD, Frame(attempt_id, 0, TEXT), end_of(attempt_id, TEXT[::-1])]

    asked = request(idempotent=False)
    parts = list(make_relay(FakeAgents([lines]), ManualClock(), asked).run())
    assert isinstance(parts[-1], GivenUp)
    assert parts[-1].failure.ran is not RunStatus.NOT_RUN


def test_an_answer_that_its_endpoint_broke_off_ends_in_an_error():
    def lines(attempt_id, offset):
        yield [HEAD, Frame(attempt_id, 0, TEXT[:9])]
        yield [Broken("unknown")]

    parts = list(make_relay(FakeAgents([lines]), ManualClock()).run())
    assert isinstance(parts[-1], GivenUp)
    assert parts[-1].failure.ran is RunStatus.RAN


def test_frames_that_are_not_passed_on_are_counted():
    counts = Counts()
    run([([5], [("foreign", 1), ("doubled", 2)], 0)], observer=counts)
    assert sorted(counts.drops) == ["duplicate", "foreign"]


def test_a_caller_who_goes_away_leaves_connection_and_slot():
    # Symptom: an entry whose callers went away finds no free endpoint.
    # Sequence: the caller closes its connection in the middle of a stream.
    # Cause: only the relay knows that the attempt's slot is free again.
    agents = FakeAgents([connection([3, 6], [], 0)])
    relay = make_relay(agents, ManualClock())
    parts = relay.run()
    for _ in range(3):
        next(parts)
    assert relay.admission.pool.in_flight == 1
    parts.close()
    assert relay.admission.pool.in_flight == 0
    assert agents.closed == 1


def test_an_agent_whose_streams_always_break_is_given_up_at_the_deadline():
    # Symptom: an entry uses a whole core for one request. Sequence: an agent
    # says that the attempt runs, and each connection to its stream breaks.
    # Cause: asking and resuming went round with neither pause nor end.
    time = ManualClock()
    agents = FakeAgents([connection([5], [], 2)])
    asked = request(deadline=time.now + 2_000)
    parts = list(make_relay(agents, time, asked).run())
    check(parts)
    assert isinstance(parts[-1], GivenUp)
    assert 0 < time.pauses <= len(agents.resumed) <= 25
