"""A group is never held for good, whatever its ranks or its coordinator do."""

import random
from itertools import pairwise

import gevent
import gevent.pool
import pytest
from tests.gateway.rank_world import (
    LATEST_EXECUTION_MS,
    LossWindow,
    RankWorld,
    Stop,
    StopAt,
)
from tests.gateway.simulated_time import simulated_time

from azurefold.core.groups.map_change import MapChange
from azurefold.core.groups.map_orders import Arm, Hold, Prepare, Release, Verdict
from azurefold.gateway.groups import changes, control, coordinator, rank_calls

RUNS_AGAIN_WITHIN_MS = 3_000
LOST_FOR_MS = 1_000
STARTS_WITHIN_MS = 2_500

ORDERS = [Prepare, Hold, Arm, Release]


@pytest.fixture
def run_in_real_time(monkeypatch):
    """Return a function that runs several groups side by side."""
    worlds = {}

    def client(endpoint, address):
        return worlds[endpoint.split("-")[0]].client(endpoint)

    monkeypatch.setattr(rank_calls, "rank_client", client)

    def run(made, until, most_ms):
        worlds.update({world.name: world for world in made})
        gevent.joinall(
            [gevent.spawn(world.run, until, most_ms) for world in made],
            raise_error=True,
        )

    return run


@pytest.fixture
def run_worlds(run_in_real_time):
    """Return the same, but for worlds in simulated time.

    In real time, the result depends on the processor time that other processes leave:
    one process plays up to twelve groups and all of their gateways.
    """
    with simulated_time():
        yield run_in_real_time


def has_outlived_losses(world):
    return world.losses.began and not world.is_losing and world.version


def has_outlived_stop(world):
    return world.stopped and world.version and not world.group.is_held


def check_runs_again(world, lost_for=0):
    assert world.longest_standstill <= lost_for + RUNS_AGAIN_WITHIN_MS
    assert world.group.split_at is None
    assert world.version > 0


@pytest.mark.parametrize("first", ORDERS)
def test_a_group_larger_than_the_call_limit_outlives_lost_answers(run_worlds, first):
    """Calls that wait for a free place hold all places: the group stands for good."""
    worlds = [
        RankWorld(size, losses=LossWindow(first, LOST_FOR_MS))
        for size in (8, 24, 25, 72, 192)
    ]
    most_ms = STARTS_WITHIN_MS + LOST_FOR_MS + 2 * RUNS_AGAIN_WITHIN_MS
    run_worlds(worlds, has_outlived_losses, most_ms)
    for world in worlds:
        assert world.losses.began is not None
        check_runs_again(world, LOST_FOR_MS)


@pytest.mark.parametrize(
    ("gateways", "stop"),
    [
        # Without another gateway nobody could take over from a stopped process.
        *((1, stop) for stop in (Stop.GROUP_LOOP, Stop.LOOK_LOOP)),
        *((gateways, stop) for gateways in (6, 98, 390) for stop in Stop),
    ],
)
def test_a_group_outlives_a_coordinator_that_stops(run_worlds, gateways, stop):
    """A coordinator whose loop has stopped keeps the lease, and the group held."""
    sizes = [16, 72] if gateways > 6 else [16, 72, 192, 384]
    orders = [Hold, Arm] if gateways > 6 else ORDERS
    worlds = [
        RankWorld(size, gateways, stop=StopAt(order, stop))
        for size in sizes
        for order in orders
    ]
    run_worlds(worlds, has_outlived_stop, STARTS_WITHIN_MS + 2 * RUNS_AGAIN_WITHIN_MS)
    for world in worlds:
        assert world.stopped
        check_runs_again(world)


def _draw_world(draw):
    losses = LossWindow(
        first=draw.choice(ORDERS),
        length_ms=draw.randrange(100, 2_000),
        share=draw.choice((0.1, 0.35, 0.7, 1.0)),
    )
    stop = StopAt(
        draw.choice(ORDERS),
        draw.choice((Stop.GROUP_LOOP, Stop.LOOK_LOOP)),
        draw.randrange(1, 8),
    )
    return RankWorld(
        draw.randrange(8, 384),
        draw.choice((1, 2, 6)),
        losses,
        draw.choice((None, stop)),
        seed=draw.randrange(1_000),
    )


# At 30 both gateways of a group resigned within two seconds.
@pytest.mark.parametrize("seed", [1, 2, 3, 30])
def test_any_group_runs_again_whatever_is_lost_or_stops(run_worlds, seed):
    draw = random.Random(seed)
    worlds = [_draw_world(draw) for _ in range(12)]
    most_ms = STARTS_WITHIN_MS + 2_000 + 2 * RUNS_AGAIN_WITHIN_MS
    run_worlds(worlds, lambda world: False, most_ms)
    for world in worlds:
        # Orders may be carried out for a while after the last answer was lost.
        has_lost = world.losses.began is not None
        lost_for = world.losses.length_ms + LATEST_EXECUTION_MS if has_lost else 0
        assert world.longest_standstill <= lost_for + RUNS_AGAIN_WITHIN_MS
        assert world.group.split_at is None


def _wait_for_a_place(monkeypatch):
    pool = gevent.pool.Pool(rank_calls._CALLS_AT_ONCE)

    def submit(self, call, *, is_order=False):
        pool.spawn(call)

    def put_down(self, answer):
        self._take_in(answer)

    monkeypatch.setattr(rank_calls.RankCalls, "submit", submit)
    monkeypatch.setattr(changes.GroupChanges, "_put_down", put_down)
    monkeypatch.setattr(control.ServiceControl, "find_stall", lambda self: None)


def _watch_nobody(monkeypatch):
    monkeypatch.setattr(control.ServiceControl, "find_stall", lambda self: None)


def _renew_without_turning(monkeypatch):
    monkeypatch.setattr(coordinator, "_STALLED_MS", 1_000_000)


@pytest.mark.parametrize(
    ("mutate", "world"),
    [
        (_wait_for_a_place, {"losses": LossWindow(Arm, LOST_FOR_MS)}),
        (_watch_nobody, {"stop": StopAt(Arm, Stop.GROUP_LOOP)}),
        (_renew_without_turning, {"stop": StopAt(Arm, Stop.COORDINATOR_LOOP)}),
    ],
)
def test_a_mutant_that_keeps_a_group_held_is_detected(
    run_worlds, monkeypatch, mutate, world
):
    mutate(monkeypatch)
    held = RankWorld(72, gateways=6, **world)
    run_worlds([held], lambda world: False, STARTS_WITHIN_MS + 2 * RUNS_AGAIN_WITHIN_MS)
    with pytest.raises(AssertionError):
        check_runs_again(held, LOST_FOR_MS if held.losses else 0)


def test_a_late_answer_does_not_keep_the_loop_turning(run_in_real_time):
    """A late answer to a change that has ended leaves no time for other work."""
    world = RankWorld(16)
    ended = MapChange(version=1, epoch=1, size=16)
    late = changes._OrderAnswer(ended, 0, Release(1), Verdict.LOST)

    def put_down_late_answers(world):
        if world.version:
            [control] = world.leader.coordinator._controls.values()
            [group] = control._controls.values()
            group.changes._put_down(late)
            turns.append(group._turns)
        return False

    turns = []
    run_in_real_time([world], put_down_late_answers, STARTS_WITHIN_MS)
    # One turn for each answer and each tick.
    assert max(b - a for a, b in pairwise(turns)) <= 5
