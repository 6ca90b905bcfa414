"""Pages lead where they say, and name metrics and modules that exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SOURCE = ROOT / "src" / "azurefold"
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
LINK = re.compile(r"\]\(([^)#\s]+)(#[^)\s]*)?\)")
METRIC = re.compile(r"\bazurefold_(?:entry|control|agent)_[a-z_]+\b")
LITERAL = re.compile(r'"(azurefold_(?:entry|control|agent)_[a-z_]+)"')
MODULE = re.compile(r"`([a-z_]+(?:/[a-z_]+)*/(?:[a-z_]+\.py)?)`")
FENCED = re.compile(r"^```.*?^```", re.S | re.M)


def read(page):
    return page.read_text("utf-8")


def broken_links(text, folder):
    targets = [target for target, _ in LINK.findall(FENCED.sub("", text))]
    inside = [target for target in targets if "://" not in target]
    return [target for target in inside if not (folder / target).exists()]


def metrics_in_code():
    sources = [read(path) for path in SOURCE.rglob("*.py")]
    return {each for text in sources for each in LITERAL.findall(text)}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_relative_links_lead_to_files(page):
    assert broken_links(read(page), page.parent) == []


def test_a_broken_link_is_seen(tmp_path):
    assert broken_links("see [this](no-such-page.md#part)", tmp_path)


def test_every_metric_on_the_operators_page_is_in_the_code():
    told = set(METRIC.findall(read(ROOT / "docs" / "OPERATORS.md")))
    assert len(told) > 10
    assert told <= metrics_in_code()


def test_every_metric_in_the_code_is_on_the_operators_page():
    """Symptom: operators cannot find out what a metric is for.

    Sequence: a mechanism gets a metric. Cause: the table is written by hand.
    """
    assert metrics_in_code() <= set(METRIC.findall(read(ROOT / "docs/OPERATORS.md")))


def test_modules_on_the_architecture_page_exist():
    text = FENCED.sub("", read(ROOT / "docs" / "ARCHITECTURE.md"))
    named = MODULE.findall(text)
    assert len(named) > 30
    assert [each for each in named if not (SOURCE / each).exists()] == []
