"""Settings of ``azurefold-report``."""

from collections.abc import Iterable
from typing import Annotated, Any

from pydantic import Field

from azurefold.border.fields import Address, Milliseconds, Name, doubled_entries, part
from azurefold.border.findings import Problem
from azurefold.border.validation import BorderModel, read_text, validated

__all__ = ["ReportEntry", "ReportSettings", "load_report_settings"]

_ADDRESS = 'an IP number with a port, "10.0.0.1:9090"'


class ReportEntry(BorderModel):
    """An entry whose metrics are read."""

    name: Name = Field(description="the name in that entry's settings")
    metrics: Address = Field(description=f"where its /metrics is served: {_ADDRESS}")


class ReportSettings(BorderModel):
    """Where ``azurefold-report`` finds counts and objectives.

    The objectives come from the file ``configuration`` if it is given, otherwise
    from what the platform has accepted.
    """

    entries: Annotated[list[ReportEntry], Field(min_length=1)] = Field(
        description="the entries to read, at least one"
    )
    configuration: str = Field(
        default="", description="path of the configuration text, or left out"
    )
    platform: list[Address] = Field(
        default_factory=list,
        description="the platform's addresses, needed without configuration",
    )
    platform_timeout_ms: Milliseconds = Field(
        default=2_000, description="milliseconds for one request to the platform"
    )
    metrics_timeout_ms: Milliseconds = Field(
        default=2_000, description="milliseconds for an entry to give its metrics"
    )
    state: str = Field(
        default="", description="path of the file of earlier readings, or left out"
    )
    apart_ms: Milliseconds = Field(
        default=10_000,
        description="milliseconds between two readings when none is kept",
    )


def load_report_settings(path: str) -> ReportSettings:
    """Read the settings file at ``path``.

    Raises
    ------
    FindingsError
        With every finding and its place.
    """
    message = "the settings are refused"
    return validated(read_text(path), ReportSettings, _cross_check, message)


def _cross_check(raw: Any) -> Iterable[Problem]:
    entries = part(raw, "entries", kind=list)
    for named_by in ("name", "metrics"):
        yield from doubled_entries(entries, ("entries",), named_by)
    given = part(raw, kind=dict)
    if not given.get("configuration") and not given.get("platform"):
        yield Problem(
            (), "says nowhere what the objectives are", "configuration or platform"
        )
