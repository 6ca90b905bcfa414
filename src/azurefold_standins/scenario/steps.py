"""The steps of the test language, as data."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "Accept",
    "Bookings",
    "CopyStore",
    "Cut",
    "CutLink",
    "DatagramsFail",
    "Delay",
    "Drafts",
    "Drain",
    "Given",
    "GivenDataCentre",
    "GivenGroup",
    "GivenLatency",
    "GivenService",
    "GivenStep",
    "Heal",
    "ListVms",
    "PauseFor",
    "PlatformFault",
    "Race",
    "RememberRuns",
    "RepeatKeys",
    "RestoreStore",
    "Scenario",
    "Signal",
    "SignalKind",
    "Silence",
    "SilenceBetween",
    "Step",
    "WaitAnswers",
    "WaitEntries",
    "WaitRan",
    "WaitTokens",
    "WatchRevisions",
]


@dataclass(frozen=True, slots=True)
class GivenDataCentre:
    """A data centre with so many entry VMs."""

    name: str
    entries: int


@dataclass(frozen=True, slots=True)
class GivenGroup:
    """A group of ranks of the model service."""

    name: str
    ranks: int
    data_centre: str


@dataclass(frozen=True, slots=True)
class GivenService:
    """Endpoints of a plain service whose calls may not be repeated."""

    name: str
    endpoints: int
    data_centre: str


@dataclass(frozen=True, slots=True)
class GivenStep:
    """How long the engines take for a step."""

    ms: int


@dataclass(frozen=True, slots=True)
class GivenLatency:
    """How long the plain services take for a call."""

    ms: int


Given = GivenDataCentre | GivenGroup | GivenService | GivenStep | GivenLatency


@dataclass(frozen=True, slots=True)
class Accept:
    """Have a configuration accepted, with other timeouts if given."""

    timeout_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Race:
    """Let operators apply different edits of one base at the same moment."""

    operators: int


@dataclass(frozen=True, slots=True)
class Drain:
    """Start the operator's drain of an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class ListVms:
    """Put all endpoints on the list of VMs, which then never changes."""


@dataclass(frozen=True, slots=True)
class WatchRevisions:
    """Note from now on which revision each process holds."""


@dataclass(frozen=True, slots=True)
class RememberRuns:
    """Note how much an endpoint has run."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Bookings:
    """Send non-idempotent calls; each entry gets them in turn."""

    count: int
    with_keys: bool
    entries: tuple[str, ...]
    background: bool


@dataclass(frozen=True, slots=True)
class Drafts:
    """Start streams at the first entry, resumed at the next ones."""

    count: int
    tokens: int
    entries: tuple[str, ...]
    background: bool
    resuming: bool = True


@dataclass(frozen=True, slots=True)
class RepeatKeys:
    """Send every call with a key again, through each of the entries."""

    entries: tuple[str, ...]
    background: bool


class SignalKind(StrEnum):
    """What is done to a process."""

    KILL = "kill"
    PAUSE = "pause"
    RESUME = "resume"
    START = "start"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Signal:
    """Do something to a process."""

    kind: SignalKind
    process: str


@dataclass(frozen=True, slots=True)
class PlatformFault:
    """How the platform misbehaves; the fields are those of its stand-in."""

    mode: str
    latency_ms: int = 0
    count: int | None = None


@dataclass(frozen=True, slots=True)
class CopyStore:
    """Have the platform keep a copy of its store."""


@dataclass(frozen=True, slots=True)
class RestoreStore:
    """Put the copy in the store's place."""


@dataclass(frozen=True, slots=True)
class Cut:
    """Cut a data centre from another, or from the platform."""

    data_centre: str
    other: str


@dataclass(frozen=True, slots=True)
class CutLink:
    """Cut the way to a process."""

    link: str


@dataclass(frozen=True, slots=True)
class Heal:
    """End all faults of links."""


@dataclass(frozen=True, slots=True)
class Silence:
    """Let the open connections of a link go silent for good."""

    link: str


@dataclass(frozen=True, slots=True)
class SilenceBetween:
    """Let the open connections between two data centres go silent for good."""

    data_centre: str
    other: str


@dataclass(frozen=True, slots=True)
class DatagramsFail:
    """Lose, double or hold up datagrams, besides what is wrong already."""

    lose_percent: int = 0
    double_percent: int = 0
    late_ms: int = 0


@dataclass(frozen=True, slots=True)
class Delay:
    """Hold up what goes over a link."""

    link: str
    ms: int


@dataclass(frozen=True, slots=True)
class PauseFor:
    """Let time pass; only for promises that name a time."""

    seconds: int


@dataclass(frozen=True, slots=True)
class WaitAnswers:
    """Wait until all callers have their final answers."""


@dataclass(frozen=True, slots=True)
class WaitRan:
    """Wait until so many of this scenario's bookings ran."""

    count: int


@dataclass(frozen=True, slots=True)
class WaitTokens:
    """Wait until every draft has at least so many tokens, or its end."""

    tokens: int


@dataclass(frozen=True, slots=True)
class WaitEntries:
    """Wait until running entries know all endpoints near them."""


@dataclass(frozen=True, slots=True)
class WaitLeaving:
    """Wait until the operator has been told that an endpoint is leaving."""

    endpoint: str


Step = object
"""Any of the classes above, or of :mod:`.expectations`."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario that was read.

    Parameters
    ----------
    file : str
    steps : tuple
        Pairs of a line number and a step.
    """

    file: str
    steps: tuple[tuple[int, Step], ...]

    @property
    def given(self) -> tuple[Given, ...]:
        """The steps that say what the site consists of."""
        return tuple(step for _, step in self.steps if isinstance(step, Given))
