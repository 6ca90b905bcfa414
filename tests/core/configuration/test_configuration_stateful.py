"""Followers and acceptance under concurrent operators, lost answers and partitions.

Guards against an accepted configuration that is reverted in one data centre, and
against a wrong outcome reported to an operator. Hypothesis draws sequences of the
failures in ``configuration_machine.py``. Each mutant below removes one mechanism
and must be caught, which shows that the mechanism is needed.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from tests.core.configuration.configuration_machine import ConfigurationMachine
from tests.core.configuration.simulated_site import SimulatedSite

from azurefold.core.configuration import follower as follower_module
from azurefold.core.configuration.acceptance import (
    Acceptance,
    NotAccepted,
    OutcomeUnknown,
)
from azurefold.core.configuration.follower import Follower, FollowerPolicy
from azurefold.core.configuration.messages import Platform, WriteBack

TestConfiguration = ConfigurationMachine.TestCase

MUTANT_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    stateful_step_count=30,
    report_multiple_bugs=False,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class AppliesOlderHeads(Follower):
    """Follows the platform to a lower revision as well."""

    def _on_older_or_forked_head(self, head_id, row_version):
        self._head = follower_module.NO_HEAD
        self._head_id = self._head.head_id
        return self._record_offer(Platform(), head_id, 0) if head_id.revision else []


class RaisesNoAlarms(Follower):
    """Raises no alarm."""

    def _raise_alarm(self, kind, received):
        return []


class IgnoresPeers(Follower):
    """Ignores the announcements of peers."""

    def _on_announcement(self, event, now):
        return []


class KeepsRestoredCopy(Follower):
    """Does not write the held head back over an older copy."""

    def _on_older_or_forked_head(self, head_id, row_version):
        actions = super()._on_older_or_forked_head(head_id, row_version)
        return [action for action in actions if not isinstance(action, WriteBack)]


class ReportsLostAnswerAsFailure(Acceptance):
    """Reports that an edit was not accepted when the answer is lost."""

    def handle(self, result, now):
        if isinstance(result, OutcomeUnknown):
            return NotAccepted("no answer")
        return super().handle(result, now)


class IgnoresOwnRow(Acceptance):
    """Reports every conflict as a failure, also one with the edit's own row."""

    def _resolve_conflict(self, conflict):
        return NotAccepted("another edit was accepted", conflict.current)


def _make_machine(**site_options):
    class Machine(ConfigurationMachine):
        def make_site(self):
            return SimulatedSite(**site_options)

    return Machine


@pytest.mark.parametrize(
    ("mutant", "message"),
    [
        (AppliesOlderHeads, "applied an older head"),
        (RaisesNoAlarms, "no alarm for a fork"),
        (IgnoresPeers, "did not reach"),
        (KeepsRestoredCopy, "the platform kept the old copy"),
    ],
)
def test_follower_mutant_is_caught(mutant, message):
    def create_mutant(name, data_centre):
        return mutant(name, data_centre, FollowerPolicy())

    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(
            _make_machine(make_follower=create_mutant), settings=MUTANT_SETTINGS
        )


@pytest.mark.parametrize("mutant", [ReportsLostAnswerAsFailure, IgnoresOwnRow])
def test_acceptance_mutant_is_caught(mutant):
    with pytest.raises(AssertionError, match="reported not accepted, but was"):
        run_state_machine_as_test(
            _make_machine(make_acceptance=mutant), settings=MUTANT_SETTINGS
        )


def test_follower_that_skips_hash_check_is_caught(monkeypatch):
    class EqualToAnyHash:
        """Equals any hash, so that corrupted contents pass the check."""

        def __eq__(self, other):
            return True

    monkeypatch.setattr(follower_module, "content_hash", lambda data: EqualToAnyHash())
    with pytest.raises(AssertionError, match="applied wrong content"):
        run_state_machine_as_test(ConfigurationMachine, settings=MUTANT_SETTINGS)
