"""Operators' evacuations of data centres as the platform's store holds them."""

__all__ = ["BadEvacuationError", "decode_evacuation", "is_evacuation"]

_PREFIX = "evacuate/"


class BadEvacuationError(ValueError):
    """A row that names no data centre."""


def is_evacuation(key: str) -> bool:
    """Whether a row of the operators' table evacuates a data centre."""
    return key.startswith(_PREFIX)


def decode_evacuation(key: str) -> str:
    """Return the data centre that a row evacuates while it exists.

    The row's value says nothing, so one that cannot be read changes nothing.

    Raises
    ------
    BadEvacuationError
        If the key names none.

    Examples
    --------
    >>> decode_evacuation("evacuate/dc-a")
    'dc-a'
    """
    name = key.removeprefix(_PREFIX)
    if not name.strip():
        raise BadEvacuationError(f"no data centre in {key!r}")
    return name
