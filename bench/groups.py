"""Pause caused by a change of expert map, in steps.

A group of ranks runs at a fixed step time in simulated time. Messages between
the coordinator and the agents take a base latency plus an exponential tail; all
draws come from one seed, so the table is the same on each run. The time unit of
the simulation is 10 microseconds. The pause is the time by which the group has
fallen behind an undisturbed one, in steps.
"""

import heapq
import random
import sys
from dataclasses import dataclass, field
from statistics import mean

from azurefold.core.groups.actions import Action, GroupTiming, SendToEngine, SendToRank
from azurefold.core.groups.agent import RankAgent
from azurefold.core.groups.coordinator import Coordinator
from azurefold.core.groups.lead_time import LeadTimePolicy
from azurefold.core.groups.phases import Closing, Idle
from azurefold_standins.lockstep import LockstepGroup, lockstep_group
from azurefold_standins.lockstep_orders import give_order

UNIT_PER_MS = 100
RETRY_MS = 15


def timing_of(retry_ms: int) -> GroupTiming:
    """Return the protocol's waits in units of the simulation."""
    return GroupTiming(
        first_retry_delay=retry_ms * UNIT_PER_MS,
        max_retry_delay=500 * UNIT_PER_MS,
        peer_query_interval=200 * UNIT_PER_MS,
        close_timeout=400 * UNIT_PER_MS,
        coordinator_timeout=1_000 * UNIT_PER_MS,
        health_check_interval=200 * UNIT_PER_MS,
    )


TAIL_SHARE = 0.3
"""Mean of the exponential tail as a share of the base latency."""


@dataclass(slots=True)
class Simulation:
    """Events in simulated time; the coordinator is destination -1."""

    size: int
    latency: float
    step: int
    policy: LeadTimePolicy
    draws: random.Random
    loss: float = 0.0
    retry_ms: int = RETRY_MS
    now: int = 0
    events: list[tuple[int, int, int, object]] = field(default_factory=list)
    sequence: int = 0
    group: LockstepGroup = field(init=False)
    agents: list[RankAgent] = field(init=False)
    coordinator: Coordinator = field(init=False)
    leads: list[int] = field(default_factory=list)
    waited: int = 0

    def __post_init__(self) -> None:
        self.group = lockstep_group(self.size)
        timing = timing_of(self.retry_ms)
        self.agents = [RankAgent(r, self.size, timing) for r in range(self.size)]
        for rank, agent in enumerate(self.agents):
            self._perform(rank, agent.start())
        self.coordinator = Coordinator(1, self.size, "m0", timing, self.policy)
        self._send_all(self.coordinator.start(self.now))

    def run_until(self, end: int) -> None:
        """Execute steps and deliver messages up to ``end``."""
        next_step_at = self.now + self.step
        next_tick_at = self.now
        while self.now < end:
            message_at = self.events[0][0] if self.events else end
            self.now = min(message_at, next_step_at, next_tick_at, end)
            if self.events and self.events[0][0] <= self.now:
                self._deliver()
            elif next_tick_at <= self.now:
                next_tick_at = self.now + 5 * UNIT_PER_MS
                self._tick()
            elif next_step_at <= self.now:
                if self.group.advance(1):
                    next_step_at = self.now + self.step
                else:
                    # A held group begins its step as soon as it may.
                    next_step_at = self.now + 1
                    self.waited += 1

    def change(self, map_id: str) -> None:
        """Begin a change."""
        self._send_all(self.coordinator.start_change(map_id, self.now))

    def _tick(self) -> None:
        self._send_all(self.coordinator.tick(self.now))
        for rank, agent in enumerate(self.agents):
            self._perform(rank, agent.tick(self.now))

    def _deliver(self) -> None:
        _, _, to, message = heapq.heappop(self.events)
        if to >= 0:
            self._perform(to, self.agents[to].receive(message, self.now))
            return
        before = self.coordinator.phase
        self._send_all(self.coordinator.receive(message, self.now))
        after = self.coordinator.phase
        if isinstance(after, Closing) and after is not before and after.step:
            self.leads.append(after.step - self.group.next_step)

    def _send_all(self, actions: list[Action]) -> None:
        for action in actions:
            to = action.rank if isinstance(action, SendToRank) else -1
            if self.draws.random() < self.loss:
                continue
            tail = self.draws.expovariate(1 / (TAIL_SHARE * self.latency))
            self.sequence += 1
            arrival = self.now + max(1, round(self.latency + tail))
            heapq.heappush(self.events, (arrival, self.sequence, to, action.message))

    def _perform(self, rank: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendToEngine):
                reply = give_order(self.group, rank, action.order)
                self._perform(
                    rank, self.agents[rank].receive_engine_reply(reply, self.now)
                )
            else:
                self._send_all([action])


