"""Events that a follower of the configuration handles, and actions it returns."""

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
    """Another process, identified by its name."""

    name: str


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform's table and object store."""


Source = Peer | Platform


@dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """A peer announced the head that it has applied.

    Parameters
    ----------
    head_id : HeadId
        The head that the peer has applied.
    peer : Peer
        The sender.
    age_ms : int or None
        Time since a poll of the platform, by the peer or by a process whose
        announcement it received, last showed nothing newer than the head that
        the peer held; ``None`` if there was none.
    """

    head_id: HeadId
    peer: Peer
    age_ms: Millis | None


@dataclass(frozen=True, slots=True)
class HeadAnnouncement:
    """The message that announces a process's applied head to its peers.

    Parameters
    ----------
    head_id : HeadId
        The head that the sender has applied.
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
        Id of the head in the table; ``None`` if there is none.
    row_version : int or None
        Version of the row that holds the head id; the condition of a write.
    """

    head_id: HeadId | None
    row_version: int | None


@dataclass(frozen=True, slots=True)
class PollFailed:
    """The platform's table could not be read."""


@dataclass(frozen=True, slots=True)
class HeadFetched:
    """A head was fetched; if it came as a delta, the delta has been applied."""

    head: Head
    source: Source


@dataclass(frozen=True, slots=True)
class SectionsFetched:
    """Section contents were fetched, possibly not all that were requested."""

    contents: dict[str, bytes]
    source: Source


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """A source did not answer or does not have what was requested."""

    source: Source


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; expected about five times a second.

    Parameters
    ----------
    live_controls : frozenset of str
        Control processes considered live in this data centre, including this one.
    jitter : float
        Random number from [0, 1), drawn for this tick.
    n_peers : int, default=0
        Other control processes named in the settings, in all data centres.
        Unlike ``live_controls``, it is known before any message has arrived.
    """

    live_controls: frozenset[str]
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
    """Read the row that holds the head id from the platform."""


@dataclass(frozen=True, slots=True)
class FetchHead:
    """Fetch the head that ``head_id`` identifies.

    Parameters
    ----------
    source : Peer or Platform
        Where to fetch it.
    head_id : HeadId
        The requested head; a newer one is accepted as well.
    base_digest : str
        Digest of the head that is held. A peer that knows this head may send a
        delta.
    """

    source: Source
    head_id: HeadId
    base_digest: str


@dataclass(frozen=True, slots=True)
class FetchSections:
    """Fetch section contents by their hashes."""

    source: Source
    hashes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Apply:
    """Make this configuration the active one in this process."""

    head: Head
    sections: Sections


@dataclass(frozen=True, slots=True)
class Announce:
    """Announce the applied head to peers.

    Announcements are soft state: a lost one only delays peers.

    Parameters
    ----------
    head_id : HeadId
        The head that this process has applied.
    age_ms : int or None
        As in :class:`AnnouncementReceived`, with this process as the peer.
    """

    head_id: HeadId
    age_ms: Millis | None


class AlarmKind(Enum):
    """Why an operator has to act."""

    RESTORED = auto()
    """The platform shows an older head than the one that this process holds."""
    FORKED = auto()
    """One revision has two edits, or an older head is not a known ancestor."""
    LINE_REPLACED = auto()
    """A newer head was not built upon the head that was held."""
    DAMAGED = auto()
    """The content of a fetched head does not match the digest in its id."""


@dataclass(frozen=True, slots=True)
class Alarm:
    """A condition reported to operators, once for each kind and pair of heads.

    Parameters
    ----------
    kind : AlarmKind
        Why an operator has to act.
    held : HeadId
        The head that this process held when it raised the alarm.
    received : HeadId
        The head that caused the alarm.
    """

    kind: AlarmKind
    held: HeadId
    received: HeadId


@dataclass(frozen=True, slots=True)
class WriteBack:
    """Write the held head over an older copy in the platform.

    Parameters
    ----------
    head : Head
        The head that this process holds.
    sections : dict of str to bytes
        Its section contents, which the restored store may lack too.
    expected_version : int or None
        Version of the row that holds the head id, as last read; the condition
        of the write.
    """

    head: Head
    sections: Sections
    expected_version: int | None


Action = PollNow | FetchHead | FetchSections | Apply | Announce | Alarm | WriteBack
