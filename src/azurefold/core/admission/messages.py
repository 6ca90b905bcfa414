"""What waits for admission and what is answered to it."""

from dataclasses import dataclass
from enum import Enum, IntEnum

from azurefold.core.clock import Millis

__all__ = [
    "Offered",
    "Priority",
    "Queued",
    "QueueItem",
    "Refusal",
    "Refused",
    "RefusedReason",
]


class Priority(IntEnum):
    """Classes of requests; the lower number goes first."""

    CONFIRMATION = 0
    DRAFT = 1


@dataclass(frozen=True, slots=True)
class QueueItem:
    """A request that waits for an endpoint.

    Parameters
    ----------
    request_id : str
        Unique in the queue.
    organisation : str
        Whose request it is.
    priority : Priority
        Its class.
    tokens : int
        Work it stands for: uncached prompt and expected answer tokens.
    deadline : int
        When the caller no longer wants it.
    expected_ms : int, default=0
        Milliseconds it needs once it is taken.
    draw : float, default=0.5
        Random number in [0, 1) that spreads its ``retry_after_ms``.
    queued_at : int, default=0
        When it was queued.
    on_time_by : int or None
        The last moment at which it can be taken and its answer still be on time;
        None if there is no such moment.
    """

    request_id: str
    organisation: str
    priority: Priority
    tokens: int
    deadline: Millis
    expected_ms: Millis = 0
    draw: float = 0.5
    queued_at: Millis = 0
    on_time_by: Millis | None = None

    @property
    def latest_start(self) -> Millis:
        """The last moment at which it is worth taking."""
        return self.deadline - self.expected_ms

    def may_be_on_time(self, now: Millis) -> bool:
        """Whether its answer is on time if it is taken now."""
        return self.on_time_by is None or now <= self.on_time_by


class RefusedReason(Enum):
    """Why a request was refused; none of them was run."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    ORGANISATION_FULL = "organisation_full"
    DISPLACED = "displaced"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run; its caller may come back after a while."""

    reason: RefusedReason
    retry_after_ms: Millis


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that had been queued and is now refused."""

    item: QueueItem
    refused: Refused


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits.

    Parameters
    ----------
    displaced : tuple of Refusal, default=()
        Requests that had to give way and must be answered at once.
    """

    displaced: tuple[Refusal, ...] = ()


Offered = Queued | Refused
