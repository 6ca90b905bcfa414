"""Assignment of an overloaded endpoint's quota to nodes, and what they may send."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.routing import quotas
from azurefold.core.routing.messages import NoneAvailable, RouteRequest, Unavailable
from azurefold.core.routing.pool import Pool
from azurefold.core.routing.quota_sharers import QuotaSharers
from azurefold.core.routing.quotas import EndpointQuotas, QuotaReport
from azurefold_standins.quota_allowance import Need, quota_excesses

OVERLOADED = "rank-1"
START_MS = 10_000
STEP_MS = 20


@dataclass
class SendingNodes:
    """Nodes that send to one endpoint whenever they are allowed to."""

    node_count: int
    rate: float
    now: int = START_MS
    arrivals: list = field(default_factory=list)

    def __post_init__(self):
        self.names = [f"node-{number}" for number in range(self.node_count)]
        self.quotas = {name: EndpointQuotas() for name in self.names}

    def set_sharers(self, names):
        """Inform all nodes which of them share the quota."""
        for name, quotas_of_node in self.quotas.items():
            quotas_of_node.set_sharers(QuotaSharers(name, frozenset(names)), self.now)

    def run(self, ms):
        end = self.now + ms
        while self.now < end:
            self.now += STEP_MS
            for name, quotas_of_node in self.quotas.items():
                quotas_of_node.record_answer(OVERLOADED, self.rate, self.now, self.now)
                if not quotas_of_node.recheck_times(self.now):
                    quotas_of_node.charge_request(OVERLOADED, self.now)
                    self.arrivals.append((self.now, name))

    def check(self):
        need = Need([(START_MS, self.rate)], told=dict.fromkeys(self.names, 0))
        excesses = list(quota_excesses(need, self.arrivals, START_MS))
        assert not excesses, f"more than the quota: {excesses[0]}"


def reassign_repeatedly(nodes):
    for round_number in range(40):
        nodes.set_sharers(nodes.names[round_number % 2 :: 2])
        nodes.run(700)
    nodes.check()


@pytest.mark.parametrize("rate", [0.0, 0.4, 1.0, 5.0])
def test_quota_holds_while_holders_change(rate):
    """Guards against exceeding a quota while nodes join and leave.

    The requests of a former holder count within the same four seconds as those of its
    successor.
    """
    reassign_repeatedly(SendingNodes(12, rate))


def test_check_detects_holders_that_start_at_once(monkeypatch):
    monkeypatch.setattr(quotas, "_SETTLING_MS", 0)
    set_local_rate = quotas._Quota.set_local_rate

    def set_rate_with_credit(quota, rate, now):
        was_held = quota.holder_since is not None
        set_local_rate(quota, rate, now)
        if rate and not was_held:
            quota.credit = 1.0

    monkeypatch.setattr(quotas._Quota, "set_local_rate", set_rate_with_credit)
    with pytest.raises(AssertionError, match="more than"):
        reassign_repeatedly(SendingNodes(12, 1.0))


@given(
    st.sampled_from((0.1, 0.7, 2.0, 9.0)),
    st.lists(
        st.tuples(st.sets(st.integers(0, 9)), st.sampled_from((200, 900, 4_100))),
        max_size=12,
    ),
)
def test_quota_holds_for_any_sequence_of_sharers(rate, sharer_lists):
    nodes = SendingNodes(10, rate)
    for present, duration_ms in sharer_lists:
        nodes.set_sharers(nodes.names[index] for index in present)
        nodes.run(duration_ms)
    nodes.check()


@pytest.mark.parametrize("node_count", [9, 36, 98, 390])
@pytest.mark.parametrize("rate", [0.2, 1.0, 3.0, 20.0])
def test_holders_together_stay_within_the_tolerance(node_count, rate):
    """Each holder, and one extra holder, may send one request beyond its share."""
    cells = max(1, round(node_count / 9))
    max_requests = 0
    for cell in range(cells):
        nodes = frozenset(f"gw-{n:03}" for n in range(cell, node_count, cells))
        holders = QuotaSharers("", nodes, cell, cells).holders(OVERLOADED, rate)
        if holders:
            max_requests += len(holders) + 4 * rate + 1 + 4 * rate / len(holders)
    assert 0 < max_requests <= 1.5 * 4 * rate + 5


def test_additional_node_replaces_at_most_one_holder():
    nodes = frozenset(f"gw-{n}" for n in range(9))
    for number in range(40):
        before = QuotaSharers("", nodes).holders(f"rank-{number}", 1.0)
        after = QuotaSharers("", nodes | {"gw-9"}).holders(f"rank-{number}", 1.0)
        assert len(before - after) <= 1


def test_older_report_is_ignored():
    quotas_of_node = EndpointQuotas()
    quotas_of_node.record_report(OVERLOADED, QuotaReport(2.0, 5_000), 5_000)
    assert not quotas_of_node.record_report(OVERLOADED, QuotaReport(None, 4_000), 5_100)
    assert quotas_of_node.shares[OVERLOADED].quota == 2.0


def test_answer_from_before_the_overload_does_not_end_the_quota():
    """Guards against a quota that is ended by an answer from before the overload.

    A stream that started before the endpoint was overloaded can end after the endpoint
    has named a quota.
    """
    quotas_of_node = EndpointQuotas()
    quotas_of_node.record_answer(OVERLOADED, 2.0, sent_at=5_000, now=5_100)
    assert not quotas_of_node.record_answer(OVERLOADED, None, sent_at=4_900, now=5_200)
    assert quotas_of_node.record_answer(OVERLOADED, None, sent_at=5_150, now=5_300)


def test_end_of_a_quota_is_reported_for_a_limited_time():
    """Guards against reporting for ever that an endpoint names no quota.

    Each answer without a quota was treated as a new end of the quota.
    """
    quotas_of_node = EndpointQuotas()
    quotas_of_node.record_answer(OVERLOADED, 2.0, sent_at=5_000, now=5_100)
    quotas_of_node.record_answer(OVERLOADED, None, sent_at=5_200, now=5_300)
    for now in range(5_400, 90_000, 100):
        assert not quotas_of_node.record_answer(
            OVERLOADED, None, sent_at=now - 50, now=now
        )
    assert quotas_of_node.reports(now=15_200)
    assert not quotas_of_node.reports(now=15_400)
    assert not quotas_of_node.has_own_report_since(5_300)
    quotas_of_node.prune([OVERLOADED], now=90_000)
    assert not quotas_of_node.reports(now=5_400)


def test_requests_are_refused_at_once_when_all_endpoints_are_over_quota():
    """Guards against requests that wait for a quota until their deadlines."""
    pool = Pool()
    pool.set_endpoints([OVERLOADED], 0)
    pool.record_quota_answer(OVERLOADED, 0.5, 0, 0)
    chosen = pool.choose(request=RouteRequest(), draws=(0.0, 0.5), now=100)
    assert isinstance(chosen, NoneAvailable)
    assert chosen.reason is Unavailable.OVER_QUOTA
    assert 1_000 <= chosen.retry_after_ms <= 3_000


def test_quota_survives_a_temporary_gap_in_the_list():
    """Guards against exceeding the quota of an endpoint that was missing for a moment.

    When cells were reassigned, the node removed the endpoint and its quota, and added
    the endpoint again a moment later without the quota.
    """
    pool = Pool()
    pool.set_endpoints([OVERLOADED], 0)
    pool.record_quota_answer(OVERLOADED, 0.5, 0, 0)
    pool.set_endpoints([], 1_000)
    pool.set_endpoints([OVERLOADED], 2_000)
    assert pool.over_quota == {OVERLOADED}


def test_restarted_endpoint_has_no_quota():
    pool = Pool()
    pool.set_endpoints([OVERLOADED], 0)
    pool.record_quota_answer(OVERLOADED, 0.5, 0, 0)
    pool.forget(OVERLOADED, 1_000)
    pool.set_endpoints([OVERLOADED], 2_000)
    assert not pool.over_quota
