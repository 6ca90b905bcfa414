"""An entry is sent what changed, and ends with what its control process holds."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.control.watch import EntryWatch
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.configuration.head import NO_HEAD, Head, build_next_head
from azurefold.core.configuration.sections import content_hash, split_configuration
from azurefold.entry.organisations import new_organisations
from azurefold.entry.services import EndpointView, new_services
from azurefold.entry.watcher import HeldSections, Watcher
from azurefold.wire.snapshot import SnapshotUpdate, WatchRequest


@dataclass
class Follower:
    head: Head = NO_HEAD
    sections: dict = field(default_factory=dict)
    past: list = field(default_factory=list)


@dataclass
class Configuration:
    follower: Follower = field(default_factory=Follower)

    def recent_head(self, revision, edit_id):
        heads = {(head.revision, head.edit_id): head for head in self.follower.past}
        return heads.get((revision, edit_id))


class Membership:
    def endpoints(self):
        return []


@dataclass
class Far:
    endpoints: list = field(default_factory=list)


def service(*endpoints):
    return {"kind": "plain", "data_centres": ["hall"], "endpoints": list(endpoints)}


def text(organisations, services=("bookings",)):
    return {
        "services": {name: service(f"{name}-0") for name in services},
        "organisations": {name: {"share": float(n)} for name, n in organisations},
    }


def accept(follower, raw, edit_id):
    sections = split_configuration(raw)
    hashes = {name: content_hash(data) for name, data in sections.items()}
    follower.head = build_next_head(follower.head, edit_id, hashes)
    follower.sections = sections
    follower.past.append(follower.head)


@pytest.fixture
def follower():
    return Follower()


@pytest.fixture
def watch(follower, monkeypatch):
    """A watch whose waits end at once."""
    watch = EntryWatch(Configuration(follower), Membership(), Far())
    monkeypatch.setattr(EntryWatch, "_wait", lambda self: None)
    return watch


def new_watcher():
    clock = manual_clock(ManualTime(0))
    return Watcher(
        control=None,
        services=new_services(clock, seed=1),
        organisations=new_organisations(clock, 1, "entry"),
    )


def first_update(watch, watcher):
    request = WatchRequest(watcher._held.revision, watcher._held.edit_id)
    return next(u for u in watch.handle(request, None) if u.sections is not None)


MANY = [(f"o-{n:03d}", 1) for n in range(300)]


def test_a_change_of_one_organisation_sends_one_section(watch, follower):
    accept(follower, text(MANY), "e1")
    watcher = new_watcher()
    stream = watch.handle(WatchRequest(), None)
    whole = next(stream)
    watcher._apply(whole)
    accept(follower, text([*MANY, ("new", 1)]), "e2")
    update = next(stream)
    assert whole.is_whole
    assert not update.is_whole
    assert len(update.sections) == 1
    watcher._apply(update)
    assert "new" in watcher.services.organisations
    assert len(watcher.services.organisations) == len(MANY) + 1


def test_an_entry_that_holds_another_edit_of_that_number_is_sent_all(watch, follower):
    """A store was restored; the control process came back on another line.

    Symptom: an entry serves organisations that no accepted text names.
    Sequence: the entry holds edit 1 of the lost line, the control process edit
    1 of the other and then edit 2, of which it sends what changed. Cause: the
    change is one to a text that the entry never had.
    """
    watcher = new_watcher()
    accept(follower, text([("lost", 1)]), "lost")
    watcher._apply(first_update(watch, watcher))
    follower.head = NO_HEAD
    follower.past.clear()
    accept(follower, text([("kept", 1)]), "e1")
    stream = watch.handle(WatchRequest(1, "lost"), None)
    accept_next = text([("kept", 1), ("more", 1)])
    next(stream)
    accept(follower, accept_next, "e2")
    watcher._apply(next(u for u in stream if u.sections is not None))
    assert watcher.services.organisations == {"kept", "more"}


def test_an_entry_that_comes_back_is_sent_nothing_it_holds(watch, follower):
    accept(follower, text(MANY), "e1")
    watcher = new_watcher()
    watcher._apply(first_update(watch, watcher))
    stream = watch.handle(WatchRequest(1, "e1"), None)
    assert next(stream).sections is None
    accept(follower, text(MANY[1:]), "e2")
    update = next(u for u in stream if u.sections is not None)
    assert not update.is_whole
    watcher._apply(update)
    assert watcher.services.organisations == {name for name, _ in MANY[1:]}


def test_an_entry_that_missed_a_change_between_streams_is_sent_that(watch, follower):
    """Streams end each minute, and a change may come before the next one."""
    accept(follower, text(MANY), "e1")
    watcher = new_watcher()
    watcher._apply(first_update(watch, watcher))
    accept(follower, text(MANY[1:]), "e2")
    update = first_update(watch, watcher)
    assert not update.is_whole
    assert len(update.sections) + len(update.removed) == 1
    watcher._apply(update)
    assert watcher.services.organisations == {name for name, _ in MANY[1:]}


def test_a_refused_revision_is_not_lost_when_the_next_one_mends_it(watch, follower):
    """Symptom: an entry lacks an organisation for as long as it lives.

    Sequence: revision 2 adds an organisation and a service that this version
    cannot read; revision 3 mends the service only, and only that is sent.
    Cause: what came with the refused revision was thrown away.
    """
    watcher = new_watcher()
    stream = watch.handle(WatchRequest(), None)
    accept(follower, text([("a", 1)]), "e1")
    watcher._apply(next(stream))
    bad = text([("a", 1), ("b", 1)])
    bad["services"]["bookings"]["kind"] = "unheard of"
    accept(follower, bad, "e2")
    watcher._apply(next(stream))
    assert watcher.services.revision == 1
    accept(follower, text([("a", 1), ("b", 1)]), "e3")
    watcher._apply(next(stream))
    assert watcher.services.revision == 3
    assert watcher.services.organisations == {"a", "b"}


def test_what_came_with_a_refused_revision_can_be_taken_back(watch, follower):
    """Symptom: an entry serves an organisation that was taken out again.

    Sequence: revision 2 adds it, beside a service that this version cannot
    read; the stream ends; revision 3 takes both back, so that it equals 1.
    Cause: the entry asks for what changed since 1, although it holds 2.
    """
    watcher = new_watcher()
    accept(follower, text([("a", 1)]), "e1")
    watcher._apply(first_update(watch, watcher))
    bad = text([("a", 1), ("b", 1)])
    bad["services"]["bookings"]["kind"] = "unheard of"
    accept(follower, bad, "e2")
    watcher._apply(first_update(watch, watcher))
    assert watcher.services.revision == 1
    accept(follower, text([("a", 1)]), "e3")
    watcher._apply(first_update(watch, watcher))
    assert watcher.services.revision == 3
    assert watcher.services.organisations == {"a"}


names = st.sampled_from([f"o-{n}" for n in range(12)])
texts = st.builds(
    text,
    st.dictionaries(names, st.integers(1, 3)).map(lambda each: list(each.items())),
    st.sets(st.sampled_from(["bookings", "notices", "drafts"]), min_size=1),
)


@given(st.lists(texts, min_size=1, max_size=5), st.data())
def test_any_sequence_of_changes_ends_with_the_accepted_text(accepted, data):
    follower = Follower()
    watch = EntryWatch(Configuration(follower), Membership(), Far())
    held = HeldSections()
    sent = None
    for number, raw in enumerate(accepted):
        accept(follower, raw, f"e{number}")
        if data.draw(st.booleans()):
            held.take(watch._news(sent, follower.head, []))
            sent = follower.head
            services = held.check().services
            assert set(services) == set(raw["services"])
            assert held.organisations == set(raw["organisations"])


def test_removed_sections_must_be_dropped():
    """The check of the test above fails where removals are ignored."""
    held = HeldSections()
    first, second = (
        split_configuration(text([("a", 1)])),
        split_configuration(text([("b", 1)])),
    )
    held.take(SnapshotUpdate(1, "e1", sections=first, is_whole=True))
    held.check()
    held.take(SnapshotUpdate(2, "e2", sections=second))
    held.check()
    assert held.organisations != {"b"}


@pytest.mark.parametrize("held", [1, 0])
def test_a_control_that_has_just_started_takes_no_endpoint_from_an_entry(
    watch, follower, held
):
    """A control process is replaced beside an entry that serves.

    Symptom: the entry refuses everything until endpoints have reported to the
    new control process. Sequence: that one starts with an empty directory and
    sends it. Cause: knowing nothing yet is taken for knowing that none is there.
    """
    accept(follower, text([("o", 1)]), "e1")
    accept(follower, text([("o", 2)]), "e2")
    watch.is_informed = lambda: False
    update = next(watch.handle(WatchRequest(held, "e1" if held else ""), None))
    assert update.revision == 2
    assert update.endpoints == []
    assert update.is_partial


def test_an_entry_keeps_what_a_partial_list_lacks():
    """The same on the entry's side, and the end of it.

    Symptom, sequence and cause are as above; once the control process knows
    all endpoints, one that its list lacks is gone.
    """
    services = new_services(manual_clock(ManualTime(0)), seed=1)
    old = EndpointView("old", "1", "10.0.0.1:1", leaving=False)
    new = EndpointView("new", "1", "10.0.0.2:1", leaving=False)
    services.apply_endpoints([old])
    services.apply_endpoints([new], is_partial=True)
    assert services.locate("old") is not None
    assert services.locate("new") is not None
    services.apply_endpoints([new])
    assert services.locate("old") is None
