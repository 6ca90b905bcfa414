"""Endpoints' own entries in the platform's store."""

import logging
from typing import Annotated, Literal

import msgspec

from azurefold.border.decoding import (
    Count,
    check_address,
    check_name,
    json_decoder,
    unreadable_as,
)
from azurefold.core.clock import Millis
from azurefold.core.membership.registry import EndpointEntry
from azurefold.internal.logs import log_event

__all__ = ["TABLE", "BadEntryError", "decode_entry"]

_log = logging.getLogger("azurefold.gateway")

TABLE = "servers"
"""The table in which endpoints register themselves, by their ids."""

_LEAVING = "draining"
_MOST_SLOTS = 65_536
"""Far above what one endpoint runs at once."""

_LONGEST_COLD_MS: Millis = 60_000
"""Longer times are cut, so that a wrong one does not exclude an endpoint for long."""


class BadEntryError(ValueError):
    """A row that names no endpoint to use, as other writers leave them."""


class _Entry(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)] = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MOST_SLOTS)] = msgspec.field(
        name="Slots"
    )
    state: Literal["ready", "draining"] = msgspec.field(name="State")
    # Not read, but an entry in which they are of another type is not an endpoint's.
    software: str = msgspec.field(name="Version", default="")
    orders: Count = msgspec.field(name="SeqNo", default=0)
    cold_ms: float = msgspec.field(name="ColdLeftMs", default=0)
    # When the endpoint started, in Unix milliseconds.
    born: Count = 0


_decode = json_decoder(_Entry)


def decode_entry(name: str, value: bytes) -> EndpointEntry:
    """Decode the entry of the endpoint ``name``.

    Raises
    ------
    BadEntryError
        If fields are missing, of another type or out of range, the state is not known,
        or the name or the address cannot be used.
    """
    with unreadable_as(BadEntryError):
        check_name(name)
        read = _decode(value)
        check_address(read.address)
    return EndpointEntry(
        name=name,
        service=read.service,
        address=read.address,
        data_centre=read.zone,
        slots=read.slots,
        leaving=read.state == _LEAVING,
        started_at_ms=read.born,
        cold_left_ms=_cold_left(name, read.cold_ms),
    )


def _cold_left(name: str, told: float) -> Millis:
    """Return how long an endpoint stays cold, within bounds."""
    if 0 <= told <= _LONGEST_COLD_MS:
        return round(told)
    log_event(_log, "cold_time_out_of_range", logging.WARNING, endpoint=name, told=told)
    return _LONGEST_COLD_MS if told > 0 else 0
