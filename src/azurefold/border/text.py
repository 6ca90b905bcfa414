"""JSON with comments: its value, and the place of each part of it.

The value comes from the ``jsonc`` library, which is fast but shifts positions
and takes the last of two equal keys. Only when something is wrong is the text
parsed a second time, by a grammar that keeps each part's line and column.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cache
from importlib import resources
from typing import Any

import jsonc
from lark import Lark, Token, Tree, UnexpectedInput

from azurefold.border.findings import (
    Finding,
    FindingsError,
    Path,
    Place,
    Problem,
    render_path,
)

__all__ = ["Text", "parse_text"]

_MOST_EXPECTED_SHOWN = 6
_NAMES_OF_TERMINALS = {
    "COMMA": "','",
    "COLON": "':'",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "LSQB": "'['",
    "RSQB": "']'",
    "STRING": "a string",
    "NUMBER": "a number",
    "TRUE": "true",
    "FALSE": "false",
    "NULL": "null",
    "$END": "the end of the text",
}


@dataclass(frozen=True, slots=True)
class _Spot:
    line: int
    column: int


@dataclass(slots=True)
class _Node:
    spot: _Spot
    key_spots: dict[str | int, _Spot] = field(default_factory=dict)
    children: dict[str | int, "_Node"] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Text:
    """A text that was read.

    Parameters
    ----------
    file : str
        Its name, for findings.
    source : str
        The text itself.
    value : object
        What it says, as plain JSON values.
    """

    file: str
    source: str
    value: Any

    def findings(self, problems: Iterable[Problem]) -> list[Finding]:
        """Give each problem its line and column, in the order of the text."""
        listed = list(problems)
        if not listed:
            return []
        root, doubled = _located(self.file, self.source)
        found = doubled + [_placed(self.file, root, problem) for problem in listed]
        return sorted(found, key=lambda each: (each.place.line, each.place.column))


def parse_text(file: str, source: str) -> Text:
    """Read JSON with comments.

    Parameters
    ----------
    file : str
        Name of the text, for findings.
    source : str
        The text.

    Raises
    ------
    FindingsError
        If it is not JSON with comments, or a key stands twice in one object.

    Examples
    --------
    >>> parse_text("a.jsonc", '{"port": 1, /* last */ }').value
    {'port': 1}
    """
    try:
        value = jsonc.loads(
            source,
            object_pairs_hook=_without_doubled_keys,
            parse_constant=_no_constant,
        )
    except (ValueError, RecursionError) as error:
        raise _syntax_findings(file, source, error) from None
    return Text(file, source, value)


def _without_doubled_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # JSON takes the last of two equal keys in silence. An operator who pastes
    # a service twice would find the first copy's settings gone without a word.
    members = dict(pairs)
    if len(members) != len(pairs):
        raise ValueError("a key stands twice")
    return members


def _no_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _syntax_findings(file: str, source: str, error: Exception) -> FindingsError:
    message = "the text is not JSON with comments"
    try:
        _, doubled = _located(file, source)
    except UnexpectedInput as unexpected:
        return FindingsError(message, [_unexpected(file, unexpected)])
    except RecursionError:
        place = Place(file)
        return FindingsError(
            message, [Finding(place, "nested too deeply", "a few levels")]
        )
    if doubled:
        return FindingsError("keys stand twice", doubled)
    place = Place(file)
    return FindingsError(message, [Finding(place, str(error), "JSON with comments")])


def _unexpected(file: str, error: UnexpectedInput) -> Finding:
    names = getattr(error, "accepts", None) or getattr(error, "expected", None)
    names = names or getattr(error, "allowed", None) or ()
    shown = sorted(_NAMES_OF_TERMINALS.get(name, name) for name in names)
    expected = " or ".join(shown[:_MOST_EXPECTED_SHOWN]) or "JSON with comments"
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        return Finding(_end_place(file, token), "the text ends too early", expected)
    char = str(token) if token is not None else getattr(error, "char", "")
    place = Place(file, error.line, error.column)
    return Finding(place, f"{char!r} is out of place", expected)


def _end_place(file: str, token: Token) -> Place:
    line = token.line if token.line is not None else 1
    column = token.column if token.column is not None else 1
    return Place(file, line, column)


@cache
def _parser() -> Lark:
    grammar = resources.files(__package__).joinpath("text.lark").read_text("utf-8")
    return Lark(
        grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False
    )


def _located(file: str, source: str) -> tuple[_Node, list[Finding]]:
    doubled: list[Finding] = []
    node = _node(file, _parser().parse(source), (), doubled)
    return node, doubled


def _node(file: str, part: Tree | Token, path: Path, doubled: list) -> _Node:
    if isinstance(part, Token):
        return _Node(_Spot(part.line, part.column))
    node = _Node(_Spot(part.meta.line, part.meta.column))
    if part.data == "list":
        for index, item in enumerate(part.children):
            node.children[index] = _node(file, item, (*path, index), doubled)
        return node
    for member in part.children:
        token, value = member.children
        key = json.loads(token)
        spot = _Spot(token.line, token.column)
        if key in node.key_spots:
            doubled.append(_doubled(file, spot, node.key_spots[key], (*path, key)))
        node.key_spots[key] = spot
        node.children[key] = _node(file, value, (*path, key), doubled)
    return node


def _doubled(file: str, spot: _Spot, first: _Spot, path: Path) -> Finding:
    place = Place(file, spot.line, spot.column, render_path(path))
    problem = f"this key stands twice, first at line {first.line}"
    return Finding(place, problem, "each key once")


def _placed(file: str, root: _Node, problem: Problem) -> Finding:
    # A missing key has no place of its own, so the walk ends at the nearest
    # part that is there: the object in which it is missing.
    node = root
    spot = root.spot
    for step in problem.path:
        if step not in node.children:
            break
        key_spot = node.key_spots.get(step)
        node = node.children[step]
        spot = node.spot
        if problem.at_key and key_spot is not None:
            spot = key_spot
    place = Place(file, spot.line, spot.column, render_path(problem.path))
    return Finding(place, problem.problem, problem.expected)
