"""The operators' commands tell what is known, and exit with a code that says it."""

import json
from pathlib import Path

from azurefold.commands.drain import drain
from azurefold.commands.reports import Exit
from azurefold.core.clock import ManualTime, manual_clock
from azurefold.core.configuration.head import HeadId
from azurefold.wire.orders import DrainReply


def test_check_needs_no_platform_and_tells_all_findings(run, text, tmp_path):
    code, told = run("check", text(), with_settings=False)
    assert (code, told) == (0, "good: services 1, organisations 1, endpoints 1\n")
    code, told = run("check", text(timeout_ms=0, share=0), with_settings=False)
    assert code == 2
    assert "text.jsonc:3:51: services.bookings.limits.timeout_ms" in told
    assert "organisations.union.share" in told
    code, told = run("check", tmp_path / "no", "--json", with_settings=False)
    assert code == 2
    assert json.loads(told)["result"]["findings"][0]["problem"]


def test_apply_prints_each_data_centre(run, text):
    code, told = run("apply", text())
    assert code == 0
    assert "accepted: revision 1" in told
    assert "fukuoka-hall: in force after" in told
    assert "kumamoto-hall: in force after" in told


def test_apply_on_a_lost_base_says_what_changed_since(run, text):
    """Symptom: a colleague's edit is undone by an older text.

    Sequence: two edit from revision 1, one is accepted, then the other.
    Cause: without a base nobody sees that the text is older.
    """
    run("apply", text())
    code, told = run("apply", text(share=7), "--base", 1, "--author", "yuki")
    assert code == 0, told
    code, told = run("apply", text(timeout_ms=9), "--base", 1)
    assert code == 1
    assert "revision 2 by yuki changed organisations.union" in told
    assert "--base 2" in told
    code, told = run("apply", text(timeout_ms=9))
    assert code == 1
    assert "say with --base" in told


def test_same_text_is_no_edit(run, text):
    run("apply", text())
    code, told = run("apply", text(), "--base", 1)
    assert (code, told) == (0, "nothing to do: the text is what revision 1 says\n")


def test_data_centre_that_does_not_follow_is_named(run, text, controls):
    controls["c2"].held = HeadId(0, "", "")
    code, told = run("apply", text(), "--wait_timeout_ms", 300)
    assert code == 4
    assert "fukuoka-hall: in force after" in told
    assert "kumamoto-hall: not reached (c2 holds revision 0)" in told


def test_stranger_on_an_address_and_another_edit_do_not_count(run, text, controls):
    """Symptom: "in force" is printed for a data centre that never got the edit.

    Sequence: an address now belongs to another VM; or a restored store gave the
    number to another edit. Cause: a number alone proves neither.
    """
    controls["c1"].answers_as = "somebody-else"
    controls["c2"].held = HeadId(1, "another-edit", "")
    code, told = run(
        "apply", text(), "--wait_timeout_ms", 300, "--over_restored", "--json"
    )
    assert code == 4
    reach = json.loads(told)["result"]["reach"]
    assert [each["in_force_after_ms"] for each in reach][0] is None


def test_number_of_another_edit_is_not_this_edit(run, text, controls):
    code, told = run("apply", text(), "--nowait", "--json")
    head_id = json.loads(told)["result"]["mark"]
    controls["c2"].held = HeadId(head_id["revision"] + 1, "other", "")
    controls["c1"].held = HeadId(head_id["revision"], "other", "")
    code, told = run("status")
    assert code == 0
    assert "fukuoka-hall/c1: revision 1, edit other" in told


def test_processes_ahead_of_a_restored_store_stop_an_apply(run, text, controls):
    """Symptom: an accepted edit is in force nowhere.

    Sequence: the store is restored to revision 1, processes hold 5, an operator
    gets revision 2 accepted, which no process takes. Cause: the platform alone
    does not know how far the processes are.
    """
    run("apply", text())
    for control in controls.values():
        control.held = HeadId(5, "held", "")
    code, told = run("apply", text(share=2), "--base", 1)
    assert code == 1
    assert "processes hold revision 5, the platform shows 1" in told
    code, told = run("apply", text(share=2), "--base", 1, "--over_restored", "--nowait")
    assert (code, told.startswith("accepted: revision 6")) == (0, True)


