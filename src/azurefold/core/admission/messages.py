"""What waits for admission and what is answered to it."""

from dataclasses import dataclass
from enum import Enum, IntEnum

from azurefold.core.clock import Millis

__all__ = [
    "OfferResult",
    "Priority",
    "Queued",
    "QueueItem",
    "RefusedItem",
    "Refused",
    "RefusalReason",
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
    expected_service_ms : int, default=0
        Milliseconds it needs once it is taken.
    jitter : float, default=0.5
        Random number in [0, 1) that spreads its ``retry_after_ms``.
    queued_at : int, default=0
        When it was queued.
    latest_on_time_start : int or None
        The last moment at which it can be taken and its answer still be on time;
        None if there is no such moment.
    """

    request_id: str
    organisation: str
    priority: Priority
    tokens: int
    deadline: Millis
    expected_service_ms: Millis = 0
    jitter: float = 0.5
    queued_at: Millis = 0
    latest_on_time_start: Millis | None = None

    @property
    def latest_start(self) -> Millis:
        """The last moment at which it is worth taking."""
        return self.deadline - self.expected_service_ms

    def can_be_on_time(self, now: Millis) -> bool:
        """Whether its answer is on time if it is taken now."""
        return self.latest_on_time_start is None or now <= self.latest_on_time_start


class RefusalReason(Enum):
    """Why a request was refused; none of them was run."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    ORGANISATION_FULL = "organisation_full"
    DISPLACED = "displaced"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run; its caller may come back after a while."""

    reason: RefusalReason
    retry_after_ms: Millis


@dataclass(frozen=True, slots=True)
class RefusedItem:
    """A request that had been queued and is now refused."""

    item: QueueItem
    refused: Refused


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits.

    Parameters
    ----------
    displaced : tuple of RefusedItem, default=()
        Requests that had to give way and must be answered at once.
    """

    displaced: tuple[RefusedItem, ...] = ()


OfferResult = Queued | Refused
