"""Sections are small and stable; heads distinguish branches of edits."""

import string

from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.configuration.head import (
    MAX_CHAIN_LENGTH,
    NO_HEAD,
    Head,
    HeadId,
    HeadRelation,
    apply_delta,
    build_next_head,
    classify_relation,
    compute_delta,
    decode_head,
    decode_head_id,
    encode_json,
)
from azurefold.core.configuration.pollers import choose_pollers
from azurefold.core.configuration.sections import (
    assemble_configuration,
    content_hash,
    split_configuration,
)

NAMES = st.text(string.ascii_lowercase, min_size=1, max_size=4)
VALUES = st.dictionaries(st.text(max_size=3), st.integers() | st.text(max_size=3))
RAW = st.fixed_dictionaries(
    {
        "services": st.dictionaries(NAMES, VALUES),
        "organisations": st.dictionaries(NAMES, VALUES),
    }
)
SECTIONS = st.dictionaries(NAMES, NAMES)


@given(RAW)
def test_assembling_reverses_splitting(raw):
    assert assemble_configuration(split_configuration(raw)) == raw


def test_changing_one_organisation_changes_one_small_section():
    raw = {"services": {}, "organisations": {}}
    raw["organisations"] = {f"organisation-{i}": {"share": 1} for i in range(8_200)}
    before = split_configuration(raw)
    raw["organisations"]["organisation-77"] = {"share": 2}
    after = split_configuration(raw)
    changed = [name for name in after if after[name] != before[name]]
    assert len(changed) == 1
    assert len(after[changed[0]]) < 4_096


@given(SECTIONS, SECTIONS)
def test_applying_delta_gives_the_new_head(old, new):
    base = build_next_head(NO_HEAD, "e1", old)
    head = build_next_head(base, "e2", new)
    assert apply_delta(base, compute_delta(base, head)) == head


@given(SECTIONS)
def test_decoding_reverses_encoding(sections):
    head = build_next_head(Head(3, "e3", {}, ("e2",)), "e4", sections)
    assert decode_head(encode_json(head)) == head
    assert decode_head_id(encode_json(head.head_id)) == head.head_id


def test_relations_on_same_branch_and_across_branches():
    head = NO_HEAD
    for number in range(1, MAX_CHAIN_LENGTH + 5):
        head = build_next_head(head, f"e{number}", {"service/a": content_hash(b"a")})
    assert classify_relation(head, head.head_id) is HeadRelation.SAME
    assert (
        classify_relation(head, HeadId(head.revision + 1, "x", ""))
        is HeadRelation.NEWER
    )
    assert (
        classify_relation(head, HeadId(head.revision, "x", "")) is HeadRelation.FORKED
    )
    assert classify_relation(head, HeadId(10, "e10", "")) is HeadRelation.ANCESTOR
    assert classify_relation(head, HeadId(10, "x", "")) is HeadRelation.FORKED
    assert classify_relation(head, HeadId(1, "e1", "")) is HeadRelation.FORKED, (
        "beyond the chain"
    )
    assert classify_relation(head, NO_HEAD.head_id) is HeadRelation.ANCESTOR


@given(st.sets(NAMES, min_size=3), st.data())
def test_failed_poller_is_replaced_without_moving_others(live_controls, data):
    failed = data.draw(st.sampled_from(sorted(live_controls)))
    before = set(choose_pollers(live_controls, "fukuoka-hall"))
    after = set(choose_pollers(live_controls - {failed}, "fukuoka-hall"))
    assert before - {failed} <= after
    assert len(after) == 2
