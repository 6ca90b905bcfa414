"""How the quota of an endpoint in need is dealt to nodes, and what they may send."""

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

NEEDY = "rank-1"
BEGAN = 10_000
STEP_MS = 20


@dataclass
class Nodes:
    """Nodes that send to one endpoint whenever they may."""

    number: int
    rate: float
    now: int = BEGAN
    arrivals: list = field(default_factory=list)

    def __post_init__(self):
        self.names = [f"node-{number}" for number in range(self.number)]
        self.quotas = {name: EndpointQuotas() for name in self.names}

    def deal_to(self, names):
        """Tell all nodes which of them share the quota."""
        for name, known in self.quotas.items():
            known.set_sharers(QuotaSharers(name, frozenset(names)), self.now)

    def run(self, ms):
        end = self.now + ms
        while self.now < end:
            self.now += STEP_MS
            for name, known in self.quotas.items():
                known.answered(NEEDY, self.rate, self.now, self.now)
                if not known.closed(self.now):
                    known.charge_request(NEEDY, self.now)
                    self.arrivals.append((self.now, name))

    def check(self):
        need = Need([(BEGAN, self.rate)], told=dict.fromkeys(self.names, 0))
        over = list(quota_excesses(need, self.arrivals, BEGAN))
        assert not over, f"more than the quota: {over[0]}"


def deal_anew_again_and_again(nodes):
    for turn in range(40):
        nodes.deal_to(nodes.names[turn % 2 :: 2])
        nodes.run(700)
    nodes.check()


@pytest.mark.parametrize("rate", [0.0, 0.4, 1.0, 5.0])
def test_a_quota_that_is_dealt_anew_holds(rate):
    """Nodes come and go, and the quota is dealt to others each time.

    What a former holder has sent counts within the same four seconds as what its
    successor sends.
    """
    deal_anew_again_and_again(Nodes(12, rate))


def test_the_check_finds_holders_that_begin_at_once(monkeypatch):
    monkeypatch.setattr(quotas, "_SETTLING_MS", 0)
    hold = quotas._Quota.hold

    def begin_with_credit(quota, rate, now):
        was_held = quota.held_since is not None
        hold(quota, rate, now)
        if rate and not was_held:
            quota.credit = 1.0

    monkeypatch.setattr(quotas._Quota, "hold", begin_with_credit)
    with pytest.raises(AssertionError, match="more than"):
        deal_anew_again_and_again(Nodes(12, 1.0))


@given(
    st.sampled_from((0.1, 0.7, 2.0, 9.0)),
    st.lists(
        st.tuples(st.sets(st.integers(0, 9)), st.sampled_from((200, 900, 4_100))),
        max_size=12,
    ),
)
def test_any_order_of_lists_keeps_to_the_quota(rate, lists):
    nodes = Nodes(10, rate)
    for present, lasts in lists:
        nodes.deal_to(nodes.names[place] for place in present)
        nodes.run(lasts)
    nodes.check()


@pytest.mark.parametrize("gateways", [9, 36, 98, 390])
@pytest.mark.parametrize("rate", [0.2, 1.0, 3.0, 20.0])
def test_holders_may_send_no_more_than_the_bound_at_any_size(gateways, rate):
    """Each may send one request beyond its part, and one holder too many may too."""
    cells = max(1, round(gateways / 9))
    most = 0
    for cell in range(cells):
        nodes = frozenset(f"gw-{n:03}" for n in range(cell, gateways, cells))
        dealt = QuotaSharers("", nodes, cell, cells).holders(NEEDY, rate)
        if dealt:
            most += len(dealt) + 4 * rate + 1 + 4 * rate / len(dealt)
    assert 0 < most <= 1.5 * 4 * rate + 5


def test_one_node_more_takes_no_place_but_its_own():
    nodes = frozenset(f"gw-{n}" for n in range(9))
    for number in range(40):
        before = QuotaSharers("", nodes).holders(f"rank-{number}", 1.0)
        after = QuotaSharers("", nodes | {"gw-9"}).holders(f"rank-{number}", 1.0)
        assert len(before - after) <= 1


def test_an_older_word_changes_nothing():
    known = EndpointQuotas()
    known.told(NEEDY, QuotaReport(2.0, 5_000), 5_000)
    assert not known.told(NEEDY, QuotaReport(None, 4_000), 5_100)
    assert known.parts[NEEDY].quota == 2.0


def test_an_answer_from_before_the_need_does_not_end_it():
    """A stream that began earlier ends the need of an endpoint that has just named it.

    Its answer was made before the endpoint came in need, and came later.
    """
    known = EndpointQuotas()
    known.answered(NEEDY, 2.0, sent_at=5_000, now=5_100)
    assert not known.answered(NEEDY, None, sent_at=4_900, now=5_200)
    assert known.answered(NEEDY, None, sent_at=5_150, now=5_300)


def test_the_end_of_a_need_is_told_for_a_while_only():
    """Gateways tell each other for good that an endpoint names no quota.

    Each answer without one was taken for news of the need's end.
    """
    known = EndpointQuotas()
    known.answered(NEEDY, 2.0, sent_at=5_000, now=5_100)
    known.answered(NEEDY, None, sent_at=5_200, now=5_300)
    for now in range(5_400, 90_000, 100):
        assert not known.answered(NEEDY, None, sent_at=now - 50, now=now)
    assert known.words(now=15_200)
    assert not known.words(now=15_400)
    assert not known.heard_since(5_300)
    known.prune([NEEDY], now=90_000)
    assert not known.words(now=5_400)


def test_requests_are_refused_at_once_where_all_endpoints_are_over_their_quota():
    """Requests waited for an endpoint that may get none, until their deadlines."""
    pool = Pool()
    pool.set_endpoints([NEEDY], 0)
    pool.record_quota_answer(NEEDY, 0.5, 0, 0)
    chosen = pool.choose(request=RouteRequest(), draws=(0.0, 0.5), now=100)
    assert isinstance(chosen, NoneAvailable)
    assert chosen.reason is Unavailable.OVER_QUOTA
    assert 1_000 <= chosen.retry_after_ms <= 3_000


def test_a_quota_outlasts_an_endpoint_that_is_not_listed_for_a_moment():
    """An endpoint that names a quota gets more from a gateway that was told of it.

    Cells were dealt anew and the gateway lost the endpoint, got it back a moment later,
    and had forgotten the quota.
    """
    pool = Pool()
    pool.set_endpoints([NEEDY], 0)
    pool.record_quota_answer(NEEDY, 0.5, 0, 0)
    pool.set_endpoints([], 1_000)
    pool.set_endpoints([NEEDY], 2_000)
    assert pool.over_quota == {NEEDY}


def test_an_endpoint_that_started_anew_has_no_quota():
    pool = Pool()
    pool.set_endpoints([NEEDY], 0)
    pool.record_quota_answer(NEEDY, 0.5, 0, 0)
    pool.forget(NEEDY, 1_000)
    pool.set_endpoints([NEEDY], 2_000)
    assert not pool.over_quota
