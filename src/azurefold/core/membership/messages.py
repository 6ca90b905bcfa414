"""Messages of membership, as the decisions see them, and its settings."""

from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.membership.endpoints import Endpoint, State

__all__ = [
    "Announcement",
    "Change",
    "Changes",
    "Digest",
    "Heartbeat",
    "Message",
    "Probe",
    "Records",
    "Reply",
    "Send",
    "Source",
    "Summary",
    "SummaryEntry",
    "Timing",
    "Want",
]

NO_LIST = 0


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and budgets; docs/design-membership.md works them out.

    Parameters
    ----------
    heartbeat, probe_after, probe_every, expiry : int
        An endpoint reports each ``heartbeat`` ms, is asked each
        ``probe_every`` ms after ``probe_after`` ms of silence, and declared
        gone after ``expiry`` ms.
    rumour, digest : int
        Changes go to one peer each ``rumour`` ms while there are any, a digest
        of the whole directory each ``digest`` ms.
    homes : int
        Control processes that each endpoint reports to.
    rumour_sends : int
        How often each control passes one change on; one that is not urgent is
        passed on once less for each time that others tell it again.
    bytes_per_second, burst_bytes : int
        Of gossip sent. What exceeds them waits.
    ask_reply, shun_after, shun_for : int
        After ``ask_reply`` ms without a word from a control an endpoint asks
        it for a reply; after ``shun_after`` it does without it for
        ``shun_for``.
    forget_after : int
        How long the record of a gone endpoint is kept.
    """

    heartbeat: Millis = 3_000
    probe_after: Millis = 5_000
    probe_every: Millis = 1_000
    expiry: Millis = 10_000
    rumour: Millis = 250
    digest: Millis = 2_000
    homes: int = 2
    rumour_sends: int = 4
    bytes_per_second: int = 500
    burst_bytes: int = 16_000
    ask_reply: Millis = 12_000
    shun_after: Millis = 24_000
    shun_for: Millis = 60_000
    forget_after: Millis = 7_200_000


@dataclass(frozen=True, slots=True)
class Source:
    """Who sent a message, by its seal, and from which address it came."""

    name: str
    incarnation: int
    origin: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """An endpoint lives.

    ``controls`` is its digest of the control list, or 0 to be sent no list.
    """

    version: int
    announced: State
    load: int
    controls: int
    reply_wanted: bool = False


@dataclass(frozen=True, slots=True)
class Announcement:
    """An endpoint tells its whole record.

    ``controls`` is its digest of the control list, or 0 to be sent no list.
    """

    record: Endpoint
    controls: int = NO_LIST


@dataclass(frozen=True, slots=True)
class Probe:
    """A control asks a silent endpoint to announce itself to the sender."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A control answers an endpoint.

    Parameters
    ----------
    controls : tuple of str
        Datagram addresses of the live controls; empty if the endpoint's list
        was the same.
    announcement_wanted : bool
        Whether the control does not know this incarnation yet.
    """

    controls: tuple[str, ...] = ()
    announcement_wanted: bool = False


@dataclass(frozen=True, slots=True)
class Records:
    """Records passed between controls."""

    records: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Change:
    """What may change of a record within an incarnation; name by its hash."""

    name: int
    incarnation: int
    version: int
    announced: State
    departing: bool
    silence: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes passed between controls, a fifth of the records' bytes."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """One hash for each bucket of the sender's directory."""

    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SummaryEntry:
    """One record of a bucket, by the hash of its name and its fingerprint."""

    name: int
    fingerprint: int


@dataclass(frozen=True, slots=True)
class Summary:
    """What a control holds in a bucket that differed."""

    bucket: int
    entries: tuple[SummaryEntry, ...]


@dataclass(frozen=True, slots=True)
class Want:
    """Hashes of names whose records the sender would like."""

    names: tuple[int, ...]


Message = (
    Heartbeat
    | Announcement
    | Probe
    | Reply
    | Records
    | Changes
    | Digest
    | Summary
    | Want
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send ``message`` as one datagram to the address ``to``."""

    to: str
    message: Message
