"""Reads scenarios: one step a line, errors with their places."""

from dataclasses import replace
from functools import cache
from importlib import resources

from lark import Lark, Token, Transformer, UnexpectedInput

from azurefold.border.findings import Finding, FindingsError, Place
from azurefold_standins.scenario import expectations, steps

__all__ = ["parse_scenario", "parse_step"]

_COMMENT = "#"
_MOST_EXPECTED_SHOWN = 6
_LAST_GIVEN = "steps that start with given stand before all others"


def parse_scenario(file: str, text: str) -> steps.Scenario:
    """Read a scenario.

    Raises
    ------
    FindingsError
        With each wrong line and its place.
    """
    parsed: list[tuple[int, steps.Step]] = []
    findings: list[Finding] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith(_COMMENT):
            continue
        try:
            step = parse_step(line)
        except UnexpectedInput as error:
            findings.append(_finding(file, number, error))
            continue
        if isinstance(step, steps.Given) and not _only_given(parsed):
            findings.append(Finding(Place(file, number, 1), "is late", _LAST_GIVEN))
        parsed.append((number, step))
    if findings:
        raise FindingsError("the scenario cannot be read", findings)
    return steps.Scenario(file, tuple(parsed))


def parse_step(line: str) -> steps.Step:
    """Read one step.

    Raises
    ------
    lark.UnexpectedInput
        If it is none.

    Examples
    --------
    >>> parse_step("kill agent bookings-0")
    Signal(kind=<SignalKind.KILL: 'kill'>, process='agent-bookings-0')
    >>> parse_step("cut hall-a from platform")
    Cut(data_centre='hall-a', other='platform')
    """
    return _Builder().transform(_parser().parse(line))


