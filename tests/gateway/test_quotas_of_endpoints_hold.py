"""All gateways together keep to the quota that an endpoint in need names."""

import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.gateway.quota_world import QuotaSite

from azurefold.core.routing.quota_sharers import QuotaSharers
from azurefold.core.routing.quotas import EndpointQuotas
from azurefold.gateway.state import GatewayState

NEEDY = "rank-005"
WARM_UP_MS = 4_000
BUSY_PER_SECOND = 8.0
"""Requests of each gateway, so that an endpoint with few is the emptiest."""


@pytest.fixture(autouse=True)
def quiet(caplog):
    """Keep thousands of log lines out of each test's record."""
    caplog.set_level(logging.CRITICAL)


@pytest.fixture
def site():
    """Nine busy gateways before 18 endpoints."""
    return busy_site(9, 18)


def busy_site(gateways, endpoints):
    made = QuotaSite(gateways, endpoints, per_second=BUSY_PER_SECOND)
    made.run(WARM_UP_MS)
    return made


def holders_of(site, endpoint):
    parts = {name: each.pool.quota_shares for name, each in site.by_name.items()}
    return [name for name, part in parts.items() if part[endpoint].rate > 0]


def test_an_endpoint_in_need_gets_its_quota_from_all_gateways(site):
    """An endpoint that asked for one request a second got nine.

    Each gateway kept to the quota that it was told, as if it were alone.
    """
    site.needs_help(NEEDY, 1.0)
    site.run(20_000)
    site.check()
    assert site.used(NEEDY) >= 0.5


def test_one_of_few_endpoints_keeps_to_its_quota():
    """Streams that were resumed at an endpoint in need came on top of its quota."""
    site = QuotaSite(9, 4, per_second=4.0)
    site.run(WARM_UP_MS)
    site.needs_help("rank-001", 1.0)
    site.run(12_000)
    site.check()


@pytest.mark.parametrize("rate", [0.0, 0.3, 2.5, 7.0])
def test_small_and_large_quotas_hold(site, rate):
    site.needs_help(NEEDY, rate)
    site.run(14_000)
    site.check()


def test_all_gateways_of_the_cell_hear_of_it_at_once(site):
    """Gateways that were not told go on sending to an endpoint in need.

    Each of them would learn of it only from an answer of its own.
    """
    site.needs_help(NEEDY, 0.5)
    site.run(1_000)
    for gateway in site.by_name.values():
        assert gateway.pool.quota_shares[NEEDY].quota == 0.5
    before = len(site.arrivals[NEEDY])
    site.run(3_000)
    assert len(site.arrivals[NEEDY]) == before


def test_gateways_of_other_cells_hear_of_it():
    """All cells send to the few endpoints of a small service.

    One cell is told by the endpoint and keeps to its quota, while ten others each do
    the same.
    """
    site = QuotaSite(27, 4, per_second=1.0)
    site.run(WARM_UP_MS)
    site.needs_help("rank-002", 2.0)
    site.run(15_000)
    site.check()
    assert len({site.by_name[name].exchange.cell.number for name in site.names}) == 3
    holders = holders_of(site, "rank-002")
    assert len({site.by_name[name].exchange.cell.number for name in holders}) == 1


def test_a_service_whose_endpoints_are_all_in_need_is_served_within_the_quotas():
    """Nobody had a request in flight, so nobody seemed to need a part of a quota."""
    site = QuotaSite(9, 3, per_second=1.0)
    site.run(WARM_UP_MS)
    for rank in site.ranks:
        site.needs_help(rank, 1.0)
    site.run(20_000)
    site.check()
    assert min(site.used(rank) for rank in site.ranks) >= 0.5
    assert site.refused > 0


def test_a_holder_that_starts_anew_does_not_spend_anew(site):
    """Holders of a quota are killed one after the other, each right after sending.

    Those that take over know nothing of what was sent within the same four seconds.
    """
    site.needs_help(NEEDY, 2.0)
    site.run(6_000)
    for turn in range(20):
        name = holders_of(site, NEEDY)[turn % 2]
        site.restart(name)
        site.run(700)
    site.check()


def test_lost_and_late_messages_do_not_break_it(site):
    site.loss, site.delay_ms = 0.3, (1, 900)
    site.needs_help(NEEDY, 1.0)
    site.run(20_000)
    site.check()


