"""What a follower of the configuration hears, and what it wants done."""

from dataclasses import dataclass
from enum import Enum, auto

from azurefold.core.clock import Millis
from azurefold.core.configuration.head import Head, HeadId
from azurefold.core.configuration.sections import Sections

__all__ = [
    "Action",
    "Alarm",
    "AlarmKind",
    "Announce",
    "AnnouncementReceived",
    "Apply",
    "Event",
    "FetchFailed",
    "FetchHead",
    "FetchSections",
    "HeadAnnouncement",
    "HeadFetched",
    "Peer",
    "Platform",
    "PlatformPolled",
    "PollFailed",
    "PollNow",
    "SectionsFetched",
    "Source",
    "Tick",
    "WriteBack",
]


@dataclass(frozen=True, slots=True)
class Peer:
    """Another process, by name."""

    name: str


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform's table and object store."""


Source = Peer | Platform


@dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """A peer announced what it holds.

    Parameters
    ----------
    head_id : HeadId
        The head that the peer has applied.
    peer : Peer
        Who said so.
    age_ms : int or None
        How long ago the platform was looked at, by the peer or by whom it
        heard from; ``None`` if it does not know.
    """

    head_id: HeadId
    peer: Peer
    age_ms: Millis | None


@dataclass(frozen=True, slots=True)
class HeadAnnouncement:
    """What a process tells its peers of the head it has applied.

    Parameters
    ----------
    head_id : HeadId
    age_ms : int or None
        As in :class:`AnnouncementReceived`.
    """

    head_id: HeadId
    age_ms: Millis | None


@dataclass(frozen=True, slots=True)
class PlatformPolled:
    """The platform's table was read.

    Parameters
    ----------
    head_id : HeadId or None
        The head in the table; ``None`` if there is none.
    row_version : int or None
        Version of the mark's row, the condition for writing over it.
    """

    head_id: HeadId | None
    row_version: int | None


@dataclass(frozen=True, slots=True)
class PollFailed:
    """The platform's table could not be read."""


@dataclass(frozen=True, slots=True)
class HeadFetched:
    """A whole head came, a delta already applied."""

    head: Head
    source: Source


@dataclass(frozen=True, slots=True)
class SectionsFetched:
    """Contents came, by their hashes; perhaps not all that were asked for."""

    contents: dict[str, bytes]
    source: Source


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """A source did not answer, or does not have what was asked for."""

    source: Source


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passes; wanted some five times a second.

    Parameters
    ----------
    live : frozenset of str
        Control processes believed live in this data centre, itself included.
    jitter : float
        A number drawn from [0, 1) for this tick.
    n_peers : int, default=0
        Other control processes named in the settings, in all data centres;
        unlike ``live`` it is known before anybody is heard.
    """

    live: frozenset[str]
    jitter: float
    n_peers: int = 0


Event = (
    AnnouncementReceived
    | PlatformPolled
    | PollFailed
    | HeadFetched
    | SectionsFetched
    | FetchFailed
    | Tick
)


@dataclass(frozen=True, slots=True)
class PollNow:
    """Read the mark's row from the platform."""


@dataclass(frozen=True, slots=True)
class FetchHead:
    """Get the head that ``head_id`` names.

    Parameters
    ----------
    source : Peer or Platform
        Whom to ask.
    head_id : HeadId
        What is wanted; a newer head is welcome as well.
    base_digest : str
        Digest of the head that is held: a peer that knows it may send a delta.
    """

    source: Source
    head_id: HeadId
    base_digest: str


@dataclass(frozen=True, slots=True)
class FetchSections:
    """Get contents by their hashes."""

    source: Source
    hashes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Apply:
    """Put this configuration in force in this process."""

    head: Head
    sections: Sections


@dataclass(frozen=True, slots=True)
class Announce:
    """Tell peers what is held and how fresh the knowledge is.

    It is soft state: losing it costs time only.
    """

    head_id: HeadId
    age_ms: Millis | None


class AlarmKind(Enum):
    """What an operator must look at."""

    RESTORED = auto()
    """The platform shows an older head than this process holds."""
    FORKED = auto()
    """One revision number stands for two edits."""
    LINE_REPLACED = auto()
    """A newer head was not built upon the one that was held."""
    DAMAGED = auto()
    """A head came whose content is not what its mark says."""


@dataclass(frozen=True, slots=True)
class Alarm:
    """Something an operator must know, raised once for each pair of heads."""

    kind: AlarmKind
    held: HeadId
    received: HeadId


@dataclass(frozen=True, slots=True)
class WriteBack:
    """Put the held head back over an older copy in the platform.

    Parameters
    ----------
    head : Head
        What is held.
    sections : dict of str to bytes
        Its contents, which the store may have lost too.
    expected_version : int or None
        Version of the mark's row that was seen; the write's condition.
    """

    head: Head
    sections: Sections
    expected_version: int | None


Action = PollNow | FetchHead | FetchSections | Apply | Announce | Alarm | WriteBack
