"""What a decision asks of the ranks, and when it begins no change."""

from dataclasses import dataclass, field

import pytest

from azurefold.control.groups_balance import GroupBalance, policy_from
from azurefold.core.balance.placement import Placement, assign_evenly
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.configuration.model import Balance, BookingHours, Group
from azurefold.core.groups.popularity import RankReport
from azurefold.wire.group_maps import (
    METHOD_GET_EXPERTS,
    METHOD_PUT_MAP,
    ExpertsReply,
    PutMapReply,
)
from azurefold.wire.group_messages import ChangeMapReply
from azurefold.wire.grpc_caller import CallError, CallFailure

PLACEMENT = Placement(4, 3, ((0, 1, 2), (2, 3, 0)))
LAYERS = (assign_evenly(PLACEMENT),)


@dataclass
class Rank:
    """The agent of one rank."""

    tokens: list = field(default_factory=lambda: [0, 0, 0, 0])
    stores: bool = True
    silent: bool = False
    contents: list = field(default_factory=list)

    def call(self, method, request, kind, timeout_ms):
        if self.silent:
            raise CallError(method, "10.0.0.1:1", CallFailure.TIMEOUT, "")
        if method == METHOD_GET_EXPERTS:
            work = float(sum(self.tokens))
            shown = RankReport("m0", LAYERS, (tuple(self.tokens),), work, int(work))
            return ExpertsReply(shown)
        assert method == METHOD_PUT_MAP
        self.contents.append(request.content)
        return PutMapReply(self.stores)


@dataclass
class Lead:
    """A lease that is held, and no coordinator behind it."""

    ranks: dict
    clock: object
    fence: int | None = 1
    holder: str = "control-0"
    changes: list = field(default_factory=list)
    group: Group = Group("drafts", ("a", "b"))

    def caller_of(self, endpoint):
        return self.ranks.get(endpoint)

    def change(self, map_id):
        self.changes.append(map_id)
        return ChangeMapReply(True, self.holder)


@pytest.fixture
def time():
    return ManualTime()


@pytest.fixture
def lead(time):
    return Lead({"a": Rank(), "b": Rank()}, manual_clock(time))


@pytest.fixture
def balance(lead, time):
    """A balance that has seen expert 1 become hot."""
    balance = GroupBalance(lead, policy_from(Balance()), manual_clock(time))
    balance.read()
    time.advance(1_000)
    lead.ranks["a"].tokens = [10, 900, 10, 10]
    lead.ranks["b"].tokens = [10, 300, 10, 10]
    return balance


def test_explaining_gives_the_ranks_nothing(balance, lead):
    reply = balance.rebalance(explain_only=True)
    assert reply.decided
    assert reply.map_id
    assert "most popular: expert 1 1200 tokens/s" in reply.text
    assert lead.changes == []
    assert all(rank.contents == [] for rank in lead.ranks.values())


def test_every_rank_has_the_content_before_the_change_begins(balance, lead):
    reply = balance.rebalance(explain_only=False)
    assert reply.begun
    assert lead.changes == [reply.map_id]
    (content,) = {c for rank in lead.ranks.values() for c in rank.contents}
    assert content


def test_a_rank_that_does_not_take_the_map_prevents_the_change(balance, lead):
    lead.ranks["b"].stores = False
    reply = balance.rebalance(explain_only=False)
    assert reply.decided
    assert not reply.begun
    assert lead.changes == []


def test_a_rank_that_does_not_report_leaves_popularity_as_it_was(balance, lead):
    lead.ranks["b"].silent = True
    assert not balance.rebalance(explain_only=False).decided


def test_only_the_holder_of_the_lease_decides(balance, lead):
    lead.fence = None
    reply = balance.rebalance(explain_only=False)
    assert (reply.decided, reply.holder) == (False, "control-0")


def test_booking_hours_never_make_moves_cheaper():
    hours = (BookingHours(540, 840, 0.5), BookingHours(0, 60, 20.0))
    windows = policy_from(Balance(booking_hours=hours)).move_windows
    assert [window.factor for window in windows] == [1.0, 20.0]
    assert (windows[0].start, windows[0].end) == (9 * 3_600_000, 14 * 3_600_000)