@cache
def _parser() -> Lark:
    grammar = resources.files(__package__).joinpath("scenario.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


def _only_given(parsed: list[tuple[int, steps.Step]]) -> bool:
    return all(isinstance(step, steps.Given) for _, step in parsed)


def _finding(file: str, number: int, error: UnexpectedInput) -> Finding:
    names = getattr(error, "accepts", None) or getattr(error, "expected", None)
    names = names or getattr(error, "allowed", None) or ()
    shown = sorted(name.strip("_$").lower() for name in names)
    expected = " or ".join(shown[:_MOST_EXPECTED_SHOWN]) or "a step"
    token = getattr(error, "token", None)
    found = str(token) if token is not None else getattr(error, "char", "")
    column = error.column if error.column and error.column > 0 else 1
    problem = f"{found!r} is out of place" if found else "the step ends too early"
    return Finding(Place(file, number, column), problem, expected)


class _Builder(Transformer):
    """Turns the tree of one line into its step."""

    def INT(self, token: Token) -> int:  # noqa: N802
        return int(token)

    def NAME(self, token: Token) -> str:  # noqa: N802
        return str(token)

    def given_data_centre(self, parts):
        return steps.GivenDataCentre(*parts)

    def given_group(self, parts):
        return steps.GivenGroup(*parts)

    def given_service(self, parts):
        return steps.GivenService(*parts)

    def given_step_ms(self, parts):
        return steps.GivenStep(*parts)

    def given_latency_ms(self, parts):
        return steps.GivenLatency(*parts)

    def accept(self, parts):
        return steps.Accept(*parts)

    def race(self, parts):
        return steps.Race(*parts)

    def drain(self, parts):
        return steps.Drain(*parts)

    def list_vms(self, parts):
        return steps.ListVms()

    def watch_revisions(self, parts):
        return steps.WatchRevisions()

    def remember_runs(self, parts):
        return steps.RememberRuns(*parts)

    def keys(self, parts):
        return "with"

    def no_keys(self, parts):
        return "without"

    def entries(self, parts):
        return tuple(parts)

    def bookings(self, parts):
        begin, count, keys, entries = parts
        return steps.Bookings(count, keys == "with", entries, begin == "begin")

    def drafts(self, parts):
        begin, count, tokens, entries = parts
        return steps.Drafts(count, tokens, entries, begin == "begin")

    def drafts_once(self, parts):
        return replace(self.drafts(parts), resuming=False)

    def repeat_keys(self, parts):
        begin, entries = parts
        return steps.RepeatKeys(entries, begin != "repeat")

    def entry(self, parts):
        return f"entry-{parts[0]}-{parts[1]}"

    def control(self, parts):
        return f"control-{parts[0]}-{parts[1]}"

    def agent(self, parts):
        return f"agent-{parts[0]}"

    def engine(self, parts):
        return f"engine-{parts[0]}"

    def platform(self, parts):
        return "platform"

    def signal(self, parts):
        return steps.Signal(steps.SignalKind(parts[0]), parts[1])

    def platform_mode(self, parts):
        modes = {"up": "ok", "loses answers": "lose_answers"}
        return steps.PlatformFault(modes.get(str(parts[0]), "down"))

    def platform_slow(self, parts):
        return steps.PlatformFault("slow", latency_ms=parts[0])

    def platform_loses(self, parts):
        return steps.PlatformFault("lose_answers", count=parts[0])

    def copy_store(self, parts):
        return steps.CopyStore()

    def restore_store(self, parts):
        return steps.RestoreStore()

    def cut(self, parts):
        return steps.Cut(*parts)

    def cut_link(self, parts):
        return steps.CutLink(*parts)

    def heal(self, parts):
        return steps.Heal()

    def silence(self, parts):
        return steps.Silence(*parts)

    def silence_between(self, parts):
        return steps.SilenceBetween(*parts)

    def lose_datagrams(self, parts):
        return steps.DatagramsFail(lose_percent=parts[0])

    def double_datagrams(self, parts):
        return steps.DatagramsFail(double_percent=parts[0])

    def late_datagrams(self, parts):
        return steps.DatagramsFail(late_ms=parts[0])

    def delay(self, parts):
        return steps.Delay(*parts)

    def pause_s(self, parts):
        return steps.PauseFor(*parts)

    def wait_answers(self, parts):
        return steps.WaitAnswers()

    def wait_ran(self, parts):
        return steps.WaitRan(*parts)

    def wait_tokens(self, parts):
        return steps.WaitTokens(*parts)

    def wait_entries(self, parts):
        return steps.WaitEntries()

    def wait_leaving(self, parts):
        return steps.WaitLeaving(*parts)

    def all_whole(self, parts):
        return expectations.Whole()

    def all_explained(self, parts):
        return expectations.Whole(or_explained=True)

    def drafts_whole(self, parts):
        return expectations.Whole(drafts_only=True)

    def at_most_once(self, parts):
        return expectations.AtMostOnce()

    def not_run_is_true(self, parts):
        return expectations.NotRunIsTrue()

    def refused(self, parts):
        return expectations.Refused()

    def some_outcome(self, parts):
        return expectations.SomeOutcome(expectations.Outcome(parts[0]))

    def some_resumed(self, parts):
        return expectations.SomeResumed()

    def some_error(self, parts):
        return expectations.SomeError()

    def none_resumed(self, parts):
        return expectations.NoneResumed()

    def in_force(self, parts):
        return expectations.InForce(*parts)

    def in_force_at(self, parts):
        return expectations.InForceAt(*parts)

    def no_step_back(self, parts):
        return expectations.NoStepBack()

    def written_back(self, parts):
        return expectations.WrittenBack()

    def one_won(self, parts):
        return expectations.OperatorsToldTruth(winners=1)

    def none_won(self, parts):
        return expectations.OperatorsToldTruth(winners=0)

    def no_untruth(self, parts):
        return expectations.OperatorsToldTruth()

    def no_new_work(self, parts):
        return expectations.NoNewWork(*parts)

    def drained(self, parts):
        return expectations.Drained(*parts)

    def ended_cleanly(self, parts):
        return expectations.EndedCleanly(*parts)
