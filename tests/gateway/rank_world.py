"""A group of ranks that loses answers to calls, before the real coordination code."""

import random
from dataclasses import dataclass, field

import gevent
from tests.gateway.conftest import settings_of

from azurefold.core.groups.map_orders import RankOrder, Verdict
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import Engine, RoutedService, RoutingConfiguration
from azurefold.core.routing.cells import Cell
from azurefold.gateway.groups.control import ServiceControl, new_service_control
from azurefold.gateway.state import new_gateway_state
from azurefold.internal.clock import monotonic_clock
from azurefold.platform.ranks import RankReport
from azurefold_standins.order_ranks import ModelGroup

SERVICE = "drafts"
PASS_MS = 20
ANSWER_MS = 3
REPORT_TIMEOUT_MS = 400
LATEST_EXECUTION_MS = 1_000


@dataclass
class LossWindow:
    """Answers that are lost for ``length_ms`` from the first order of a kind on.

    Parameters
    ----------
    first : type
        Kind of the order that begins the window.
    length_ms : int
    share : float
        Of the answers that are lost meanwhile.
    """

    first: type
    length_ms: int
    share: float = 1.0
    began: int | None = None
    end: int = 0


@dataclass(eq=False)
class RankWorld:
    """Ranks in lock-step, and gateways that coordinate them one after the other.

    Parameters
    ----------
    size : int
        Ranks of the group.
    losses : LossWindow
    seed : int
    """

    size: int
    losses: LossWindow
    seed: int = 0
    orders: list[RankOrder] = field(default_factory=list)
    terms: int = 0
    longest_standstill: int = 0
    _last_pass: int = 0

    def __post_init__(self) -> None:
        self.clock = monotonic_clock()
        self.group = ModelGroup(self.size)
        self.draw = random.Random(self.seed)
        self.control = self._new_control()
        self._last_pass = self.clock.now()

    @property
    def version(self) -> int:
        """Of the map that the first rank uses."""
        return self.group.ranks[0].version

    @property
    def is_losing(self) -> bool:
        """Whether answers are lost at present."""
        return self.losses.began is not None and self.clock.now() < self.losses.end

    def run(self, until, most_ms: int) -> None:
        """Run the group until a condition holds, for a time at most."""
        passes = gevent.spawn(self._compute)
        self.control.start()
        end = self.clock.now() + most_ms
        while self.clock.now() < end and not until():
            gevent.sleep(PASS_MS / 1_000)
        self.control.close()
        passes.kill()
        self._note_standstill()

    def client(self, endpoint: str, address: str) -> "WorldRankClient":
        """Return a client of one rank; stands for ``rank_client``."""
        return WorldRankClient(self, endpoint, int(endpoint[1:]))

    def next_version(self, above: int = 0) -> int:
        """Return the version of a new map."""
        return above + 1

    def resign_when_idle(self) -> None:
        """Have another gateway coordinate."""
        self.terms += 1
        gevent.spawn(self._succeed, self.control)

    def _succeed(self, former: ServiceControl) -> None:
        former.close()
        self.control = self._new_control()
        self.control.start()

    def _compute(self) -> None:
        while True:
            gevent.sleep(PASS_MS / 1_000)
            if self.group.begin_pass():
                self._note_standstill()
                self._last_pass = self.clock.now()

    def _note_standstill(self) -> None:
        stood = self.clock.now() - self._last_pass
        self.longest_standstill = max(self.longest_standstill, stood)

    def _new_control(self) -> ServiceControl:
        state = new_gateway_state(settings_of(), self.clock)
        engine = Engine(
            slots=3,
            layer_sets=1,
            experts=2 * self.size,
            expert_slots_per_rank=3,
            max_loads_per_change=2,
        )
        view = RoutedService(SERVICE, 1_000, engine)
        state.apply(RoutingConfiguration(2, (), {SERVICE: view}))
        service = state.services[SERVICE]
        entries = [
            EndpointEntry(f"e{rank}", SERVICE, f"10.0.{rank}.1:80", "dc-a", 3)
            for rank in range(self.size)
        ]
        service.set_endpoints(entries, Cell(), now=self.clock.now())
        popularity = [900 if e % self.size == 0 else 1 for e in range(2 * self.size)]
        return new_service_control(state, service, self, [popularity])


@dataclass(eq=False)
class WorldRankClient:
    """Calls to one rank, whose answers may be lost."""

    world: RankWorld
    endpoint: str
    rank: int

    def report(self) -> RankReport | None:
        gevent.sleep(ANSWER_MS / 1_000)
        if self._is_lost(None):
            gevent.sleep(REPORT_TIMEOUT_MS / 1_000)
            return None
        view = self.world.group.view(self.rank)
        return RankReport("group", self.world.size, view)

    def give(self, order, epoch, placements=(), timeout_ms=150) -> Verdict:
        gevent.sleep(ANSWER_MS / 1_000)
        self.world.orders.append(order)
        if not self._is_lost(order):
            return self._carry_out(order)
        match self.world.draw.choice(("at once", "late", "never")):
            case "at once":
                self._carry_out(order)
            case "late":
                delay_ms = self.world.draw.randrange(LATEST_EXECUTION_MS)
                gevent.spawn_later(delay_ms / 1_000, self._carry_out, order)
        gevent.sleep(timeout_ms / 1_000)
        return Verdict.LOST

    def close(self) -> None:
        pass

    def _is_lost(self, order: RankOrder | None) -> bool:
        losses = self.world.losses
        if losses.began is None and isinstance(order, losses.first):
            losses.began = self.world.clock.now()
            losses.end = losses.began + losses.length_ms
        return self.world.is_losing and self.world.draw.random() < losses.share

    def _carry_out(self, order: RankOrder) -> Verdict:
        group = self.world.group
        return group.ranks[self.rank].take(order, group.step)
