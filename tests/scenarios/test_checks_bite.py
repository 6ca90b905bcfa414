"""Each check of the language fails when what it guards is broken."""

import json
from types import SimpleNamespace

import pytest

from azurefold.commands.reports import Exit
from azurefold_standins.client import Answer, StreamEvent
from azurefold_standins.scenario import checks, operators
from azurefold_standins.scenario.callers import Booking, Draft
from azurefold_standins.scenario.expectations import Outcome
from azurefold_standins.scenario.revisions import RevisionWatch
from azurefold_standins.scenario.runner import StepFailedError, _StepTimes, _take

NOT_RUN = Answer(503, b'{"error":{"ran":"not_run"}}', {"retry-after": "1"})
UNKNOWN = Answer(502, b'{"error":{"ran":"unknown"}}', {"retry-after": "1"})
DONE = StreamEvent("done", "e~1~a~3")


def world(runs):
    endpoint = SimpleNamespace(name="bookings-0", group=None)
    layout = SimpleNamespace(endpoints=(endpoint,))
    return SimpleNamespace(
        site=SimpleNamespace(layout=layout), journal=lambda name: ["slot"] * runs
    )


def callers(*answers, drafts=()):
    booking = Booking("bookings", b"slot", "k", list(answers))
    return SimpleNamespace(bookings=[booking], drafts=list(drafts))


def confirmed():
    return Answer(200, json.dumps(Booking("", b"slot", None).expected).encode())


def draft(text=None, end=DONE, resumes=0):
    made = Draft("lot", 3, end=end, resumes=resumes)
    made.pieces = [made.expected if text is None else text]
    return made


def test_what_is_right_passes():
    checks.check_at_most_once(world(1), callers(confirmed()))
    checks.check_not_run_is_true(world(1), callers(NOT_RUN, confirmed()))
    checks.check_not_run_is_true(world(1), callers(UNKNOWN))
    checks.check_refused(world(0), callers(NOT_RUN, UNKNOWN))
    checks.check_whole(callers(confirmed(), drafts=[draft()]), False, False)


@pytest.mark.parametrize(
    "check",
    [
        lambda: checks.check_at_most_once(world(2), callers(confirmed())),
        lambda: checks.check_not_run_is_true(world(1), callers(NOT_RUN)),
        lambda: checks.check_not_run_is_true(world(1), callers(confirmed(), NOT_RUN)),
        lambda: checks.check_not_run_is_true(world(0), callers(confirmed())),
        lambda: checks.check_refused(world(1), callers(UNKNOWN)),
        lambda: checks.check_refused(world(0), callers(confirmed())),
        lambda: checks.check_whole(callers(NOT_RUN), False, False),
        lambda: checks.check_whole(callers(Answer(200, b"{}")), False, True),
        lambda: checks.check_some_outcome(callers(NOT_RUN), Outcome.UNKNOWN),
        lambda: checks.check_some_resumed(callers(drafts=[draft()])),
        lambda: checks.check_some_error(callers(drafts=[draft()])),
        lambda: checks.check_none_resumed(callers(drafts=[draft(resumes=1)])),
    ],
)
def test_what_is_wrong_about_bookings_is_found(check):
    with pytest.raises(AssertionError):
        check()


@pytest.mark.parametrize(
    "broken",
    [
        draft(text="other"),
        draft(text=draft().text * 2),
        draft(text=draft().text[:-1]),
        draft(end=None),
        draft(text="other", end=StreamEvent("error", "", NOT_RUN.body.decode())),
    ],
)
def test_a_draft_that_is_not_whole_is_found(broken):
    with pytest.raises(AssertionError):
        checks.check_whole(callers(drafts=[broken]), True, True)


def test_a_step_back_is_found():
    watch = RevisionWatch(None, steps_back=["control-hall-a-0 from 4 to 3"], looks=1)
    with pytest.raises(AssertionError, match="from 4 to 3"):
        watch.check()


@pytest.mark.parametrize(
    "ended",
    [
        [("a", Exit.OK), ("b", Exit.OK)],
        [("a", Exit.REFUSED), ("", Exit.REFUSED)],
        [("b", Exit.OK), ("", Exit.REFUSED)],
    ],
)
def test_an_untruth_to_an_operator_is_found(ended, monkeypatch):
    head = SimpleNamespace(revision=5, edit_id="a")
    monkeypatch.setattr(operators, "accepted_head", lambda site: head)
    told = [
        operators.EndedOperator(code, "" if code is Exit.REFUSED else edit, 5)
        for edit, code in ended
    ]
    with pytest.raises(AssertionError):
        operators.check_truth(SimpleNamespace(site=None), told, base=4)


def test_a_failed_step_tells_when_each_step_began():
    """A scenario failed once, and nothing told whether its fault came in time."""

    class Run:
        def take(self, step):
            assert step != "check", "no draft was resumed"

    taken = _StepTimes("cut.scenario")
    _take(Run(), taken, 17, "cut")
    with pytest.raises(StepFailedError, match=r"cut.scenario:22: no draft") as failed:
        _take(Run(), taken, 22, "check")
    assert "line 17 +0.00 s, line 22 +0.0" in str(failed.value)
