"""Membership's messages as datagrams: compact arrays, read with care.

The structs here are the border: they check types and ranges, and turn into
the data classes of :mod:`azurefold.core.membership.messages` inside. Only
controls and endpoints that hold a key get this far; what remains are faults
of another version of the program.
"""

from typing import Annotated

import msgspec

from azurefold.core.configuration.head import HeadId
from azurefold.core.configuration.messages import HeadAnnouncement
from azurefold.core.membership import messages as core
from azurefold.core.membership.endpoints import Endpoint, Role, State

__all__ = ["AnyMessage", "MalformedError", "decode_message", "encode_message"]

AnyMessage = core.Message | HeadAnnouncement

_Hash = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Port = Annotated[int, msgspec.Meta(ge=0, le=2**16 - 1)]
_Text = Annotated[str, msgspec.Meta(max_length=255)]
_Address = Annotated[str, msgspec.Meta(max_length=255, pattern=r"^[^\s:].*:\d{1,5}$")]
_Rank = Annotated[int, msgspec.Meta(ge=-1, le=2**31)]
_MAX_ENTRIES = 1_024


class MalformedError(ValueError):
    """Bytes that are no message; the receiver drops and counts them."""


class _Wire(msgspec.Struct, array_like=True, frozen=True):
    pass


class _Record(_Wire):
    name: _Text
    incarnation: _Count
    address: _Address
    udp_port: _Port
    role: Role
    service: _Text
    rank: _Rank
    version: _Count
    announced: State
    load: _Count
    departing: bool
    silence: _Count
    orders_port: _Port = 0


class _Heartbeat(_Wire, tag=0):
    version: _Count
    announced: State
    load: _Count
    controls: _Hash
    reply_wanted: bool


class _Announcement(_Wire, tag=1):
    record: _Record
    controls: _Hash


class _Probe(_Wire, tag=2):
    pass


class _Reply(_Wire, tag=3):
    controls: Annotated[tuple[_Address, ...], msgspec.Meta(max_length=_MAX_ENTRIES)]
    announcement_wanted: bool


class _Records(_Wire, tag=4):
    records: Annotated[tuple[_Record, ...], msgspec.Meta(max_length=_MAX_ENTRIES)]


class _Change(_Wire):
    name: _Hash
    incarnation: _Count
    version: _Count
    announced: State
    departing: bool
    silence: _Count


class _Changes(_Wire, tag=9):
    changes: Annotated[tuple[_Change, ...], msgspec.Meta(max_length=_MAX_ENTRIES)]


class _Digest(_Wire, tag=5):
    buckets: Annotated[tuple[_Hash, ...], msgspec.Meta(max_length=_MAX_ENTRIES)]


class _Summary(_Wire, tag=6):
    bucket: _Hash
    entries: Annotated[
        tuple[tuple[_Hash, _Hash], ...], msgspec.Meta(max_length=_MAX_ENTRIES)
    ]


class _Want(_Wire, tag=7):
    names: Annotated[tuple[_Hash, ...], msgspec.Meta(max_length=_MAX_ENTRIES)]


class _MarkNews(_Wire, tag=8):
    revision: _Count
    edit_id: _Text
    digest: _Text
    age_ms: _Count | None


_AnyWire = (
    _Heartbeat
    | _Announcement
    | _Probe
    | _Reply
    | _Records
    | _Changes
    | _Digest
    | _Summary
    | _Want
    | _MarkNews
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_AnyWire)


def encode_message(message: AnyMessage) -> bytes:
    """Return a message's payload, to be sealed."""
    return _ENCODER.encode(_to_wire(message))


def decode_message(payload: bytes) -> AnyMessage:
    """Return the message that ``payload`` holds.

    Raises
    ------
    MalformedError
        For whatever is wrong with the bytes; nothing else is raised.
    """
    try:
        return _from_wire(_DECODER.decode(payload))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedError(str(error)) from error


def _to_wire(message: AnyMessage) -> _AnyWire:
    match message:
        case core.Heartbeat(version, announced, load, controls, reply_wanted):
            return _Heartbeat(version, announced, load, controls, reply_wanted)
        case core.Announcement(record, controls):
            return _Announcement(_record_to_wire(record), controls)
        case core.Probe():
            return _Probe()
        case core.Reply(controls, announcement_wanted):
            return _Reply(controls, announcement_wanted)
        case core.Records(records):
            return _Records(tuple(map(_record_to_wire, records)))
        case core.Changes(changes):
            return _Changes(tuple(_copy(change, _Change) for change in changes))
        case core.Digest(buckets):
            return _Digest(buckets)
        case core.Summary(bucket, entries):
            pairs = tuple((entry.name, entry.fingerprint) for entry in entries)
            return _Summary(bucket, pairs)
        case core.Want(names):
            return _Want(names)
        case HeadAnnouncement(head_id, age_ms):
            return _MarkNews(head_id.revision, head_id.edit_id, head_id.digest, age_ms)


def _from_wire(message: _AnyWire) -> AnyMessage:
    match message:
        case _Heartbeat():
            return core.Heartbeat(*_values(message))
        case _Announcement():
            return core.Announcement(_record(message.record), message.controls)
        case _Probe():
            return core.Probe()
        case _Reply():
            return core.Reply(*_values(message))
        case _Records():
            return core.Records(tuple(map(_record, message.records)))
        case _Changes():
            changes = (core.Change(*_values(change)) for change in message.changes)
            return core.Changes(tuple(changes))
        case _Digest():
            return core.Digest(message.buckets)
        case _Summary():
            entries = tuple(core.SummaryEntry(*pair) for pair in message.entries)
            return core.Summary(message.bucket, entries)
        case _Want():
            return core.Want(message.names)
        case _MarkNews():
            head_id = HeadId(message.revision, message.edit_id, message.digest)
            return HeadAnnouncement(head_id, message.age_ms)


def _record_to_wire(record: Endpoint) -> _Record:
    return _copy(record, _Record)


def _copy(source: object, wire: type[_Wire]) -> _Wire:
    return wire(*(getattr(source, name) for name in wire.__struct_fields__))


def _record(record: _Record) -> Endpoint:
    return Endpoint(*_values(record))


def _values(message: _Wire) -> tuple:
    return msgspec.structs.astuple(message)
