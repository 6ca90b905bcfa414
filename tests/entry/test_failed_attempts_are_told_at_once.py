"""An answer that its agent keeps no longer gets its final word at once."""

import pytest
from tests.entry.conftest import make_relay

from azurefold.core.attempts.ids import AnswerId
from azurefold.core.attempts.outcome import RunStatus
from azurefold.core.attempts.request_state import AttemptStatus
from azurefold.entry.parts import GivenUp


@pytest.mark.parametrize(
    "state", [AttemptStatus.RUNNING, AttemptStatus.DONE, AttemptStatus.FAILED]
)
def test_a_repeat_whose_answer_is_not_kept_is_not_held_back(agents, time, state):
    # Symptom: a caller that comes back for an attempt that failed some minutes
    # ago waits until its deadline. Sequence: the agent has freed the text, and
    # says that it knows the attempt. Cause: knowing it was taken for having it.
    agents.script = ["not_seen"] * 100
    agents.states = [state] * 100
    started = time.now
    parts = list(make_relay(agents, time).attach(AnswerId("a", "7", "x" * 32)))
    assert isinstance(parts[-1], GivenUp)
    assert parts[-1].failure.ran is not RunStatus.NOT_RUN
    assert parts[-1].failure.reason == "answer_not_kept"
    assert time.now == started
    assert len(agents.resumed) == 1
