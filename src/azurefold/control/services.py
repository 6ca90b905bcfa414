"""The services of the accepted configuration, without its organisations."""

from azurefold.border.configuration import configuration_from_raw
from azurefold.core.configuration.model import Service
from azurefold.core.configuration.sections import (
    Sections,
    assemble_configuration,
    select_services,
)

__all__ = ["configured_services"]


def configured_services(sections: Sections) -> dict[str, Service]:
    """Return the services by name, from the sections that hold them.

    Validating 8,200 organisations at each of their changes would take most of the
    time, and nothing here depends on them.

    Raises
    ------
    ValueError
        If this version cannot use the services.
    """
    raw = assemble_configuration(select_services(sections))
    return dict(configuration_from_raw(raw).services)
