"""Coordinates one group while this process holds the group's lease."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import msgspec
from prometheus_client import Counter

from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.model import Group
from azurefold.core.groups.actions import Action, GroupTiming, SendToRank
from azurefold.core.groups.coordinator import Coordinator
from azurefold.core.groups.lead_time import LeadTimePolicy
from azurefold.core.groups.lease import Lease, LeaseAction, ReadLease
from azurefold.core.groups.messages import Message
from azurefold.core.groups.phases import (
    ChangeInProgressError,
    Deposed,
    Idle,
    Outcome,
)
from azurefold.internal.logs import log_event
from azurefold.site_store.lease_table import LeaseTable
from azurefold.wire.group_messages import (
    METHOD_RANK_MESSAGE,
    ChangeMapReply,
    RankMessage,
    RankReply,
    envelope,
    opened,
)
from azurefold.wire.grpc_caller import Caller, CallError

__all__ = ["GroupLead"]

_log = logging.getLogger("azurefold.control")

_SECOND_MS = 1_000
_LEASE_TICK_MS: Millis = 50
_BUSY_TICK_MS: Millis = 5
_IDLE_TICK_MS: Millis = 50
_CALL_TIMEOUT_MS: Millis = 400
_FIRST_MAP = "m0"
"""The map that engines are started with, if no other was ever put in force."""


@dataclass(slots=True)
class GroupLead:
    """Holds the lease if it can, and the coordinator under it.

    Parameters
    ----------
    group : Group
    lease : Lease
    table : LeaseTable
    clock : Clock
        Monotonic.
    caller_of : callable
        Returns a caller of an endpoint's agent, None if its address is unknown.
    ended : Counter
        Changes ended, by group and outcome.
    """

    group: Group
    lease: Lease
    table: LeaseTable
    clock: Clock
    caller_of: Callable[[str], Caller | None]
    ended: Counter
    coordinator: Coordinator | None = None
    outcomes: dict[Outcome, int] = field(default_factory=dict)
    deposed: int = 0
    _target: str | None = None
    _settled: int = 0
    stopped: bool = False
    _calls: set[SendToRank] = field(default_factory=set)

    @property
    def fence(self) -> int | None:
        """The lease's number while this process holds it."""
        return self.lease.fence_at(self.clock.now())

    @property
    def holder(self) -> str:
        """Name of the process that holds the lease, as far as known."""
        row = self.lease.row
        return row.holder.partition("/")[0] if row and not row.released else ""

    def run_lease(self) -> None:
        """Compete for the lease, or renew it, for ever."""
        while not self.stopped:
            action = self.lease.tick(self.clock.now())
            if action is not None:
                self._ask_table(action)
            gevent.sleep(_LEASE_TICK_MS / _SECOND_MS)

    def run_coordinator(self) -> None:
        """Drive the coordinator for ever, as long as the lease is held."""
        while not self.stopped:
            self.step()
            gevent.sleep(self._tick_ms() / _SECOND_MS)

    def step(self) -> None:
        """Follow the lease, then let the coordinator do what is due."""
        now, fence = self.clock.now(), self.fence
        if self.coordinator is not None and self.coordinator.fence != fence:
            self._end("lease_lost")
        if fence is None:
            return
        if self.coordinator is None:
            self._begin(fence, now)
            return
        self._carry_out(self.coordinator, self.coordinator.tick(now))
        self._take_note(self.coordinator)

    def change(self, map_id: str) -> ChangeMapReply:
        """Begin to put ``map_id`` in force."""
        if self.fence is None or self.coordinator is None:
            return ChangeMapReply(False, self.holder, "ask the holder of the lease")
        coordinator = self.coordinator
        try:
            actions = coordinator.start_change(map_id, self.clock.now())
        except ChangeInProgressError as error:
            return ChangeMapReply(False, self.holder, str(error))
        log_event(_log, "change_begun", group=self.group.name, map=map_id)
        self._target = map_id
        self._carry_out(coordinator, actions)
        return ChangeMapReply(True, self.holder)

    def stop(self) -> None:
        """Give the lease up, so that another process follows at once."""
        self.stopped = True
        write = self.lease.release(self.clock.now())
        self.coordinator = None
        if write is not None:
            self.table.write(self.group.name, write)

    def status(self) -> dict:
        """Return what an operator may want to see."""
        coordinator = self.coordinator
        outcome = coordinator.outcome if coordinator else None
        return {
            "holder": self.holder,
            "fence": self.fence,
            "map": self.lease.map_id,
            "phase": type(coordinator.phase).__name__.lower() if coordinator else None,
            "changing_to": self._target,
            "last_outcome": outcome.value if outcome else None,
            "outcomes": {kind.value: n for kind, n in self.outcomes.items()},
            "deposed": self.deposed,
        }

    def _ask_table(self, action: LeaseAction) -> None:
        name = self.group.name
        if isinstance(action, ReadLease):
            seen = self.table.read(name)
            self.lease.on_read(seen, self.clock.now())
            return
        outcome = self.table.write(name, action)
        self.lease.on_write_outcome(outcome, self.clock.now())

    def _tick_ms(self) -> Millis:
        idle = self.coordinator is None or isinstance(self.coordinator.phase, Idle)
        return _IDLE_TICK_MS if idle else _BUSY_TICK_MS

    def _begin(self, fence: int, now: Millis) -> None:
        fallback = self.lease.map_id or _FIRST_MAP
        size = len(self.group.endpoints)
        timing, policy = GroupTiming(), LeadTimePolicy()
        self.coordinator = Coordinator(fence, size, fallback, timing, policy)
        self._settled = 0
        log_event(_log, "lease_held", group=self.group.name, fence=fence)
        self._carry_out(self.coordinator, self.coordinator.start(now))

    def _end(self, why: str) -> None:
        log_event(_log, why, group=self.group.name, fence=self.coordinator.fence)
        self.coordinator = None
        self._target = None

    def _carry_out(self, coordinator: Coordinator, actions: list[Action]) -> None:
        # The coordinator repeats a message after 15 ms, which is right where
        # messages get lost. A call does not: it ends with an answer, an error or a
        # timeout. Repeated meanwhile, it would cost a group of 32 ranks two or
        # three times the calls just when this process has most to do.
        for action in actions:
            if isinstance(action, SendToRank) and action not in self._calls:
                self._calls.add(action)
                gevent.spawn(self._send, coordinator, action)

    def _send(self, coordinator: Coordinator, send: SendToRank) -> None:
        try:
            answers = self._call(coordinator, send)
        finally:
            self._calls.discard(send)
        for answer in answers:
            if coordinator is self.coordinator:
                actions = coordinator.receive(answer, self.clock.now())
                self._carry_out(coordinator, actions)
                self._take_note(coordinator)

    def _call(self, coordinator: Coordinator, send: SendToRank) -> list[Message]:
        # Looked at right before each send: a process that was paused may come
        # to itself anywhere. Ranks refuse it by its fence all the same.
        caller = self.caller_of(self.group.endpoints[send.rank])
        if caller is None or self.fence != coordinator.fence:
            return []
        request = RankMessage(
            group=self.group.name,
            rank=send.rank,
            size=len(self.group.endpoints),
            content=envelope(send.message),
        )
        try:
            reply = caller.call(
                METHOD_RANK_MESSAGE, request, RankReply, _CALL_TIMEOUT_MS
            )
            return [opened(content) for content in reply.contents]
        except (CallError, msgspec.ValidationError) as error:
            # The coordinator repeats what is not answered.
            log_event(_log, "rank_failed", logging.DEBUG, rank=send.rank, why=error)
            return []

    def _take_note(self, coordinator: Coordinator) -> None:
        match coordinator.phase:
            case Deposed(by_fence):
                self.deposed += 1
                self.lease.abandon(by_fence)
                self._end("deposed")
            case Idle() if coordinator.active_map is not None:
                self.lease.record_active_map(coordinator.active_map)
        if coordinator.finished_count > self._settled:
            self._settle(coordinator)

    def _settle(self, coordinator: Coordinator) -> None:
        self._settled = coordinator.finished_count
        outcome = coordinator.outcome
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.ended.labels(group=self.group.name, outcome=outcome.value).inc()
        log_event(
            _log,
            "change_ended",
            group=self.group.name,
            outcome=outcome.value,
            map=coordinator.active_map,
        )
        self._target = None
