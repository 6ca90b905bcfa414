"""What control processes send each other at a change is as small as the change."""

import json
import zlib

from tests.control.loops import DirectCaller, FewPeers, head_of, hear, hold, text

from azurefold.control.configuration import ConfigurationLoop
from azurefold.core.configuration.messages import Announce, Peer
from azurefold.wire.orders import GetHead, GetSections, HeadReply

FIRST, SECOND = text(), text(o_007=9.0)
OLD_HEAD = head_of(FIRST)
NEW_HEAD = head_of(SECOND, OLD_HEAD)


def linked(make_loop):
    """Return a loop, the caller it asks, and that caller's loop."""
    other = make_loop("other")
    caller = DirectCaller(other)
    loop = make_loop("one", FewPeers(callers={"other": caller}))
    return loop, caller, other


def test_one_changed_organisation_moves_a_delta_and_one_section(make_loop):
    loop, caller, other = linked(make_loop)
    hold(loop, OLD_HEAD, FIRST)
    hold(other, OLD_HEAD, FIRST)
    hold(other, NEW_HEAD, SECOND)
    hear(loop, NEW_HEAD.head_id, Peer("other"))
    assert loop.follower.head == NEW_HEAD
    head, sections = caller.replies
    assert len(sections.contents) == 1
    whole = other.give_head(GetHead(0), None)
    assert len(head.head) < len(whole.head) / 10


def test_a_process_that_holds_nothing_gets_all(make_loop):
    loop, _, other = linked(make_loop)
    hold(other, NEW_HEAD, SECOND)
    hear(loop, NEW_HEAD.head_id, Peer("other"))
    assert loop.follower.head == NEW_HEAD
    assert json.loads(loop.raw) == json.loads(other.raw)


def test_a_delta_upon_another_edit_of_that_number_is_not_applied(make_loop):
    """A store was restored, and number 1 given to two edits.

    Symptom: a process holds a mixture of two configurations under one number.
    Sequence: one process holds the edit that was lost, its peer the other one
    and the next; the process asks what changed since number 1. Cause: a number
    does not say which content a delta starts from. The digest does, and the
    process asks again for the whole.
    """
    loop, caller, other = linked(make_loop)
    lost = text(o_100=5.0)
    hold(loop, head_of(lost, edit_id="lost"), lost)
    hold(other, OLD_HEAD, FIRST)
    hold(other, NEW_HEAD, SECOND)
    hear(loop, NEW_HEAD.head_id, Peer("other"))
    assert loop.follower.head == NEW_HEAD
    assert json.loads(loop.raw) == json.loads(other.raw)
    assert [type(each) for each in caller.replies][:2] == [HeadReply, HeadReply]


def test_a_request_of_an_older_process_gets_the_whole_head(make_loop):
    """It names the revision that it wants, not the one that it holds."""
    loop = make_loop()
    hold(loop, OLD_HEAD, FIRST)
    hold(loop, NEW_HEAD, SECOND)
    wanted = loop.give_head(GetHead(NEW_HEAD.revision), None)
    assert wanted == loop.give_head(GetHead(0), None)


def test_damaged_contents_are_left_out(make_loop, monkeypatch):
    loop, caller, other = linked(make_loop)
    hold(other, OLD_HEAD, FIRST)
    give = ConfigurationLoop.give_sections

    def damaged(self, request, sender):
        reply = give(self, request, sender)
        first = next(iter(reply.contents))
        reply.contents[first] = b"not compressed"
        return reply

    monkeypatch.setattr(ConfigurationLoop, "give_sections", damaged)
    hear(loop, OLD_HEAD.head_id, Peer("other"))
    assert loop.revision == 0
    monkeypatch.undo()
    assert zlib.decompress(
        next(iter(give(other, GetSections((_any_hash(),)), None).contents.values()))
    )


def test_what_all_know_is_told_once_a_second_and_news_at_once(make_loop, time):
    sent = []
    near = [f"127.0.0.1:{port}" for port in range(7001, 7011)]
    loop = make_loop(peers=FewPeers(near), sent=sent)
    hold(loop, OLD_HEAD, FIRST)
    at_news = len(sent)
    for _ in range(20):
        loop._announce(Announce(OLD_HEAD.head_id, 0))
    assert len(sent) == at_news
    time.advance(1_000)
    loop._announce(Announce(OLD_HEAD.head_id, 0))
    assert 0 < len(sent) - at_news < at_news
    before = len(sent)
    hold(loop, NEW_HEAD, SECOND)
    assert len(sent) - before == at_news


def _any_hash():
    return next(iter(OLD_HEAD.sections.values()))
