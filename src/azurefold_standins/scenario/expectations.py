"""The steps of the test language that say what must hold, as data."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "AtMostOnce",
    "Drained",
    "EndedCleanly",
    "InForce",
    "InForceAt",
    "NoNewWork",
    "NoStepBack",
    "NoneResumed",
    "NotRunIsTrue",
    "OperatorsToldTruth",
    "Outcome",
    "Refused",
    "SomeError",
    "SomeOutcome",
    "SomeResumed",
    "Whole",
    "WrittenBack",
]


@dataclass(frozen=True, slots=True)
class Whole:
    """Every answer is whole, or says explicitly why it is not."""

    drafts_only: bool = False
    or_explained: bool = False


@dataclass(frozen=True, slots=True)
class AtMostOnce:
    """No call ran twice."""


@dataclass(frozen=True, slots=True)
class NotRunIsTrue:
    """What a caller was told is not run did not run."""


@dataclass(frozen=True, slots=True)
class Refused:
    """No booking ran, and each refusal says when to come back."""


class Outcome(StrEnum):
    """What a caller was told."""

    CONFIRMED = "confirmed"
    UNKNOWN = "unknown"
    NOT_RUN = "not run"


@dataclass(frozen=True, slots=True)
class SomeOutcome:
    """At least one caller was told this."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class SomeError:
    """At least one draft ended in an explicit error."""


@dataclass(frozen=True, slots=True)
class SomeResumed:
    """At least one draft was taken up again by its caller."""


@dataclass(frozen=True, slots=True)
class NoneResumed:
    """No caller noticed anything: each draft came in one go."""


@dataclass(frozen=True, slots=True)
class InForce:
    """The accepted revision is in force; None: in all data centres."""

    data_centre: str | None = None


@dataclass(frozen=True, slots=True)
class InForceAt:
    """The accepted revision is in force in one process."""

    process: str


@dataclass(frozen=True, slots=True)
class NoStepBack:
    """No life of a process ever showed a lower revision than before."""


@dataclass(frozen=True, slots=True)
class WrittenBack:
    """The platform shows the accepted revision."""


@dataclass(frozen=True, slots=True)
class OperatorsToldTruth:
    """What operators were told is so; None: one of them won, or nobody."""

    winners: int | None = None


@dataclass(frozen=True, slots=True)
class NoNewWork:
    """The endpoint ran nothing since it was remembered."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Drained:
    """The operator's drain ended well."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class EndedCleanly:
    """The process ended by itself with code 0."""

    process: str
