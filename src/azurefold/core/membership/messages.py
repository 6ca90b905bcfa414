"""Membership messages, independent of their encoding, and the timing settings."""

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

SKIP_CONTROL_LIST = 0
"""Value of a message's digest of controls if the reply should contain no list."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and budgets; docs/design/membership.md derives them.

    Parameters
    ----------
    heartbeat_interval_ms : int
        Interval of an endpoint's heartbeats.
    probe_after_ms, probe_interval_ms, expire_after_ms : int
        After ``probe_after_ms`` of silence an endpoint is probed every
        ``probe_interval_ms``; after ``expire_after_ms`` it is declared gone.
    update_interval_ms : int
        Interval at which pending changes are sent to one peer.
    digest_interval_ms : int
        Interval at which a digest of the whole directory is sent to one peer.
    owner_count : int
        Number of control processes that each endpoint reports to.
    sends_per_update : int
        How many times each control forwards a change. For a change that is not urgent,
        each duplicate received from a peer replaces one of these sends.
    bytes_per_second, burst_bytes : int
        Rate limit of sent gossip. Whatever exceeds it is delayed.
    request_reply_after_ms, exclude_after_ms, exclude_for_ms : int
        After ``request_reply_after_ms`` without a message from a control, an endpoint
        requests a reply from it. After ``exclude_after_ms`` it stops using that control
        for ``exclude_for_ms``.
    forget_after_ms : int
        How long the record of a gone endpoint is kept.
    """

    heartbeat_interval_ms: Millis = 3_000
    probe_after_ms: Millis = 5_000
    probe_interval_ms: Millis = 1_000
    expire_after_ms: Millis = 10_000
    update_interval_ms: Millis = 250
    digest_interval_ms: Millis = 2_000
    owner_count: int = 2
    sends_per_update: int = 4
    bytes_per_second: int = 500
    burst_bytes: int = 16_000
    request_reply_after_ms: Millis = 12_000
    exclude_after_ms: Millis = 24_000
    exclude_for_ms: Millis = 60_000
    forget_after_ms: Millis = 7_200_000


@dataclass(frozen=True, slots=True)
class Source:
    """Authenticated sender of a message; ``origin`` is the address it came from."""

    name: str
    incarnation: int
    origin: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic report of an endpoint.

    ``controls`` is the digest of its list of controls, or
    ``SKIP_CONTROL_LIST`` (0).
    """

    version: int
    announced: State
    load: int
    controls: int
    reply_wanted: bool = False


@dataclass(frozen=True, slots=True)
class Announcement:
    """Complete record of an endpoint, sent by the endpoint itself.

    ``controls`` is the digest of its list of controls, or
    ``SKIP_CONTROL_LIST`` (0).
    """

    record: Endpoint
    controls: int = SKIP_CONTROL_LIST


@dataclass(frozen=True, slots=True)
class Probe:
    """Request from a control to a silent endpoint to announce itself."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply of a control to an endpoint.

    Parameters
    ----------
    controls : tuple of str
        Datagram addresses of the live controls; empty if the endpoint's list
        is up to date.
    announcement_wanted : bool
        Whether the control has no record of this incarnation yet.
    """

    controls: tuple[str, ...] = ()
    announcement_wanted: bool = False


@dataclass(frozen=True, slots=True)
class Records:
    """Complete records, sent between controls."""

    records: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Change:
    """The fields of a record that change within an incarnation; ``name`` is a hash."""

    name: int
    incarnation: int
    version: int
    announced: State
    departing: bool
    silence: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes sent between controls, at a fifth of the size of complete records."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """One hash for each bucket of the sender's directory."""

    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SummaryEntry:
    """Name hash and fingerprint of one record in a bucket."""

    name: int
    fingerprint: int


@dataclass(frozen=True, slots=True)
class Summary:
    """Name hashes and fingerprints of all records in one differing bucket."""

    bucket: int
    entries: tuple[SummaryEntry, ...]


@dataclass(frozen=True, slots=True)
class Want:
    """Request for complete records; ``names`` are the hashes of their names."""

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
