"""Racing operators, lost answers, cuts, restored copies: what holds through all.

Symptom: a configuration that was accepted is gone again in one data centre, or
an operator acts on an answer that was a guess.
Sequence: drawn by Hypothesis from the failures in ``configuration_machine.py``.
Cause: each mutant below takes one mechanism away and shows that it is needed.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from tests.core.configuration.configuration_machine import ConfigurationMachine
from tests.core.configuration.simulated_site import World

from azurefold.core.configuration import follower as follower_module
from azurefold.core.configuration.acceptance import (
    Acceptance,
    NotAccepted,
    OutcomeUnknown,
)
from azurefold.core.configuration.follower import Follower, FollowerPolicy
from azurefold.core.configuration.messages import Platform, WriteBack

TestConfiguration = ConfigurationMachine.TestCase

HUNT = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    stateful_step_count=30,
    report_multiple_bugs=False,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class GoesBack(Follower):
    """Follows the platform to a lower revision as well."""

    def _on_older_or_forked_head(self, head_id, row_version):
        self._head = follower_module.NO_HEAD
        self._head_id = self._head.head_id
        return self._record_offer(Platform(), head_id, 0) if head_id.revision else []


class KeepsQuiet(Follower):
    """Raises no alarm."""

    def _raise_alarm(self, kind, received):
        return []


class AsksThePlatformOnly(Follower):
    """Takes nothing from peers."""

    def _on_announcement(self, event, now):
        return []


class LeavesTheOldCopy(Follower):
    """Does not write the held head back over an older copy."""

    def _on_older_or_forked_head(self, head_id, row_version):
        actions = super()._on_older_or_forked_head(head_id, row_version)
        return [each for each in actions if not isinstance(each, WriteBack)]


class GuessesAfterALoss(Acceptance):
    """Tells an operator that an edit was not accepted when the answer is lost."""

    def handle(self, event, now):
        if isinstance(event, OutcomeUnknown):
            return NotAccepted("no answer")
        return super().handle(event, now)


class TakesItselfForARival(Acceptance):
    """Believes each conflict, also one with its own row."""

    def _resolve_conflict(self, conflict):
        return NotAccepted("a rival won", conflict.current)


def _machine(**parts):
    class Machine(ConfigurationMachine):
        def make_world(self):
            return World(**parts)

    return Machine


@pytest.mark.parametrize(
    ("mutant", "told"),
    [
        (GoesBack, "went back"),
        (KeepsQuiet, "a fork without an alarm"),
        (AsksThePlatformOnly, "did not follow"),
        (LeavesTheOldCopy, "the old copy stayed in place"),
    ],
)
def test_follower_without_one_mechanism_is_caught(mutant, told):
    def make(name, data_centre):
        return mutant(name, data_centre, FollowerPolicy())

    with pytest.raises(AssertionError, match=told):
        run_state_machine_as_test(_machine(make_follower=make), settings=HUNT)


@pytest.mark.parametrize("mutant", [GuessesAfterALoss, TakesItselfForARival])
def test_acceptance_without_one_mechanism_is_caught(mutant):
    with pytest.raises(AssertionError, match="told not, but was"):
        run_state_machine_as_test(_machine(make_acceptance=mutant), settings=HUNT)


def test_follower_that_trusts_contents_is_caught(monkeypatch):
    class Anything:
        """Equals any hash, so that damaged contents pass."""

        def __eq__(self, other):
            return True

    monkeypatch.setattr(follower_module, "content_hash", lambda data: Anything())
    with pytest.raises(AssertionError, match="applied other content"):
        run_state_machine_as_test(ConfigurationMachine, settings=HUNT)