def test_platform_down_and_lost_answers(run, text, order):
    order("PUT", "/faults", '{"mode": "down"}')
    code, told = run("apply", text(), "--accept_timeout_ms", 300)
    assert code == 5
    assert "nothing was changed" in told
    order("PUT", "/faults", '{"mode": "lose_answers", "count": 3}')
    code, told = run("apply", text(), "--nowait")
    assert (code, told[:9]) == (0, "accepted:")


def test_platform_too_slow_to_answer_leaves_the_outcome_unknown(
    run, text, settings, order
):
    """Symptom: an operator repeats an edit that then lands twice.

    Sequence: the platform acts later than anyone waits. Cause: "failed" would be
    a guess.
    """
    run("apply", text())
    # A text that only removes something has no contents to store, so the first
    # slow request is the conditional write itself.
    shorter = Path(text())
    shorter.write_text(shorter.read_text().replace('"union": {"share": 1}', ""))
    raw = json.loads(Path(settings).read_text())
    Path(settings).write_text(json.dumps(raw | {"platform_timeout_ms": 300}))
    slow = {"mode": "slow", "latency_ms": 4_000, "writes_only": True}
    order("PUT", "/faults", json.dumps(slow))
    code, told = run("apply", shorter, "--base", 1, "--accept_timeout_ms", 500)
    assert code == 3
    assert "ask again with azurefold outcome 2 " in told


def test_unknown_outcome_is_told_and_can_be_asked(run, text, order):
    run("apply", text())
    order("PUT", "/faults", '{"mode": "ok"}')
    code, told = run("outcome", 1, "not-this-one")
    assert (code, "not accepted: revision 1 is edit" in told) == (1, True)
    code, told = run("outcome", 2, "late-one")
    assert (code, "a slow write may yet land" in told) == (3, True)


def test_diff_and_show(run, text):
    run("apply", text())
    code, told = run("diff", text(timeout_ms=9, share=2))
    assert code == 0
    assert "~ services.bookings.limits.timeout_ms: 5000 -> 9" in told
    assert "~ organisations.union.share: 1.0 -> 2.0" in told
    code, told = run("show")
    assert told.startswith("// revision 1; apply changes with --base 1\n")
    assert "bookings" in told


def test_watch_prints_changes_only(run, text):
    run("apply", text())
    code, told = run("watch", "--for_ms", 1_200)
    assert code == 0
    assert told.count("platform: revision 1") == 1


class Replies:
    def __init__(self, *replies):
        self.replies = list(replies)

    def call(self, method, request, response_type, timeout_ms):
        assert request.endpoint == "b0"
        return self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]


def drained(*replies, until=10_000):
    said = []
    clock = manual_clock(ManualTime())
    report = drain("b0", [Replies(*replies)], clock, said.append, until)
    return report.exit, [*said, *report.lines]


def test_drain_waits_until_nothing_is_in_flight():
    code, told = drained(
        DrainReply(True), DrainReply(True, True, 2), DrainReply(True, True, 0)
    )
    assert code is Exit.OK
    assert told == [
        "b0: takes no new work, 2 in flight",
        "b0: drained, nothing in flight",
    ]


def test_drain_that_is_not_confirmed_is_not_called_done():
    assert drained(DrainReply(True), until=0)[0] is Exit.NOT_REACHED
    assert drained(DrainReply(True, True, 1), until=0)[0] is Exit.NOT_REACHED
    assert drained(DrainReply(False), until=0)[0] is Exit.UNAVAILABLE


def test_drain_without_keys_says_what_the_settings_need(run):
    code, told = run("drain", "b0")
    assert code == 5
    assert "the settings need keys" in told
