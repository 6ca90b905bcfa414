"""What must hold at the end of a scenario."""

import json
from collections import Counter

from azurefold_standins.client import Answer
from azurefold_standins.scenario.callers import Booking, Callers, Draft
from azurefold_standins.scenario.expectations import Outcome
from azurefold_standins.scenario.world import World

__all__ = [
    "check_at_most_once",
    "check_none_resumed",
    "check_not_run_is_true",
    "check_refused",
    "check_some_error",
    "check_some_outcome",
    "check_some_resumed",
    "check_whole",
    "runs_of",
]

_OK = 200
_BROKEN = 0
_TELLS_OUTCOME = {"not_run": Outcome.NOT_RUN, "unknown": Outcome.UNKNOWN}


def runs_of(world: World, callers: Callers) -> Counter:
    """Count how often each booking of this scenario ran, at all endpoints."""
    ours = {booking.body.decode() for booking in callers.bookings}
    plain = [e.name for e in world.site.layout.endpoints if e.group is None]
    return Counter(
        body for name in plain for body in world.journal(name) if body in ours
    )


def check_whole(callers: Callers, drafts_only: bool, or_explained: bool) -> None:
    """Every answer is whole and right, or is explicitly an error."""
    for draft in callers.drafts:
        _check_draft(draft, or_explained)
    if drafts_only:
        return
    for booking in callers.bookings:
        _check_booking(booking, or_explained)


def check_at_most_once(world: World, callers: Callers) -> None:
    """No booking ran twice, whatever its caller repeated."""
    assert callers.bookings, "no bookings were sent"
    twice = [body for body, runs in runs_of(world, callers).items() if runs > 1]
    assert not twice, f"ran more than once: {twice}"


def check_not_run_is_true(world: World, callers: Callers) -> None:
    """What was said not to have run has not run.

    A key may be refused first and run by a later repeat. So what counts is
    the last answer, and that nobody hears "not run" after a confirmation.
    """
    runs = runs_of(world, callers)
    for booking in callers.bookings:
        told = [_outcome(answer) for answer in booking.answers]
        ran = runs[booking.body.decode()] > 0
        only_refused = all(each is Outcome.NOT_RUN for each in told)
        assert not (ran and only_refused), f"it ran: {booking}"
        if Outcome.CONFIRMED in told:
            after = told[told.index(Outcome.CONFIRMED) :]
            assert Outcome.NOT_RUN not in after, f"confirmed before: {booking}"
            assert ran, f"confirmed and not run: {booking}"


def check_refused(world: World, callers: Callers) -> None:
    """Nothing ran; each caller knows that, or that it is unknown, and when."""
    assert callers.bookings, "no bookings were sent"
    assert not runs_of(world, callers), "a booking ran"
    for booking in callers.bookings:
        for answer in booking.answers:
            assert _outcome(answer) in (Outcome.NOT_RUN, Outcome.UNKNOWN), answer
            assert int(answer.headers["retry-after"]) > 0, answer


def check_some_outcome(callers: Callers, outcome: Outcome) -> None:
    """Somebody was told ``outcome``, so the scenario came to the point."""
    told = Counter(_outcome(a) for b in callers.bookings for a in b.answers)
    assert told[outcome], f"nobody was told {outcome}: {told}"


def check_some_error(callers: Callers) -> None:
    """A caller's stream could not be finished, and said so."""
    ends = [draft.end.kind for draft in callers.drafts if draft.end is not None]
    assert "error" in ends, f"all ended well: {ends}"


def check_some_resumed(callers: Callers) -> None:
    """A caller's stream broke and was taken up again."""
    assert any(draft.resumes for draft in callers.drafts), "no draft was resumed"


def check_none_resumed(callers: Callers) -> None:
    """No caller's stream broke."""
    assert callers.drafts, "no drafts were sent"
    resumed = [draft.prompt for draft in callers.drafts if draft.resumes]
    assert not resumed, f"these broke and were resumed: {resumed}"


def _check_draft(draft: Draft, or_explained: bool) -> None:
    assert draft.end is not None, f"the draft never ended: {draft.prompt}"
    if or_explained and draft.end.kind == "error":
        assert json.loads(draft.end.text)["error"]["ran"], draft.end
        assert draft.expected.startswith(draft.text), f"other text: {draft.prompt}"
        return
    wrong = f"{draft.prompt}: {len(draft.text)} of {len(draft.expected)} characters"
    assert draft.whole, f"not whole: {wrong}, end {draft.end}"


def _check_booking(booking: Booking, or_explained: bool) -> None:
    assert booking.answers, f"no answer: {booking}"
    for answer in booking.answers:
        if answer.status == _OK:
            assert answer.json == booking.expected, f"another answer: {booking}"
        elif answer.status != _BROKEN:
            assert answer.ran, f"an error that does not tell: {answer}"
    if not or_explained:
        last = booking.answers[-1]
        assert last.status == _OK, f"not confirmed: {last}"


def _outcome(answer: Answer) -> Outcome:
    # A connection that broke tells nothing, which is what unknown means.
    if answer.status == _BROKEN:
        return Outcome.UNKNOWN
    if answer.status == _OK:
        return Outcome.CONFIRMED
    return _TELLS_OUTCOME[answer.ran]
