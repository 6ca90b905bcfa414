"""Messages of the protocol that changes a group's expert map.

All are frozen data classes of plain values, so that a codec can carry them as
they are. :data:`MESSAGE_TYPES` names each type for the envelope on the wire.

A change is known by its *order number*, which holds the fence of the
coordinator's lease above a serial number of that coordinator. Numbers therefore
rise from change to change and from one coordinator to the next, and the engine,
which stores the number of each order, tells a restarted agent what its
predecessor had done.
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
    """Adopt ``fence`` and report; ``token`` ties the report to this query."""

    fence: int
    token: int


@dataclass(frozen=True, slots=True)
class Stage:
    """Load the weights of ``map_id`` beside those in use."""

    fence: int
    map_id: str


@dataclass(frozen=True, slots=True)
class Close:
    """Stop before ``step`` unless told otherwise; None: as soon as possible.

    ``map_id`` is the map that the change would put in force.
    """

    number: int
    step: int | None
    map_id: str


@dataclass(frozen=True, slots=True)
class Open:
    """Use ``map_id`` from ``step`` on: all ranks have agreed to the close.

    ``incarnation`` is the one that agreed, since a replaced rank has not.
    """

    number: int
    step: int
    map_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Reopen:
    """Keep the old map: this change was never opened and never will be."""

    number: int


@dataclass(frozen=True, slots=True)
class Ask:
    """A peer's question: is change ``number``, closed at ``step``, decided?"""

    number: int
    step: int
    sender: int


@dataclass(frozen=True, slots=True)
class Status:
    """The answer to :class:`Query`."""

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
    """The rank holds before ``step`` until the change is decided."""

    number: int
    rank: int
    step: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class CloseRefused:
    """The rank does not take part in the change."""

    number: int
    rank: int
    reason: str


@dataclass(frozen=True, slots=True)
class Decided:
    """The change ended at this rank: ``map_id`` from ``step`` on."""

    number: int
    rank: int
    step: int
    map_id: str


@dataclass(frozen=True, slots=True)
class OpenRefused:
    """The rank did not agree to the close, or promised not to open."""

    number: int
    rank: int


@dataclass(frozen=True, slots=True)
class Ended:
    """The rank is not, or no longer, held by the change."""

    number: int
    rank: int


@dataclass(frozen=True, slots=True)
class Promised:
    """The rank has not opened the change and never will by itself.

    ``tail`` is the last entry of its plan: what reopening would leave in force.
    """

    number: int
    rank: int
    tail: PlanEntry


@dataclass(frozen=True, slots=True)
class Superseded:
    """The rank follows a coordinator with the higher ``fence``."""

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
    kind.__name__: kind
    for kind in (
        *(Query, Stage, Close, Open, Reopen, Ask, Status, Staged, CloseAgreed),
        *(CloseRefused, Decided, OpenRefused, Ended, Promised, Superseded),
    )
}
