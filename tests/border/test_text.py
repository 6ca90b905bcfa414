"""JSON with comments: values, and places of what is wrong."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.border.findings import Problem
from azurefold.border.text import parse_text

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


@given(JSON_VALUES, st.sampled_from([None, 1]))
def test_every_part_of_any_json_has_a_place(value, indent):
    """The grammar accepts what the fast library accepts."""
    source = "// first\n" + json.dumps(value, indent=indent) + " /* last */"
    text = parse_text("x", source)
    assert text.value == value
    (finding,) = text.findings([Problem((), "p", "e")])
    assert finding.place.line == 2


@pytest.mark.parametrize(
    ("source", "line", "column", "words"),
    [
        ('{\n  "a" 1\n}', 2, 7, "expected ':'"),
        ("", 1, 1, "ends too early"),
        ('{"a": [1, 2', 1, 11, "ends too early"),
        ('{\n"a": NaN}', 2, 6, "out of place"),
        ('{"a": 01}', 1, 8, "out of place"),
        ('{"a": "b\n"}', 1, 7, "out of place"),
    ],
)
def test_syntax_errors_have_line_and_column(refused, source, line, column, words):
    places, told = refused(parse_text, "x.jsonc", source)
    assert places == [(line, column, "")]
    assert f"x.jsonc:{line}:{column}:" in told
    assert words in told


def test_doubled_keys_are_refused_all_of_them(refused):
    """Symptom: half of a service's settings vanish without a word.

    Sequence: an operator pastes an object twice; the parser takes the last.
    Cause: JSON leaves equal keys open, so they are refused here.
    """
    source = '{"a": 1,\n "a": 2,\n "b": {"c": 1,\n   "c": 2}}'
    places, told = refused(parse_text, "x", source)
    assert places == [(2, 2, "a"), (4, 4, "b.c")]
    assert "first at line 3" in told


def test_comment_marks_inside_strings_are_text():
    source = '{"url": "http://x/*y*/", "b": "a,]"}'
    assert parse_text("x", source).value == json.loads(source)


@pytest.mark.parametrize("depth", [200, 100_000])
def test_deep_nesting_is_refused_or_read_never_a_crash(depth, refused):
    source = "[" * depth + "]" * depth
    if depth == 200:
        assert parse_text("x", source).value
    else:
        assert "nested too deeply" in refused(parse_text, "x", source)[1]
