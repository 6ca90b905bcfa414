"""Contents of expert maps and what ranks report of them, over gRPC and HTTP."""

import hashlib

import msgspec

from azurefold.core.balance.placement import Assignment
from azurefold.core.groups.popularity import RankReport

__all__ = [
    "METHOD_GET_EXPERTS",
    "METHOD_PUT_MAP",
    "METHOD_REBALANCE",
    "ExpertsReply",
    "GetExperts",
    "PutMap",
    "PutMapReply",
    "Rebalance",
    "RebalanceReply",
    "decode_map",
    "encode_map",
    "map_id_of",
]

METHOD_GET_EXPERTS = "GetExperts"
METHOD_PUT_MAP = "PutMap"
METHOD_REBALANCE = "Rebalance"


class GetExperts(msgspec.Struct, frozen=True):
    """Asks a rank's agent what its engine reports."""

    group: str
    rank: int


class ExpertsReply(msgspec.Struct, frozen=True):
    """The engine's report; None if it gave none."""

    report: RankReport | None = None


class PutMap(msgspec.Struct, frozen=True):
    """Gives a rank's engine the content of a map, before the map is staged."""

    group: str
    rank: int
    content: bytes


class PutMapReply(msgspec.Struct, frozen=True):
    """Whether the engine has the content now."""

    stored: bool


class Rebalance(msgspec.Struct, frozen=True):
    """Decide on a group's map now; ``explain_only`` changes nothing."""

    group: str
    explain_only: bool


class RebalanceReply(msgspec.Struct, frozen=True):
    """What was decided.

    Parameters
    ----------
    decided : bool
        Whether there was a decision; if not, ``detail`` says why.
    text : str
        The decision for people.
    map_id : str
        The map proposed; empty if the present one stays.
    begun : bool
        Whether the change to it has begun.
    holder, detail : str
        Who coordinates the group, as far as known, and what stood in the way.
    """

    decided: bool
    text: str = ""
    map_id: str = ""
    begun: bool = False
    holder: str = ""
    detail: str = ""


def encode_map(layers: tuple[Assignment, ...]) -> bytes:
    """Return the content of a map; equal maps have equal contents."""
    return msgspec.json.encode(layers)


def decode_map(content: bytes) -> tuple[Assignment, ...]:
    """Return the layers of a map.

    Raises
    ------
    msgspec.MsgspecError
        If ``content`` is none.
    """
    return msgspec.json.decode(content, type=tuple[Assignment, ...])


def map_id_of(content: bytes) -> str:
    """Return the id of the map with this content: its SHA-256."""
    return hashlib.sha256(content).hexdigest()