def test_a_need_that_changes_ends_and_returns(site):
    site.needs_help(NEEDY, 4.0)
    site.run(8_000)
    site.needs_help(NEEDY, 0.5)
    site.run(6_000)
    site.needs_help(NEEDY, None)
    site.run(9_000)
    assert NEEDY not in site.by_name[site.names[0]].pool.quota_shares
    site.needs_help(NEEDY, 1.0)
    site.run(9_000)
    site.check()


def test_an_endpoint_is_asked_again_when_its_holders_have_no_callers(site):
    """The holders of a quota get no requests, and the endpoint is idle for good.

    The word of its need is never renewed, nor taken back.
    """
    site.needs_help(NEEDY, 0.5)
    site.run(6_000)
    for name in holders_of(site, NEEDY):
        site.by_name[name].has_callers = False
    site.needs_help(NEEDY, None)
    site.run(24_000)
    assert NEEDY not in site.by_name[site.names[0]].pool.quota_shares


def each_gateway_by_itself(monkeypatch):
    monkeypatch.setattr(
        QuotaSharers,
        "holders",
        lambda sharers, endpoint, rate, turn=0: frozenset({sharers.node}),
    )


def resumed_streams_that_are_free(monkeypatch):
    sent = EndpointQuotas.charge_request

    def mostly_free(known, endpoint, now):
        return now % 160 == 0 and sent(known, endpoint, now)

    monkeypatch.setattr(EndpointQuotas, "charge_request", mostly_free)


def words_that_reach_nobody(monkeypatch):
    monkeypatch.setattr(GatewayState, "quota_told", lambda *told: None)


def words_for_one_cell_only(monkeypatch):
    monkeypatch.setattr(QuotaSharers, "_is_of_this_cell", lambda sharers, name: True)


@pytest.mark.parametrize(
    ("mutant", "story"),
    [
        (
            each_gateway_by_itself,
            test_an_endpoint_in_need_gets_its_quota_from_all_gateways,
        ),
        (words_that_reach_nobody, test_all_gateways_of_the_cell_hear_of_it_at_once),
    ],
)
def test_the_checks_find_quotas_that_are_not_kept(site, monkeypatch, mutant, story):
    mutant(monkeypatch)
    with pytest.raises((AssertionError, KeyError)):
        story(site)


def test_the_checks_find_requests_that_are_not_charged(monkeypatch):
    resumed_streams_that_are_free(monkeypatch)
    with pytest.raises(AssertionError, match="more than its quota"):
        test_one_of_few_endpoints_keeps_to_its_quota()


def test_the_checks_find_a_quota_for_each_cell(monkeypatch):
    words_for_one_cell_only(monkeypatch)
    with pytest.raises(AssertionError):
        test_gateways_of_other_cells_hear_of_it()


_WHICH = st.integers(0, 3)
_EVENTS = st.lists(
    st.tuples(
        st.sampled_from((0, 300, 900, 2_000, 5_000)),
        st.one_of(
            st.tuples(
                st.just("needs_help"), st.sampled_from((None, 0.3, 1.0, 3.0, 6.0))
            ),
            st.tuples(st.just("restart"), _WHICH),
            st.tuples(st.just("freeze"), _WHICH, st.sampled_from((700, 3_000))),
            st.tuples(st.just("cut"), _WHICH, st.sampled_from((900, 4_000))),
            st.tuples(st.just("list_shrinks"), _WHICH, st.integers(1, 4)),
        ),
    ),
    min_size=3,
    max_size=12,
)


@settings(max_examples=20)
@given(st.integers(0, 5), st.sampled_from((0.0, 0.2)), st.booleans(), _EVENTS)
def test_no_window_has_more_requests_than_the_quota_allows(
    seed, loss, knows_store_time, events
):
    """The stories above in any order, with lost and late messages."""
    site = QuotaSite(
        5,
        6,
        per_second=5.0,
        seed=seed,
        loss=loss,
        delay_ms=(1, 400),
        knows_store_time=knows_store_time,
    )
    site.run(2_000)
    site.needs_help(NEEDY, 1.0)
    for elapsed, (event, which, *given_with) in events:
        site.run(elapsed)
        target = NEEDY if event == "needs_help" else site.names[which]
        given_with = [which] if event == "needs_help" else given_with
        getattr(site, event)(target, *given_with)
    site.run(5_000)
    site.check()
