"""Renders burn reports as text for operators."""

from collections.abc import Iterable, Iterator

from azurefold.core.clock import SECOND, Millis
from azurefold.core.objectives.burn import BurnReport, Offender, WindowBurn
from azurefold.core.objectives.objective import Objective

__all__ = ["format_duration", "render_burn"]

_UNITS = ((86_400 * SECOND, "d"), (3_600 * SECOND, "h"), (60 * SECOND, "min"))


def render_burn(reports: Iterable[BurnReport]) -> str:
    """Return the reports as text, one block for each objective."""
    blocks = ("\n".join(_render_report(report)) for report in reports)
    return "\n\n".join(blocks) + "\n"


def _render_report(report: BurnReport) -> Iterator[str]:
    counts = report.period.counts
    yield f"{report.service}: {_render_objective(report.objective)}"
    for burn in report.windows:
        yield f"  last {format_duration(burn.window)}: {_render_burn_rate(burn)}"
    yield (
        f"  budget left: {report.budget_left:.1%} "
        f"({counts.bad} bad of {counts.total} "
        f"in {format_duration(report.period.covered)} "
        f"of {format_duration(report.objective.period)})"
    )
    yield f"  {_render_exhaustion(report)}"
    yield from _render_offenders("worst organisations", report.worst_organisations)
    yield from _render_offenders("worst endpoints", report.worst_endpoints)


def _render_objective(objective: Objective) -> str:
    within = ""
    if objective.threshold is not None:
        within = f" within {objective.threshold} ms"
    return f"{objective.kind.value}{within} for {objective.target:.4%}"


def _render_burn_rate(burn: WindowBurn) -> str:
    if burn.rate is None:
        return "no requests"
    counts = burn.observed.counts
    text = f"burn rate {burn.rate:.2f} ({counts.bad} bad of {counts.total})"
    if burn.observed.covered < burn.window:
        text += f", samples cover {format_duration(burn.observed.covered)} only"
    return text


def _render_exhaustion(report: BurnReport) -> str:
    at_rate = f"at the rate of the last {format_duration(report.ends_window)}"
    if report.ends_in is None:
        return f"budget does not end {at_rate}"
    if report.ends_in == 0:
        return "budget is spent"
    return f"budget ends in {format_duration(report.ends_in)} {at_rate}"


def _render_offenders(title: str, offenders: tuple[Offender, ...]) -> Iterator[str]:
    if not offenders:
        return
    yield f"  {title}:"
    for offender in offenders:
        yield (
            f"    {offender.name}: {offender.counts.bad} bad of "
            f"{offender.counts.total}, burn rate {offender.rate:.2f}, "
            f"{offender.share_of_bad:.0%} of all bad"
        )


def format_duration(span: Millis) -> str:
    """Return a time span in the largest unit of which it is at least one.

    Examples
    --------
    >>> format_duration(300_000), format_duration(5_400_000), format_duration(1_500)
    ('5 min', '1.5 h', '1.5 s')
    """
    for unit_ms, name in _UNITS:
        if span >= unit_ms:
            return f"{span / unit_ms:.3g} {name}"
    return f"{span / SECOND:.3g} s"
