"""One caller's request, and the parts of the answer to it."""

import errno
import sys
from dataclasses import dataclass, field

from azurefold.core.attempts.identity import request_identity
from azurefold.core.attempts.outcome import Failure
from azurefold.core.callers.memory import MemoryBudget, Reservation
from azurefold.core.clock import Millis
from azurefold.core.routes.model import Route
from azurefold.platform.headers import RequestHead

__all__ = [
    "AnswerCutOffError",
    "Begun",
    "Call",
    "CallerGoneError",
    "CutOffError",
    "DeadlinePassedError",
    "GivenUp",
    "Part",
    "Piece",
    "StoppedError",
]


def _unbounded() -> Reservation:
    return MemoryBudget(sys.maxsize).reservation()


@dataclass(frozen=True, slots=True)
class Call:
    """A request that the configuration allows.

    Parameters
    ----------
    method, target : str
        As the caller sent them; the target holds path and query.
    body : bytes
    head : RequestHead
    route : Route
    service : str
        The one chosen among the route's destinations.
    organisation : str
        Empty where the configuration knows none.
    priority : int
        0 goes first.
    arrived : int
        On the process's clock.
    deadline : int
        When an answer is no longer wanted.
    configuration : int
        The version that decided all this.
    passes_key : bool
        Whether the caller's key is meant for the endpoint and not for us.
    held : Reservation
        Of the request, to which its answer is added.
    identity : int
        Digest that is equal for all repeats of the request, at any gateway.
    """

    method: str
    target: str
    body: bytes
    head: RequestHead
    route: Route
    service: str
    organisation: str
    priority: int
    arrived: Millis
    deadline: Millis
    configuration: int
    passes_key: bool = False
    held: Reservation = field(default_factory=_unbounded, repr=False, compare=False)
    identity: int = field(init=False)

    def __post_init__(self) -> None:
        identity = request_identity(
            self.method, self.head.host, self.target, self.organisation, self.body
        )
        object.__setattr__(self, "identity", identity)

    @property
    def id(self) -> str:
        """The caller's name for this request."""
        return self.head.attempt_id


@dataclass(frozen=True, slots=True)
class Begun:
    """The answer begins.

    Parameters
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes, tuple of bytes or None
        The whole body, a long one in pieces; None where pieces follow.
    length : int or None
        Of the pieces that follow; None if it is not known.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | tuple[bytes, ...] | None
    length: int | None = None


@dataclass(frozen=True, slots=True)
class Piece:
    """Whole events of a stream, or more of a long answer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class GivenUp:
    """There is no answer of an endpoint; always the only part.

    Parameters
    ----------
    failure : Failure
    status : int
    """

    failure: Failure
    status: int


Part = Begun | Piece | GivenUp


class CutOffError(OSError):
    """Ends the handling of a request from outside.

    An ``OSError`` with the number of a broken connection, so that the HTTP
    server closes the caller's connection without a word: what was sent of the
    answer must not look complete.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(errno.EPIPE, reason)


class CallerGoneError(CutOffError):
    """The caller has closed the connection."""


class DeadlinePassedError(CutOffError):
    """The time for an answer is over."""


class StoppedError(CutOffError):
    """The process ends before an answer can come."""


class AnswerCutOffError(CutOffError):
    """The answer had begun and cannot be finished."""
