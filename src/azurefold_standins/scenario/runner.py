"""Runs a scenario, step by step."""

import time
from dataclasses import dataclass, field

from azurefold_standins.operator import accept, accepted_head
from azurefold_standins.processes import Process, wait_until
from azurefold_standins.relay import LinkFaults
from azurefold_standins.scenario import checks, expectations, operators, steps
from azurefold_standins.scenario.callers import Callers
from azurefold_standins.scenario.revisions import RevisionWatch
from azurefold_standins.scenario.world import World

__all__ = ["StepFailedError", "run_scenario"]


class StepFailedError(AssertionError):
    """A step of a scenario did not hold; the message names its line."""


@dataclass(slots=True)
class _Run:
    world: World
    callers: Callers
    watch: RevisionWatch | None = None
    base: int = 0
    raced: list[operators.EndedOperator] = field(default_factory=list)
    drains: dict[str, Process] = field(default_factory=dict)
    remembered: dict[str, int] = field(default_factory=dict)

    def take(self, step: steps.Step) -> None:
        """Carry out one step."""
        world, callers = self.world, self.callers
        match step:
            case steps.Accept(timeout_ms=timeout_ms):
                world.revision = accept(world.site, world.configuration(timeout_ms))
            case steps.Race(operators=count):
                self._race(count)
            case steps.Drain(endpoint=endpoint):
                self.drains[endpoint] = operators.start_drain(world, endpoint)
            case steps.ListVms():
                world.list_vms()
            case steps.WatchRevisions():
                self.watch = RevisionWatch(world)
                self.watch.start()
            case steps.RememberRuns(endpoint=endpoint):
                self.remembered[endpoint] = len(world.journal(endpoint))
            case steps.Bookings() | steps.Drafts() | steps.RepeatKeys():
                self._send(step)
            case steps.PauseFor(seconds=seconds):
                time.sleep(seconds)
            case steps.WaitAnswers():
                callers.join()
            case steps.WaitRan(count=count):
                wait_until(
                    lambda: checks.runs_of(world, callers).total() >= count,
                    f"{count} bookings ran",
                )
            case steps.WaitTokens(tokens=tokens):
                wait_until(
                    lambda: all(
                        draft.end is not None or len(draft.pieces) >= tokens
                        for draft in callers.drafts
                    ),
                    f"every draft has {tokens} tokens",
                )
            case steps.WaitEntries():
                world.wait_entries()
            case steps.WaitLeaving(endpoint=endpoint):
                drain = self.drains[endpoint]
                wait_until(
                    lambda: "takes no new work" in drain.output() or not drain.running,
                    f"{endpoint} takes no new work",
                )
            case _:
                self._fault_or_check(step)

    def _fault_or_check(self, step: steps.Step) -> None:
        world = self.world
        match step:
            case steps.Signal(kind=kind, process=process):
                world.send_signal(kind, process)
            case steps.PlatformFault():
                world.platform_fault(step)
            case steps.CopyStore():
                world.ask_platform("POST", "/snapshot", {})
            case steps.RestoreStore():
                world.ask_platform("POST", "/restore", {})
            case steps.Cut(data_centre=data_centre, other=other):
                world.cut(data_centre, other)
            case steps.CutLink(link=link):
                self._set_faults(link, LinkFaults(cut=True))
            case steps.Delay(link=link, ms=ms):
                self._set_faults(link, LinkFaults(delay_ms=ms))
            case steps.Heal():
                world.heal()
            case steps.Silence(link=link):
                for each in world.links_to(link):
                    world.silence(each)
            case steps.DatagramsFail():
                world.datagrams_fail(step)
            case steps.SilenceBetween(data_centre=data_centre, other=other):
                for each in world.links_between(data_centre, other):
                    world.silence(each)
            case _:
                self._check(step)

    def _check(self, step: steps.Step) -> None:
        world, callers = self.world, self.callers
        match step:
            case expectations.Whole(drafts_only=drafts_only, or_explained=or_explained):
                checks.check_whole(callers, drafts_only, or_explained)
            case expectations.AtMostOnce():
                checks.check_at_most_once(world, callers)
            case expectations.NotRunIsTrue():
                checks.check_not_run_is_true(world, callers)
            case expectations.Refused():
                checks.check_refused(world, callers)
            case expectations.SomeOutcome(outcome=outcome):
                checks.check_some_outcome(callers, outcome)
            case expectations.SomeResumed():
                checks.check_some_resumed(callers)
            case expectations.SomeError():
                checks.check_some_error(callers)
            case expectations.NoneResumed():
                checks.check_none_resumed(callers)
            case expectations.InForce(data_centre=data_centre):
                world.wait_in_force(data_centre)
            case expectations.InForceAt(process=process):
                world.wait_revision(process)
            case expectations.NoStepBack():
                self.watch.stop()
                self.watch.check()
            case expectations.WrittenBack():
                wait_until(self._is_written_back, "the platform shows the revision")
            case expectations.OperatorsToldTruth(winners=winners):
                won = operators.check_truth(world, self.raced, self.base)
                assert winners in (None, won), f"{won} won: {self.raced}"
            case expectations.NoNewWork(endpoint=endpoint):
                before, now = self.remembered[endpoint], len(world.journal(endpoint))
                assert now == before, f"{endpoint} ran {now - before} more"
            case expectations.Drained(endpoint=endpoint):
                code = self.drains[endpoint].popen.wait()
                assert code == 0, self.drains[endpoint].output()
            case expectations.EndedCleanly(process=process):
                self._check_ended(process)
            case _:
                raise TypeError(f"no such step: {step}")

    def _send(self, step: steps.Bookings | steps.Drafts | steps.RepeatKeys) -> None:
        match step:
            case steps.Bookings(count=count, with_keys=with_keys, entries=entries):
                service = self.world.plain_services[0]
                self.callers.book(service, count, with_keys, entries)
            case steps.Drafts():
                self.callers.draft(step)
            case steps.RepeatKeys(entries=entries):
                self.callers.repeat(entries)
        if not step.background:
            self.callers.join()

    def _race(self, count: int) -> None:
        self.base = self.world.revision
        self.raced = operators.race(self.world, count, self.base)
        told = [each.revision for each in self.raced if each.told_accepted]
        self.world.revision = max([self.base, *told])

    def _set_faults(self, target: str, faults: LinkFaults) -> None:
        for link in self.world.links_to(target):
            self.world.set_faults(link, faults)

    def _is_written_back(self) -> bool:
        head = accepted_head(self.world.site)
        return head is not None and head.revision >= self.world.revision

    def _check_ended(self, name: str) -> None:
        process = self.world.site.processes[name]
        wait_until(lambda: not process.running, f"{name} ended")
        assert process.popen.returncode == 0, f"{name}: {process.popen.returncode}"

    def close(self) -> None:
        """Leave no thread and no operator behind."""
        self.callers.close()
        if self.watch is not None:
            self.watch.stop()
        for drain in self.drains.values():
            if drain.running:
                drain.kill()


