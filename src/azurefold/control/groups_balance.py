"""Decides on a group's expert map by what its ranks report."""

import logging
from dataclasses import dataclass, field

import gevent

from azurefold.control.groups_lead import GroupLead
from azurefold.core.balance.explain import explain_proposal
from azurefold.core.balance.move_search import propose_rebalance
from azurefold.core.balance.placement import validate_assignment
from azurefold.core.balance.policy import DAY_MS, BalancePolicy, MoveWindow
from azurefold.core.balance.proposal import Proposal
from azurefold.core.clock import Clock, Millis
from azurefold.core.configuration.model import Balance
from azurefold.core.groups.popularity import GroupPopularity, new_group_popularity
from azurefold.internal.logs import log_event
from azurefold.wire.group_maps import (
    METHOD_GET_EXPERTS,
    METHOD_PUT_MAP,
    ExpertsReply,
    GetExperts,
    PutMap,
    PutMapReply,
    RebalanceReply,
    encode_map,
    map_id_of,
)
from azurefold.wire.grpc_caller import CallError

__all__ = ["GroupBalance", "policy_from", "proposed_map"]

_log = logging.getLogger("azurefold.control")

_SECOND_MS = 1_000
_MINUTE_MS = 60_000
_READ_EVERY_MS: Millis = 5_000
_CALL_TIMEOUT_MS: Millis = 2_000


@dataclass(slots=True)
class GroupBalance:
    """Reads the ranks' reports and proposes maps, while the lease is held.

    Parameters
    ----------
    lead : GroupLead
    policy : BalancePolicy
    wall : Clock
        For the time of day only.
    """

    lead: GroupLead
    policy: BalancePolicy
    wall: Clock
    popularity: GroupPopularity = field(init=False)
    decisions: int = 0

    def __post_init__(self) -> None:
        self.popularity = new_group_popularity(self.policy.interval)

    def run(self) -> None:
        """Read reports, and decide once an interval, until the group is given up."""
        decide_at = self._now() + self.policy.interval
        while not self.lead.stopped:
            gevent.sleep(_READ_EVERY_MS / _SECOND_MS)
            if self.lead.fence is None:
                self.popularity = new_group_popularity(self.policy.interval)
                continue
            self.read()
            if self._now() >= decide_at:
                decide_at = self._now() + self.policy.interval
                self.decide(explain_only=False)

    def read(self) -> None:
        """Take in a report of every rank; nothing changes if one is missing."""
        asked = [
            gevent.spawn(self._call, rank, METHOD_GET_EXPERTS, ExpertsReply, None)
            for rank in range(len(self.lead.group.endpoints))
        ]
        gevent.joinall(asked)
        reports = [each.value.report if each.value else None for each in asked]
        if all(report is not None for report in reports):
            self.popularity = self.popularity.with_reports(tuple(reports), self._now())

    def rebalance(self, explain_only: bool) -> RebalanceReply:
        """Answer an operator with a decision on the newest reports."""
        holder = self.lead.holder
        if self.lead.fence is None:
            return RebalanceReply(
                False, holder=holder, detail="ask the holder of the lease"
            )
        self.read()
        return self.decide(explain_only)

    def decide(self, explain_only: bool) -> RebalanceReply:
        """Decide, and begin the change if one pays."""
        holder, popularity = self.lead.holder, self.popularity
        if not popularity.is_known:
            detail = "the ranks have not reported any tokens since the last reading"
            return RebalanceReply(False, holder=holder, detail=detail)
        now = self._now()
        proposal = propose_rebalance(
            popularity.layer_views(),
            self.policy,
            self.wall.now() % DAY_MS,
            popularity.stragglers(now),
        )
        self.decisions += 1
        content = proposed_map(popularity, proposal)
        text = explain_proposal(proposal)
        if content is None:
            return RebalanceReply(True, text, holder=holder)
        map_id = map_id_of(content)
        if explain_only:
            return RebalanceReply(True, text, map_id, holder=holder)
        detail = self._put_in_force(map_id, content)
        return RebalanceReply(True, text, map_id, not detail, holder, detail)

    def _put_in_force(self, map_id: str, content: bytes) -> str:
        """Give all ranks the map and begin the change; return what prevented it."""
        asked = [
            gevent.spawn(self._call, rank, METHOD_PUT_MAP, PutMapReply, content)
            for rank in range(len(self.lead.group.endpoints))
        ]
        gevent.joinall(asked)
        if not all(each.value is not None and each.value.stored for each in asked):
            return "a rank did not take the content of the map"
        return self.lead.change(map_id).detail

    def _call(
        self, rank: int, method: str, kind: type, content: bytes | None
    ) -> object | None:
        name = self.lead.group.name
        caller = self.lead.caller_of(self.lead.group.endpoints[rank])
        if caller is None:
            return None
        if content is None:
            request = GetExperts(name, rank)
        else:
            request = PutMap(name, rank, content)
        try:
            return caller.call(method, request, kind, _CALL_TIMEOUT_MS)
        except CallError as error:
            log_event(_log, "rank_failed", logging.WARNING, rank=rank, why=error)
            return None

    def _now(self) -> Millis:
        return self.lead.clock.now()


def proposed_map(popularity: GroupPopularity, proposal: Proposal) -> bytes | None:
    """Return the content of the map proposed; None if the present one stays."""
    if not any(layer.is_changed for layer in proposal.layers):
        return None
    layers = list(popularity.reports[0].layers)
    for layer in proposal.layers:
        validate_assignment(layer.assignment)
        layers[layer.view.layer] = layer.assignment
    return encode_map(tuple(layers))


def policy_from(balance: Balance) -> BalancePolicy:
    """Return what a service's configuration asks of the decision.

    Examples
    --------
    >>> policy_from(Balance(2.0, 3.0)).move_weight
    3.0
    """
    # A factor below 1 would make moves cheaper in booking hours than otherwise,
    # which nobody can mean; the policy refuses it.
    windows = tuple(
        MoveWindow(
            hours.start_minute * _MINUTE_MS,
            hours.end_minute * _MINUTE_MS,
            max(1.0, hours.move_factor),
        )
        for hours in balance.booking_hours
    )
    return BalancePolicy(balance.skew_weight, balance.move_weight, windows)
