"""Messages of the protocol that changes a group's expert map.

The coordinator sends *stage*, upon which each rank loads the weights of the new map;
*close*, upon which it agrees to stop before a step; and *open*, upon which it uses the
new map from that step on. A change that was closed but not opened is *reopened*: the
ranks continue with the old map. *Query* reads the state of a rank. While a change is
closed, but neither opened nor reopened, it is undecided.

All messages are frozen data classes of plain values, so a codec can encode them as
they are. :data:`MESSAGE_TYPES` maps type names to types for the envelope on the wire.

A change is identified by its *order number*, which holds the fence of the coordinator's
lease above a serial number of that coordinator. Numbers therefore increase from change
to change and from one coordinator to the next. The engine stores the number of each
order, from which a restarted agent learns what the previous agent process had done.
"""

from dataclasses import dataclass

from azurefold.core.groups.engine import EngineState, PlanEntry

__all__ = [
    "MESSAGE_TYPES",
    "Ask",
    "Close",
    "CloseAgreed",
    "CloseRefused",
    "Decided",
    "Ended",
    "Message",
    "Open",
    "OpenRefused",
    "Promised",
    "Query",
    "Reopen",
    "Stage",
    "Staged",
    "Status",
    "Superseded",
]


@dataclass(frozen=True, slots=True)
class Query:
    """Adopt ``fence`` and report the state; ``token`` identifies the query."""

    fence: int
    token: int


@dataclass(frozen=True, slots=True)
class Stage:
    """Load the weights of ``map_id`` in addition to those in use."""

    fence: int
    map_id: str


@dataclass(frozen=True, slots=True)
class Close:
    """Stop before ``step`` until the change is decided.

    With ``step`` None the rank stops as soon as possible. ``map_id`` is the new map.
    """

    number: int
    step: int | None
    map_id: str


@dataclass(frozen=True, slots=True)
class Open:
    """Use ``map_id`` from ``step`` on: all ranks have agreed to the close.

    ``incarnation`` is the incarnation of the rank that agreed; a replacement of that
    rank has not agreed.
    """

    number: int
    step: int
    map_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Reopen:
    """Keep the old map: the change was not opened and never will be."""

    number: int


@dataclass(frozen=True, slots=True)
class Ask:
    """Query of a peer: is change ``number``, closed at ``step``, decided?"""

    number: int
    step: int
    sender: int


@dataclass(frozen=True, slots=True)
class Status:
    """Reply to :class:`Query`."""

    token: int
    rank: int
    engine: EngineState


@dataclass(frozen=True, slots=True)
class Staged:
    """The weights of ``map_id`` are loaded."""

    rank: int
    map_id: str


@dataclass(frozen=True, slots=True)
class CloseAgreed:
    """The rank stops before ``step`` until the change is decided."""

    number: int
    rank: int
    step: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class CloseRefused:
    """The rank does not agree to the close, for ``reason``."""

    number: int
    rank: int
    reason: str


@dataclass(frozen=True, slots=True)
class Decided:
    """The change has ended at this rank, which uses ``map_id`` from ``step`` on."""

    number: int
    rank: int
    step: int
    map_id: str


@dataclass(frozen=True, slots=True)
class OpenRefused:
    """The rank has not agreed to the close, or has promised not to open."""

    number: int
    rank: int


@dataclass(frozen=True, slots=True)
class Ended:
    """The change does not hold the rank, or no longer does."""

    number: int
    rank: int


@dataclass(frozen=True, slots=True)
class Promised:
    """The rank has not opened the change and refuses to open it from now on.

    ``tail`` is the last entry of its plan, which stays active if the ranks reopen.
    """

    number: int
    rank: int
    tail: PlanEntry


@dataclass(frozen=True, slots=True)
class Superseded:
    """The rank follows a coordinator with a higher fence, ``fence``."""

    rank: int
    fence: int


CoordinatorMessage = Query | Stage | Close | Open | Reopen
PeerMessage = Ask | Promised | Decided
Reply = (
    Status
    | Staged
    | CloseAgreed
    | CloseRefused
    | Decided
    | OpenRefused
    | Ended
    | Superseded
)
Message = CoordinatorMessage | PeerMessage | Reply

MESSAGE_TYPES: dict[str, type] = {
    message_type.__name__: message_type
    for message_type in (
        *(Query, Stage, Close, Open, Reopen, Ask, Status, Staged, CloseAgreed),
        *(CloseRefused, Decided, OpenRefused, Ended, Promised, Superseded),
    )
}
