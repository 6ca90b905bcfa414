"""A group, its agents and coordinators over a network that the test controls."""

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
STEP_TIME = 5


@dataclass(frozen=True, slots=True)
class Kinds:
    """The classes under test; mutants put their own in."""

    agent: type[RankAgent] = RankAgent
    coordinator: type[Coordinator] = Coordinator


@dataclass(slots=True)
class World:
    """Everything between the ranks; nothing moves unless told."""

    group: LockstepGroup
    kinds: Kinds
    agents: list[RankAgent] = field(default_factory=list)
    coordinators: dict[int, Coordinator] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    network: list[SendToRank | SendToCoordinator] = field(default_factory=list)
    now: int = 0
    fence: int = 0

    def take_over(self) -> None:
        self.fence += 1
        coordinator = self.kinds.coordinator(
            self.fence, self.group.size, "m0", TIMING, LeadTimePolicy()
        )
        self.coordinators[self.fence] = coordinator
        self.network += coordinator.start(self.now)

    def kill_coordinators(self) -> None:
        self.coordinators.clear()
        self.paused.clear()

    def pause(self) -> None:
        self.paused.add(self.fence)

    def resume(self) -> None:
        self.paused.clear()

    def change(self, map_id: str) -> None:
        coordinator = self.coordinators.get(self.fence)
        if coordinator is None or self.fence in self.paused:
            return
        try:
            self.network += coordinator.start_change(map_id, self.now)
        except ChangeInProgressError:
            return

    def restart_agent(self, rank: int) -> None:
        self.agents[rank] = self.kinds.agent(rank, self.group.size, TIMING)
        self._perform(rank, self.agents[rank].start())

    def replace_rank(self, rank: int) -> None:
        self.group.replace(rank)
        self.restart_agent(rank)

    def tick(self, by: int) -> None:
        self.now += by
        for fence, coordinator in self.coordinators.items():
            if fence not in self.paused:
                self.network += coordinator.tick(self.now)
        for rank, agent in enumerate(self.agents):
            self._perform(rank, agent.tick(self.now))

    def deliver(self, index: int) -> None:
        """Deliver one message out of order."""
        if self.network:
            envelope = self.network.pop(index % len(self.network))
            self._hand_over(envelope)

    def crash_on(self, index: int) -> None:
        """Deliver one message; the agent dies when its engine has obeyed."""
        if self.network:
            envelope = self.network.pop(index % len(self.network))
            self._hand_over(envelope, crash=True)

    def duplicate(self, index: int) -> None:
        if self.network:
            self.network.append(self.network[index % len(self.network)])

    def drop(self, index: int) -> None:
        if self.network:
            self.network.pop(index % len(self.network))

    def deliver_all(self, rounds: int = 1, *, skip: Iterable[int] = ()) -> None:
        """Deliver what is under way, except to the ranks in ``skip``."""
        for _ in range(rounds):
            under_way, self.network = self.network, []
            for envelope in under_way:
                if isinstance(envelope, SendToRank) and envelope.rank in skip:
                    self.network.append(envelope)
                else:
                    self._hand_over(envelope)

    def run(self, duration: int) -> None:
        """Let time pass on a sound network, at the usual pace."""
        for _ in range(duration // STEP_TIME):
            self.tick(STEP_TIME)
            self.deliver_all(2)
            self.group.advance(1)

    def settle(self) -> None:
        """Let a fresh coordinator bring a sound group to rest."""
        self.kill_coordinators()
        self.take_over()
        self.deliver_all(2)
        for _ in range(40):
            if self.is_idle():
                return
            self.run(50)

    def is_idle(self) -> bool:
        coordinator = self.coordinators.get(self.fence)
        return coordinator is not None and isinstance(coordinator.phase, Idle)

    def check(self) -> None:
        torn = [record for record in self.group.history if not record.agrees()]
        assert not torn, f"ranks used different maps: {torn[0]}"

    def _hand_over(
        self, envelope: SendToRank | SendToCoordinator, *, crash: bool = False
    ) -> None:
        if isinstance(envelope, SendToRank):
            agent = self.agents[envelope.rank]
            actions = agent.receive(envelope.message, self.now)
            self._perform(envelope.rank, actions, crash=crash)
        elif envelope.fence in self.paused:
            self.network.append(envelope)
        elif envelope.fence in self.coordinators:
            coordinator = self.coordinators[envelope.fence]
            self.network += coordinator.receive(envelope.message, self.now)

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


def make_world(
    size: int = 3, *, honours_fence: bool = True, kinds: Kinds | None = None
) -> World:
    """Return a running group with one coordinator that is idle."""
    group = lockstep_group(size, honours_fence=honours_fence)
    world = World(group, kinds or Kinds())
    world.agents = [
        world.kinds.agent(rank, group.size, TIMING) for rank in range(group.size)
    ]
    for rank in range(group.size):
        world.restart_agent(rank)
    world.take_over()
    world.deliver_all(2)
    return world
