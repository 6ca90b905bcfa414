"""Terms of coordination rise, also when the store comes back from an older copy."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.gateway.conftest import settings_of
from tests.gateway.row_store import RowStore

from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.groups.order_numbers import order_number
from azurefold.core.routes.model import Engine, RoutedService, RoutingConfiguration
from azurefold.gateway.groups.control import ServiceControl
from azurefold.gateway.groups.coordinator import new_coordinator
from azurefold.gateway.peers.messages import PeerMessage
from azurefold.gateway.state import new_gateway_state

STEP_MS = 50
BEAT_MS = 500
ENGINE = Engine(slots=4, layer_sets=1, experts=4, expert_slots_per_rank=2)


def _name(coordinator):
    return coordinator.state.settings.name


class Fleet:
    """Coordinators that hear each other and share a store."""

    def __init__(self, size, seed=1):
        self.time = ManualTime(at=1_000)
        self.store = RowStore()
        self.draw = random.Random(seed)
        self.frozen = set()
        self.versions = {}
        self.highest_term = 0
        self.members = [self._coordinator(number) for number in range(size)]

    @property
    def holders(self):
        return [each for each in self.members if each.leadership.is_leader]

    @property
    def names(self):
        return [_name(each) for each in self.holders]

    def freeze(self, member):
        self.frozen.add(_name(member))

    def run(self, ms):
        for _ in range(0, ms, STEP_MS):
            self.time.at += STEP_MS
            for each in self.members:
                if _name(each) not in self.frozen:
                    each._step()
            if self.time.at % BEAT_MS == 0:
                self._beat()

    def change_map(self, above=0):
        """Let each holder make a version; no two of them are the same."""
        for holder in self.holders:
            version = holder.next_version(above)
            if version is not None:
                assert version not in self.versions, "a version was given out twice"
                assert version > above
                self.versions[version] = holder
            holder._writing = False
            holder._confirm()

    def replace(self, number):
        self.members[number] = self._coordinator(number)

    def _coordinator(self, number):
        state = new_gateway_state(
            settings_of(name=f"gw-{number}"), manual_clock(self.time)
        )
        service = RoutedService("drafts", 100, ENGINE)
        state.apply(RoutingConfiguration(version=1, services={"drafts": service}))
        made = new_coordinator(state, self.store, 1, number, lambda: (5, 5))
        made._read_row()
        made.leadership.start(self.time.at)
        return made

    def _beat(self):
        awake = [each for each in self.members if _name(each) not in self.frozen]
        beats = [
            (_name(each), each.leadership.term)
            for each in awake
            if each.leadership.is_leader
        ]
        for name, term in beats:
            for each in awake:
                if _name(each) != name:
                    each.heard(PeerMessage(name, 1, 1, 7_000, 1, 1, term, 0, (), {}))


@pytest.fixture(autouse=True)
def no_controls(monkeypatch):
    monkeypatch.setattr(ServiceControl, "start", lambda control: None)
    monkeypatch.setattr(
        "azurefold.gateway.groups.coordinator.gevent.spawn", lambda *_: None
    )


def written_on(fleet, times):
    """Let other rows be written, which raises the store's versions."""
    for _ in range(times):
        fleet.store.feed.put([("other", "row", b"")])


def test_the_holder_goes_on_under_a_higher_term(time):
    """Guards against beats that are dropped as old until versions have caught up."""
    fleet = Fleet(6)
    fleet.run(3_000)
    copy = fleet.store.feed.copy()
    written_on(fleet, 50)
    fleet.change_map()
    [holder] = fleet.holders
    term = holder.leadership.term
    fleet.store.feed.go_back(copy)
    fleet.change_map()
    fleet.run(5_000)
    assert fleet.names == [_name(holder)]
    assert holder.leadership.term > term


def test_a_successor_takes_a_higher_term(time):
    """Guards against a new holder whose orders ranks refuse as of an older term."""
    fleet = Fleet(6)
    fleet.run(3_000)
    copy = fleet.store.feed.copy()
    written_on(fleet, 50)
    fleet.change_map()
    fleet.run(1_000)
    [holder] = fleet.holders
    term = holder.leadership.term
    fleet.freeze(holder)
    fleet.store.feed.go_back(copy)
    fleet.run(6_000)
    [successor] = [each for each in fleet.holders if each is not holder]
    assert successor.leadership.term > term
    for each in fleet.members:
        assert each is holder or each.leadership.term == successor.leadership.term


def test_a_successor_takes_a_term_above_those_that_nobody_heard_of(time):
    """Guards against a term that is given out again to another holder."""
    fleet = Fleet(6)
    fleet.run(3_000)
    copy = fleet.store.feed.copy()
    for _ in range(3):
        fleet.change_map()
    [holder] = fleet.holders
    fleet.freeze(holder)
    fleet.store.feed.go_back(copy)
    fleet.run(6_000)
    [successor] = [each for each in fleet.holders if each is not holder]
    assert successor.leadership.term > holder.leadership.term


def test_a_holder_that_slept_through_the_return_gives_way(time):
    """Guards against two holders that make versions of the same number."""
    fleet = Fleet(3)
    fleet.run(3_000)
    copy = fleet.store.feed.copy()
    fleet.change_map()
    [holder] = fleet.holders
    fleet.freeze(holder)
    fleet.store.feed.go_back(copy)
    fleet.run(6_000)
    fleet.frozen.clear()
    fleet.change_map()
    fleet.run(3_000)
    fleet.change_map()
    assert len(fleet.holders) == 1


def test_a_version_is_above_those_that_ranks_have_had(time):
    """Guards against maps that all ranks refuse, as nobody remembers the last term."""
    fleet = Fleet(1)
    fleet.run(3_000)
    above = order_number(900, 7)
    fleet.change_map(above)
    assert not fleet.versions
    fleet.change_map(above)
    assert [version > above for version in fleet.versions] == [True]


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ("change", "copy", "return", "freeze", "wake", "replace", "lose", "write")
        ),
        st.integers(0, 5),
        st.sampled_from((0, 50, 500, 2_500)),
    ),
    max_size=20,
)


@given(EVENTS, st.sampled_from((2, 3, 6)))
def test_terms_and_versions_rise_through_any_returns(events, size):
    fleet = Fleet(size)
    fleet.run(3_000)
    copy = fleet.store.feed.copy()
    for event, number, pause in events:
        member = fleet.members[number % size]
        fleet.store.loses_answers = event == "lose"
        match event:
            case "change" | "lose":
                fleet.change_map()
            case "copy":
                copy = fleet.store.feed.copy()
            case "return":
                fleet.store.feed.go_back(copy)
            case "freeze":
                fleet.freeze(member)
            case "wake":
                fleet.frozen.clear()
            case "replace":
                fleet.replace(number % size)
            case "write":
                written_on(fleet, 20)
        before = [each.leadership.term for each in fleet.members]
        fleet.run(pause)
        after = [each.leadership.term for each in fleet.members]
        assert all(b <= a for b, a in zip(before, after, strict=True))
    fleet.store.loses_answers = False
    fleet.frozen.clear()
    fleet.run(15_000)
    [holder] = fleet.holders
    fleet.change_map()
    fleet.run(1_000)
    assert fleet.names == [_name(holder)]
    assert {each.leadership.term for each in fleet.members} == {holder.leadership.term}
