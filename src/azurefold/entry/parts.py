"""The parts in which a request's answer comes."""

from dataclasses import dataclass

from azurefold.core.attempts.ids import AnswerId
from azurefold.core.attempts.outcome import Failure

__all__ = ["Announced", "AnswerHead", "GivenUp", "Part", "Text", "Whole"]


@dataclass(frozen=True, slots=True)
class Announced:
    """The attempt was taken; the caller can resume by this id from now on."""

    answer_id: AnswerId


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and type of the endpoint's answer."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class Text:
    """Text that the caller has not had yet; ``offset`` is where it ends."""

    text: str
    offset: int


@dataclass(frozen=True, slots=True)
class Whole:
    """The answer is whole."""

    total: int


@dataclass(frozen=True, slots=True)
class GivenUp:
    """The final answer to a request that got no whole answer."""

    failure: Failure


Part = Announced | AnswerHead | Text | Whole | GivenUp
