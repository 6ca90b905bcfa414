"""Write the tables of docs/CAPACITY.md from docs/capacity.json.

``python -m bench.slopes_page`` writes the page's tables anew;
``python -m bench.slopes_page take`` first takes in what ``make slopes`` measured.
Every figure on the page stands between two markers and comes from the JSON.
"""

import json
import re
import sys
from collections.abc import Iterable, Mapping
from pathlib import Path

from bench.slopes import OUT
from bench.slopes_fit import Fit, fit_from
from bench.slopes_target import target_rows
from bench.slopes_worked_out import Row, rows

__all__ = ["FIGURES", "NO_STEP", "PAGE", "blocks", "main", "rendered", "without_blocks"]

_DOCS = Path(__file__).resolve().parents[1] / "docs"
PAGE = _DOCS / "CAPACITY.md"
FIGURES = _DOCS / "capacity.json"

_BLOCK = re.compile(r"<!-- (?P<name>[a-z-]+) -->\n.*?<!-- end -->", re.DOTALL)
NO_STEP = "none is named in docs/capacity.json yet."
"""Stands where a figure has gone over its budget since; the page's test fails."""

_LINES = "lines"
_ROUNDS = "rounds"
_STEPS = "next_steps"
_LARGE, _UNIT = 100, 1
_PER_CENT = 100


def main(arguments: list[str]) -> int:
    """Write the page; ``take`` takes in new measurements first."""
    figures = json.loads(FIGURES.read_text("utf-8"))
    if arguments == ["take"]:
        figures[_LINES].update(json.loads(OUT.read_text("utf-8")))
        text = json.dumps(figures, indent=1, sort_keys=True, ensure_ascii=False)
        FIGURES.write_text(text + "\n", "utf-8")
    PAGE.write_text(rendered(PAGE.read_text("utf-8"), figures), "utf-8")
    return 0


def rendered(page: str, figures: Mapping) -> str:
    """Return the page with all its blocks written anew.

    Raises
    ------
    KeyError
        If the page names a block that there is none of.
    """
    made = blocks(figures)

    def block(match: re.Match) -> str:
        name = match["name"]
        return f"<!-- {name} -->\n{made[name]}\n<!-- end -->"

    return _BLOCK.sub(block, page)


def without_blocks(page: str) -> str:
    """Return what people wrote: the page without its blocks."""
    return _BLOCK.sub("", page)


def blocks(figures: Mapping) -> dict[str, str]:
    """Return the text of each block by its name."""
    lines = {name: fit_from(each) for name, each in figures[_LINES].items()}
    found = rows(figures[_LINES])
    return {
        "over-budget": _over_budget(found, figures[_STEPS]),
        "target": _target(),
        "worked-out": _worked_out(found),
        "control": _measured(lines, ("control.", "changes.")),
        "requests": _measured(lines, ("requests.", "groups.")),
        "core": _measured(lines, ("core.",)),
        "rounds": "\n\n".join(_round(each) for each in figures[_ROUNDS]),
        "machine": figures["machine"],
    }


def _over_budget(found: Iterable[Row], steps: Mapping[str, str]) -> str:
    over = [row for row in found if row.is_over]
    if not over:
        return "Nothing is over its budget."
    return "\n".join(_overrun(row, steps) for row in over)


def _overrun(row: Row, steps: Mapping[str, str]) -> str:
    times = row.worked_out / row.budget
    step = steps.get(f"{row.role}: {row.mechanism}, {row.unit}", NO_STEP)
    return (
        f"- **{row.role}, {row.mechanism}**: {_figure(row.worked_out, row.unit)} *w* "
        f"of {_figure(row.budget, row.unit)}, {_number(times)} times the budget. "
        f"Next step: {step}"
    )


def _target() -> str:
    listed = [
        (name, f"{_number(figure)} {unit}".strip())
        for name, figure, unit in target_rows()
    ]
    return _table(("what", "how much"), listed)


def _worked_out(found: Iterable[Row]) -> str:
    listed = [
        (
            row.role,
            row.mechanism,
            f"{_figure(row.worked_out, row.unit)} *w*",
            "none named" if row.budget is None else _figure(row.budget, row.unit),
            _margin(row),
            ", ".join(f"`{name}`" for name in row.from_fits),
        )
        for row in found
    ]
    heads = ("role", "mechanism", "at the target", "budget", "margin", "from")
    return _table(heads, listed)


def _margin(row: Row) -> str:
    if row.budget is None:
        return ""
    left = _PER_CENT * (1 - row.worked_out / row.budget)
    return f"**over by {_number(-left)}%**" if row.is_over else f"{_number(left)}%"


def _measured(lines: Mapping[str, Fit], prefixes: tuple[str, ...]) -> str:
    listed = [
        (
            f"`{name}`",
            line.driver,
            ", ".join(_number(size) for size in line.sizes),
            ", ".join(_number(value) for value in line.values),
            line.unit,
            f"{_number(line.slope)} *w*",
            f"{_number(line.intercept)} *w*",
            f"{_number(line.residual)} *w*",
        )
        for name, line in sorted(lines.items())
        if name.startswith(prefixes)
    ]
    heads = ("line", "driver", "sizes", "measured", "unit", "slope", "intercept",
             "residual")  # fmt: skip
    return _table(heads, listed)


def _round(entry: Mapping) -> str:
    listed = [
        (each["figure"], _number(each["before"]), _number(each["after"]), each["unit"])
        for each in entry["figures"]
    ]
    table = _table(("figure", "before", "after", "unit"), listed)
    return f"**{entry['title']}** {entry['text']}\n\n{table}"


def _table(heads: tuple[str, ...], body: Iterable[tuple[str, ...]]) -> str:
    marks = tuple("---" for _ in heads)
    return "\n".join(f"| {' | '.join(row)} |" for row in (heads, marks, *body))


def _figure(value: float, unit: str) -> str:
    if unit == "of a core":
        return f"{_number(_PER_CENT * value)}% of a core"
    return f"{_number(value)} {unit}"


def _number(value: float) -> str:
    if abs(value) >= _LARGE:
        return f"{value:,.0f}"
    if abs(value) >= _UNIT:
        return f"{value:.3g}"
    return f"{value:.2g}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
