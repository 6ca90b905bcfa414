"""Few trials of parts that may crash endpoints are under way at once."""

import random

import pytest

from azurefold.core.attempts.part_trials import (
    PartTrials,
    TrialOnly,
    TrialPolicy,
    TrialRequest,
)

POLICY = TrialPolicy()
DEADLY = 1


@pytest.fixture
def trials():
    return PartTrials()


NODES = frozenset(f"n{number}" for number in range(6))


def trial_request(now, node="n0", arrived=None, draw=0.0, shared_now=0, nodes=NODES):
    arrived = now if arrived is None else arrived
    trial = TrialOnly(DEADLY, 3, 0)
    return TrialRequest(trial, now, arrived, draw, node, nodes, shared_now)


def test_what_waited_is_tried_by_one_node_at_a_time(trials):
    """Guards against all nodes sending trials when their group runs again."""
    for now in range(0, 12_000, POLICY.interval):
        allowed = [
            node
            for node in NODES
            if trials.may_try(
                trial_request(now, node, arrived=now - 500, shared_now=now)
            )
        ]
        assert len(allowed) == 1


def test_no_trial_follows_one_that_was_heard_of(trials):
    trials.record(DEADLY, 1_000)
    assert not trials.may_try(trial_request(1_000 + POLICY.interval - 1))
    assert trials.may_try(trial_request(1_000 + POLICY.interval))


@pytest.mark.parametrize("nodes", [6, 98, 390])
@pytest.mark.parametrize("per_second", [1, 20, 1_000])
def test_few_trials_are_sent_before_nodes_hear_of_the_first(nodes, per_second):
    """Guards against many trials of a popular part, and none of a rare one."""
    draws = random.Random(1)
    names = [f"n{number:03}" for number in range(nodes)]
    by_node = {name: PartTrials() for name in names}
    sent, now = [], 0.0
    while not sent or now - sent[0] < POLICY.hearing_delay:
        now += draws.expovariate(per_second / 1_000)
        assert now < 150_000
        name = draws.choice(names)
        by_node[name].record_prompt(round(now))
        request = trial_request(
            round(now), name, draw=draws.random(), shared_now=None, nodes=names
        )
        assert now >= POLICY.interval or not by_node[name].may_try(request)
        if by_node[name].may_try(request):
            by_node[name].record_sent(request)
            sent.append(now)
    assert len(sent) <= 4
