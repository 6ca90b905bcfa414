"""The page on capacity gives the figures that its JSON gives, and no others."""

import copy
import json
import re

import pytest
from bench.slopes_fit import fit, fit_from
from bench.slopes_page import (
    FIGURES,
    NO_STEP,
    PAGE,
    rendered,
    without_blocks,
)
from bench.slopes_worked_out import rows

_LINE = "control.by_endpoints.udp_bytes_per_s"


@pytest.fixture(scope="module")
def figures():
    return json.loads(FIGURES.read_text("utf-8"))


@pytest.fixture(scope="module")
def page():
    return PAGE.read_text("utf-8")


def check(page, figures):
    assert page == rendered(page, figures), (
        "docs/CAPACITY.md differs from docs/capacity.json; "
        "run python -m bench.slopes_page"
    )


def check_prose(page):
    found = re.findall(r".*\d.*", without_blocks(page))
    assert not found, f"figures outside the page's markers: {found}"


def test_the_page_gives_the_figures_of_the_json(page, figures):
    check(page, figures)


def test_no_figure_stands_outside_the_markers(page):
    check_prose(page)


def test_slopes_are_those_of_the_measured_values(figures):
    for name, raw in figures["lines"].items():
        kept = fit_from(raw)
        again = fit(kept.driver, kept.unit, kept.sizes, kept.values)
        scale = max(map(abs, kept.values), default=0) + 1e-12
        for each in ("intercept", "residual"):
            difference = abs(getattr(kept, each) - getattr(again, each))
            assert difference <= 1e-3 * scale, f"{each} of {name}"
        at_largest = max(kept.sizes)
        assert abs(kept.at(at_largest) - again.at(at_largest)) <= 1e-3 * scale, name


def test_each_line_has_four_sizes_or_more(figures):
    short = [n for n, raw in figures["lines"].items() if len(set(raw["sizes"])) < 4]
    assert not short


def test_all_over_budget_stand_at_the_head_with_a_next_step(page, figures):
    over = [row for row in rows(figures["lines"]) if row.is_over]
    head = page[: page.index("## How to read this page")]
    for row in over:
        assert f"**{row.role}, {row.mechanism}**" in head
    assert head.count("Next step: ") == len(over)
    assert NO_STEP not in head


def test_the_check_finds_a_figure_changed_on_the_page(page, figures):
    changed = page.replace(" *w* of ", "1 *w* of ", 1)
    assert changed != page
    with pytest.raises(AssertionError, match="differs"):
        check(changed, figures)


def test_the_check_finds_a_figure_changed_in_the_json(page, figures):
    changed = copy.deepcopy(figures)
    changed["lines"][_LINE]["slope"] *= 2
    with pytest.raises(AssertionError, match="differs"):
        check(page, changed)


def test_the_check_finds_a_figure_in_the_prose(page):
    with pytest.raises(AssertionError, match="outside"):
        check_prose(page + "\nAn entry bears 300 requests a second.\n")
