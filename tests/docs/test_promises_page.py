"""The page of promises names tests that exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "PROMISES.md"
NODE = re.compile(r"`(tests/[\w/.-]+?)(?:::(\w+))?(?:\[[^\]]*\])?`")


def _named():
    return sorted(set(NODE.findall(PAGE.read_text("utf-8"))))


def test_the_page_names_tests():
    assert len(_named()) > 20


@pytest.mark.parametrize(("path", "function"), _named())
def test_each_named_test_exists(path, function):
    file = ROOT / path
    assert file.exists(), f"{path} is named on the page and is not there"
    if function:
        tree = ast.parse(file.read_text("utf-8"))
        names = {n.name for n in ast.walk(tree) if isinstance(n, ast.FunctionDef)}
        assert function in names, f"{path} has no {function}"
