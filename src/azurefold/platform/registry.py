"""Endpoints' own entries in the platform's store."""

import msgspec

from azurefold.core.membership.registry import EndpointEntry

__all__ = ["TABLE", "decode_entry"]

TABLE = "servers"
"""The table in which endpoints register themselves, by their ids."""

_LEAVING = "draining"


class _Entry(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    slots: int = msgspec.field(name="Slots", default=1)
    state: str = msgspec.field(name="State", default="ready")


_decode = msgspec.json.Decoder(_Entry).decode


def decode_entry(name: str, value: bytes) -> EndpointEntry:
    """Decode the entry of the endpoint ``name``.

    Raises
    ------
    msgspec.MsgspecError
        If it is not of the known form.
    """
    read = _decode(value)
    return EndpointEntry(
        name=name,
        service=read.service,
        address=read.address,
        data_centre=read.zone,
        slots=read.slots,
        leaving=read.state == _LEAVING,
    )
