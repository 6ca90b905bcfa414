"""The accepted configuration, read for comparison with an operator's text."""

from dataclasses import dataclass
from typing import Any

from azurefold.core.configuration.sections import assemble_configuration
from azurefold.site_store.configuration_store import Base, ConfigurationStore
from azurefold.site_store.messages import Unavailable

__all__ = ["AcceptedText", "read_accepted"]


@dataclass(frozen=True, slots=True)
class AcceptedText:
    """What is accepted now.

    Parameters
    ----------
    base : Base
        Its head.
    raw : dict
        Plain JSON values, all defaults written out.
    """

    base: Base
    raw: dict[str, Any]


def read_accepted(store: ConfigurationStore) -> AcceptedText | Unavailable:
    """Read the accepted configuration."""
    base = store.read_base()
    if isinstance(base, Unavailable):
        return base
    sections = store.read_sections(base.head)
    if isinstance(sections, Unavailable):
        return sections
    return AcceptedText(base, assemble_configuration(sections))
