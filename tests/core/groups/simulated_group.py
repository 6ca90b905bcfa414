"""Simulation of a group, its agents and coordinators on a controllable network."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from azurefold.core.groups.actions import (
    Action,
    GroupTiming,
    SendToCoordinator,
    SendToEngine,
    SendToRank,
)
from azurefold.core.groups.agent import RankAgent
from azurefold.core.groups.coordinator import Coordinator
from azurefold.core.groups.lead_time import LeadTimePolicy
from azurefold.core.groups.phases import ChangeInProgressError, Idle
from azurefold_standins.lockstep import LockstepGroup, lockstep_group
from azurefold_standins.lockstep_orders import give_order

TIMING = GroupTiming()
STEP_MS = 5


@dataclass(frozen=True, slots=True)
class Implementations:
    """The classes under test; mutants replace them."""

    agent: type[RankAgent] = RankAgent
    coordinator: type[Coordinator] = Coordinator


@dataclass(slots=True)
class SimulatedGroup:
    """A group with its agents, coordinators and network; all events are explicit."""

    group: LockstepGroup
    implementations: Implementations
    agents: list[RankAgent] = field(default_factory=list)
    coordinators: dict[int, Coordinator] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    network: list[SendToRank | SendToCoordinator] = field(default_factory=list)
    now: int = 0
    fence: int = 0

    def start_coordinator(self) -> None:
        self.fence += 1
        coordinator = self.implementations.coordinator(
            self.fence, self.group.size, "m0", TIMING, LeadTimePolicy()
        )
        self.coordinators[self.fence] = coordinator
        self.network += coordinator.start(self.now)

    def kill_coordinators(self) -> None:
        self.coordinators.clear()
        self.paused.clear()

    def pause_coordinator(self) -> None:
        self.paused.add(self.fence)

    def resume_coordinators(self) -> None:
        self.paused.clear()

    def start_change(self, map_id: str) -> None:
        coordinator = self.coordinators.get(self.fence)
        if coordinator is None or self.fence in self.paused:
            return
        try:
            self.network += coordinator.start_change(map_id, self.now)
        except ChangeInProgressError:
            return

    def restart_agent(self, rank: int) -> None:
        self.agents[rank] = self.implementations.agent(rank, self.group.size, TIMING)
        self._perform(rank, self.agents[rank].start())

    def replace_rank(self, rank: int) -> None:
        self.group.replace(rank)
        self.restart_agent(rank)

    def tick(self, elapsed: int) -> None:
        self.now += elapsed
        for fence, coordinator in self.coordinators.items():
            if fence not in self.paused:
                self.network += coordinator.tick(self.now)
        for rank, agent in enumerate(self.agents):
            self._perform(rank, agent.tick(self.now))

    def deliver_message(self, index: int) -> None:
        """Deliver one message out of order."""
        if self.network:
            send = self.network.pop(index % len(self.network))
            self._handle(send)

    def deliver_and_crash_agent(self, index: int) -> None:
        """Deliver one message; the agent crashes after its engine has replied."""
        if self.network:
            send = self.network.pop(index % len(self.network))
            self._handle(send, crash=True)

    def duplicate_message(self, index: int) -> None:
        if self.network:
            self.network.append(self.network[index % len(self.network)])

    def drop_message(self, index: int) -> None:
        if self.network:
            self.network.pop(index % len(self.network))

    def deliver_all(self, rounds: int = 1, *, skip: Iterable[int] = ()) -> None:
        """Deliver all messages in transit, except to the ranks in ``skip``."""
        for _ in range(rounds):
            in_transit, self.network = self.network, []
            for send in in_transit:
                if isinstance(send, SendToRank) and send.rank in skip:
                    self.network.append(send)
                else:
                    self._handle(send)

    def run(self, duration: int) -> None:
        """Run the group for ``duration`` ms on a network without faults."""
        for _ in range(duration // STEP_MS):
            self.tick(STEP_MS)
            self.deliver_all(2)
            self.group.advance(1)

    def restart_coordinator_until_idle(self) -> None:
        """Start a new coordinator and run the group until the coordinator is idle."""
        self.kill_coordinators()
        self.start_coordinator()
        self.deliver_all(2)
        for _ in range(40):
            if self.is_idle():
                return
            self.run(50)

    def is_idle(self) -> bool:
        coordinator = self.coordinators.get(self.fence)
        return coordinator is not None and isinstance(coordinator.phase, Idle)

    def check_maps_agree(self) -> None:
        disagreements = [record for record in self.group.history if not record.agrees()]
        assert not disagreements, f"ranks used different maps: {disagreements[0]}"

    def _handle(
        self, send: SendToRank | SendToCoordinator, *, crash: bool = False
    ) -> None:
        if isinstance(send, SendToRank):
            agent = self.agents[send.rank]
            actions = agent.receive(send.message, self.now)
            self._perform(send.rank, actions, crash=crash)
        elif send.fence in self.paused:
            self.network.append(send)
        elif send.fence in self.coordinators:
            coordinator = self.coordinators[send.fence]
            self.network += coordinator.receive(send.message, self.now)

    def _perform(
        self, rank: int, actions: list[Action], *, crash: bool = False
    ) -> None:
        for action in actions:
            if not isinstance(action, SendToEngine):
                self.network.append(action)
                continue
            reply = give_order(self.group, rank, action.order)
            if crash:
                self.restart_agent(rank)
                return
            self._perform(rank, self.agents[rank].receive_engine_reply(reply, self.now))


def make_simulated_group(
    size: int = 3,
    *,
    honours_fence: bool = True,
    implementations: Implementations | None = None,
) -> SimulatedGroup:
    """Return a running group with one idle coordinator."""
    group = lockstep_group(size, honours_fence=honours_fence)
    simulation = SimulatedGroup(group, implementations or Implementations())
    simulation.agents = [
        simulation.implementations.agent(rank, group.size, TIMING)
        for rank in range(group.size)
    ]
    for rank in range(group.size):
        simulation.restart_agent(rank)
    simulation.start_coordinator()
    simulation.deliver_all(2)
    return simulation
