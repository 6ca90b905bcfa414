"""Messages between the agents and the coordinator of a group, over gRPC.

Each call carries one message of :mod:`azurefold.core.groups.messages` and
returns those that answer it, so that no answer needs a call of its own.
"""

import msgspec

from azurefold.border.decoding import unreadable_as
from azurefold.core.groups.messages import MESSAGE_TYPES, Message

__all__ = [
    "METHOD_CHANGE_MAP",
    "METHOD_RANK_MESSAGE",
    "ChangeMap",
    "ChangeMapReply",
    "Envelope",
    "RankMessage",
    "RankReply",
    "envelope",
    "opened",
]

METHOD_RANK_MESSAGE = "RankMessage"
METHOD_CHANGE_MAP = "ChangeMap"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message: the name of its type and its fields."""

    name: str
    payload: bytes


class RankMessage(msgspec.Struct, frozen=True):
    """A message for the agent of one rank.

    Parameters
    ----------
    group : str
    rank : int
        Whom it is for. Another agent that took over the address drops it.
    size : int
        Ranks in the group, as the sender has it. Were an agent to count fewer, it
        would take the promises of some ranks for those of all.
    content : Envelope
    """

    group: str
    rank: int
    size: int
    content: Envelope


class RankReply(msgspec.Struct, frozen=True):
    """What the agent answers; empty if it dropped the message."""

    contents: tuple[Envelope, ...] = ()


class ChangeMap(msgspec.Struct, frozen=True):
    """Put ``map_id`` in force in ``group``; repeats do no harm."""

    group: str
    map_id: str


class ChangeMapReply(msgspec.Struct, frozen=True):
    """Whether the change has begun.

    Parameters
    ----------
    begun : bool
        How it ends is told by the control process's status.
    holder : str
        Name of the control process that coordinates the group, as far as known.
    detail : str
        Why it has not begun, for people.
    """

    begun: bool
    holder: str = ""
    detail: str = ""


def envelope(message: Message) -> Envelope:
    """Return ``message`` for the wire."""
    return Envelope(type(message).__name__, msgspec.msgpack.encode(message))


def opened(content: Envelope) -> Message:
    """Return the message in ``content``.

    Raises
    ------
    msgspec.ValidationError
        If it is none.
    """
    kind = MESSAGE_TYPES.get(content.name)
    if kind is None:
        raise msgspec.ValidationError(f"no message is called {content.name!r}")
    with unreadable_as(msgspec.ValidationError):
        return msgspec.msgpack.decode(content.payload, type=kind)