@dataclass(slots=True)
class _StepTimes:
    """When each step began, for a failure's message.

    A fault that comes after the requests which it was meant for shows in no answer: on
    a machine that stands still for a moment, steps are late and answers are not.
    """

    file: str
    _began: list[tuple[int, float]] = field(default_factory=list)

    def began(self, line: int) -> None:
        """Note that the step in a line begins."""
        self._began.append((line, time.monotonic()))

    def __str__(self) -> str:
        first = self._began[0][1]
        times = [f"line {line} +{at - first:.2f} s" for line, at in self._began]
        return "steps began: " + ", ".join(times)


def run_scenario(scenario: steps.Scenario, world: World, name: str) -> None:
    """Run all steps after the given ones.

    Raises
    ------
    StepFailedError
        With the line of the first step that did not hold.
    """
    world.runs += 1
    callers = Callers(
        f"{name}-{world.runs}", lambda entry: world.site.address(entry, "listen")
    )
    run = _Run(world, callers)
    taken = _StepTimes(scenario.file)
    try:
        for line, step in scenario.steps:
            if not isinstance(step, steps.Given):
                _take(run, taken, line, step)
    finally:
        run.close()


def _take(run: _Run, taken: _StepTimes, line: int, step: steps.Step) -> None:
    taken.began(line)
    try:
        run.take(step)
    except (AssertionError, TimeoutError, RuntimeError) as error:
        raise StepFailedError(f"{taken.file}:{line}: {error}\n{taken}") from error
