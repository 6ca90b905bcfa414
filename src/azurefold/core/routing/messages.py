"""Inputs and results of routing decisions."""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.clock import Millis

__all__ = [
    "Answered",
    "Cancelled",
    "Chosen",
    "Ejected",
    "EjectionCause",
    "Failed",
    "LoadReport",
    "Misdirected",
    "NoneAvailable",
    "Outcome",
    "Prefix",
    "Refused",
    "RouteRequest",
    "TimedOut",
    "Unavailable",
]


@dataclass(frozen=True, slots=True)
class Prefix:
    """A leading part of a prompt.

    Parameters
    ----------
    hash : int
        Hash of the prefix, as in the engines' cache events.
    tokens : int
        Its length in tokens.
    """

    hash: int
    tokens: int


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request on which the choice of an endpoint depends.

    Parameters
    ----------
    prefixes : tuple of Prefix, default=()
        Cacheable prefixes of the prompt, shortest first.
    prompt_tokens : int, default=0
        Length of the whole prompt in tokens.
    exclude : frozenset of str, default=frozenset()
        Endpoints that a retry must not use again.
    may_queue : bool, default=False
        Whether the request may wait in an endpoint's own queue if no endpoint has room.
    is_contended : bool, default=False
        Whether other nodes are choosing at the same moment. They would all choose the
        least loaded endpoint, so the choice is then random.
    answer_tokens : int, default=0
        Estimated length of the answer; the largest one allowed without a usable hint.
    has_hint : bool, default=False
        Whether ``answer_tokens`` is an estimate from the caller's hint.
    """

    prefixes: tuple[Prefix, ...] = ()
    prompt_tokens: int = 0
    exclude: frozenset[str] = frozenset()
    may_queue: bool = False
    is_contended: bool = False
    answer_tokens: int = 0
    has_hint: bool = False


@dataclass(frozen=True, slots=True)
class Chosen:
    """Endpoint for a request, and the prompt tokens that it has probably cached."""

    endpoint: str
    cached_tokens: int = 0


class Unavailable(Enum):
    """Why no endpoint could be chosen."""

    NO_ENDPOINTS = "no_endpoints"
    ALL_LEAVING = "all_leaving"
    ALL_EXCLUDED = "all_excluded"
    ALL_FULL = "all_full"
    GROUPS_DOWN = "groups_down"
    OUT_OF_REACH = "out_of_reach"
    OVER_QUOTA = "over_quota"
    BACKING_OFF = "backing_off"
    EVACUATED = "evacuated"
    COLD = "cold"


@dataclass(frozen=True, slots=True)
class NoneAvailable:
    """No endpoint is available at present; ``retry_after_ms`` is randomised."""

    reason: Unavailable
    retry_after_ms: Millis


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint, as it reports it.

    Parameters
    ----------
    in_flight : int
        Requests running or waiting in the engine, from all nodes.
    slots : int
        Requests that the engine runs in one batch; 0 if the report does not include it.
    age_ms : int, default=0
        Milliseconds between the measurement and the arrival of the report.
    """

    in_flight: int
    slots: int
    age_ms: Millis = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """The answer was received completely; ``tokens`` is its length."""

    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The endpoint reported an error, or its process has ended."""


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The endpoint did not answer in time."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint refused the request because it is full or leaving."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller cancelled, or the connection stalled; no evidence of a fault."""


@dataclass(frozen=True, slots=True)
class Misdirected:
    """The request reached the wrong endpoint, or one that cannot serve at all.

    The endpoint did not run it, and will refuse the next one too, whatever its load.
    """


Outcome = Answered | Failed | TimedOut | Refused | Misdirected | Cancelled


class EjectionCause(Enum):
    """Reason for the ejection of an endpoint."""

    FAILING = "failing"
    SLOW = "slow"
    STUCK = "stuck"
    MISDIRECTED = "misdirected"


@dataclass(frozen=True, slots=True)
class Ejected:
    """Ejection of an endpoint, which is excluded until ``until``."""

    endpoint: str
    cause: EjectionCause
    until: Millis