def measure(
    size: int,
    latency_ms: float,
    step_ms: float,
    changes: int,
    policy: LeadTimePolicy,
    loss: float = 0.0,
    retry_ms: int = RETRY_MS,
) -> dict:
    """Return pauses, leads and failures over ``changes`` changes."""
    step = round(step_ms * UNIT_PER_MS)
    draws = random.Random(20_260_101)
    world = Simulation(
        size, latency_ms * UNIT_PER_MS, step, policy, draws, loss, retry_ms
    )
    world.run_until(500 * UNIT_PER_MS)
    pauses, opened = [], 0
    for serial in range(changes):
        while not isinstance(world.coordinator.phase, Idle):
            world.run_until(world.now + UNIT_PER_MS)
        before = world.waited
        world.change(f"map-{serial}")
        world.run_until(world.now + 400 * UNIT_PER_MS)
        pauses.append((world.waited - before) / step)
        opened += world.group.history[-1].maps[0] == f"map-{serial}"
    assert all(record.agrees() for record in world.group.history)
    return {
        "size": size,
        "latency_ms": latency_ms,
        "step_ms": step_ms,
        "loss": loss,
        "retry_ms": retry_ms,
        "changes": changes,
        "opened": opened,
        "lead_steps": round(mean(world.leads), 1),
        "paused": sum(pause > 0 for pause in pauses),
        "mean_pause_steps": round(mean(pauses), 3),
        "worst_pause_steps": round(max(pauses), 2),
    }


def run(size: str) -> dict:
    """Return rows for all settings; ``size`` is ``tiny`` or ``full``."""
    changes = 5 if size == "tiny" else 100
    latencies = [0.5] if size == "tiny" else [0.5, 1.5, 5.0]
    steps = [5.0] if size == "tiny" else [3.0, 8.0, 20.0]
    policy = LeadTimePolicy(default_step_time=5.0 * UNIT_PER_MS)
    half = LeadTimePolicy(latency_margin=0.6, default_step_time=5.0 * UNIT_PER_MS)
    none = LeadTimePolicy(latency_margin=0.0, default_step_time=5.0 * UNIT_PER_MS)
    rows = [
        {"lead": "measured", **measure(ranks, latency, step, changes, policy)}
        for ranks in (4, 32)
        for latency in latencies
        for step in steps
    ]
    for ranks in (4, 32):
        slow = latencies[-1]
        for name, naive in (("one step", none), ("short", half)):
            row = measure(ranks, slow, 5.0, changes, naive)
            rows.append({"lead": name, **row})
        for retry_ms in (RETRY_MS, 50):
            row = measure(ranks, slow, 5.0, changes, policy, 0.01, retry_ms)
            rows.append({"lead": "measured", **row})
    return {"pause_of_a_map_change": rows}


def main() -> None:
    """Print the table."""
    rows = run(sys.argv[1] if len(sys.argv) > 1 else "full")["pause_of_a_map_change"]
    sys.stdout.write(" | ".join(rows[0]) + "\n")
    for row in rows:
        sys.stdout.write(" | ".join(str(value) for value in row.values()) + "\n")


if __name__ == "__main__":
    main()
