"""What the router is told and what it answers."""

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
        Hash of the prefix as the engines' cache events name it.
    tokens : int
        Its length in tokens.
    """

    hash: int
    tokens: int


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What the choice of an endpoint depends on.

    Parameters
    ----------
    prefixes : tuple of Prefix, default=()
        Cacheable prefixes of the prompt, shortest first.
    prompt_tokens : int, default=0
        Length of the whole prompt in tokens.
    exclude : frozenset of str, default=frozenset()
        Endpoints that a retry must not go back to.
    may_queue : bool, default=False
        Whether it may wait in an endpoint's own queue where all places are taken.
    is_contended : bool, default=False
        Whether other nodes choose at this moment, too: the emptiest endpoint would be
        chosen by all of them.
    """

    prefixes: tuple[Prefix, ...] = ()
    prompt_tokens: int = 0
    exclude: frozenset[str] = frozenset()
    may_queue: bool = False
    is_contended: bool = False


@dataclass(frozen=True, slots=True)
class Chosen:
    """The endpoint a request goes to, and the tokens it is hoped to have cached."""

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


@dataclass(frozen=True, slots=True)
class NoneAvailable:
    """No endpoint may take the request now; ``retry_after_ms`` is spread out."""

    reason: Unavailable
    retry_after_ms: Millis


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint says about itself.

    Parameters
    ----------
    in_flight : int
        Requests running or waiting in the engine, from all nodes.
    slots : int
        Requests the engine runs in one batch; 0 if the report does not say.
    age : int, default=0
        Milliseconds between the measurement and its arrival here.
    """

    in_flight: int
    slots: int
    age: Millis = 0


@dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer came; ``tokens`` is its length."""

    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The endpoint reported an error or its process is gone."""


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The endpoint gave no answer in time."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint would not run the request (full, or leaving)."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller gave up, or the connection went silent; says nothing of health."""


@dataclass(frozen=True, slots=True)
class Misdirected:
    """The endpoint is not the one it was taken for, or cannot serve as it is.

    It ran nothing and will refuse the next request as well, whatever its load.
    """


Outcome = Answered | Failed | TimedOut | Refused | Misdirected | Cancelled


class EjectionCause(Enum):
    """What an endpoint was ejected for."""

    FAILING = "failing"
    SLOW = "slow"
    STUCK = "stuck"
    MISDIRECTED = "misdirected"


@dataclass(frozen=True, slots=True)
class Ejected:
    """An endpoint is left out of the choice until ``until``."""

    endpoint: str
    cause: EjectionCause
    until: Millis
