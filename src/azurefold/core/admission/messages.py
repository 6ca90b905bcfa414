"""Requests that wait for admission, and the results of offering them."""

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
    """Priority class of a request; a lower number is served first."""

    CONFIRMATION = 0
    DRAFT = 1


@dataclass(frozen=True, slots=True)
class QueueItem:
    """A request to be queued for an endpoint.

    Parameters
    ----------
    request_id : str
        Identifier, unique within the queue.
    organisation : str
        Organisation that sent the request.
    priority : int
        Priority class; 0 is the most urgent one. A :class:`Priority` where there are
        only two classes.
    tokens : int
        Cost of the request: uncached prompt tokens plus expected answer tokens.
    deadline : int
        Time after which the caller no longer needs the answer.
    expected_service_ms : int, default=0
        Expected milliseconds from the dispatch to the answer.
    jitter : float, default=0.5
        Random number in [0, 1) that spreads ``retry_after_ms``.
    queued_at : int, default=0
        Time at which the request was queued.
    latest_on_time_start : int or None
        Latest dispatch time with which the answer still meets its latency
        objective; None if the request has no such objective.
    has_hint : bool, default=False
        Whether ``tokens`` is an estimate from a hint, which is corrected later.
    """

    request_id: str
    organisation: str
    priority: int
    tokens: int
    deadline: Millis
    expected_service_ms: Millis = 0
    jitter: float = 0.5
    queued_at: Millis = 0
    latest_on_time_start: Millis | None = None
    has_hint: bool = False

    @property
    def latest_start(self) -> Millis:
        """Latest dispatch time with which the request can meet its deadline."""
        return self.deadline - self.expected_service_ms

    def can_be_on_time(self, now: Millis) -> bool:
        """Return whether a dispatch at ``now`` can meet the latency objective."""
        return self.latest_on_time_start is None or now <= self.latest_on_time_start


class RefusalReason(Enum):
    """Why a request was refused. A refused request was not run."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    ORGANISATION_FULL = "organisation_full"
    DISPLACED = "displaced"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run; the caller may retry after ``retry_after_ms``."""

    reason: RefusalReason
    retry_after_ms: Millis


@dataclass(frozen=True, slots=True)
class RefusedItem:
    """A queued request that was refused after all."""

    item: QueueItem
    refused: Refused


@dataclass(frozen=True, slots=True)
class Queued:
    """The request was queued.

    Parameters
    ----------
    displaced : tuple of RefusedItem, default=()
        Requests removed to make room. The caller of the queue must answer
        them at once.
    """

    displaced: tuple[RefusedItem, ...] = ()


OfferResult = Queued | Refused
