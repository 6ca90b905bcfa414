"""Attempt ids, and answer ids that locate the agent that keeps an answer."""

import re
from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = [
    "AnswerId",
    "InvalidAnswerIdError",
    "new_attempt_id",
    "attempt_created_at",
    "parse_answer_id",
]

_SEPARATOR = "~"
_FORM = re.compile(r"([\w.-]+)~([\w.-]+)~([\w.-]+)~([0-9]{1,12})", re.ASCII)
_TIME_DIGITS = 12


class InvalidAnswerIdError(ValueError):
    """The text is not an answer id issued by azurefold."""


def new_attempt_id(wall_now: Millis, random_hex: str) -> str:
    """Return a new attempt id, which starts with its time of creation.

    Examples
    --------
    >>> new_attempt_id(255, "beef")
    '0000000000ffbeef'
    """
    return f"{wall_now:0{_TIME_DIGITS}x}{random_hex}"


def attempt_created_at(attempt: str) -> Millis:
    """Return the wall-clock time at which an attempt id was created.

    An id of another form counts as created at the epoch. This is safe, because
    old ids are only ever refused or reported as unknown.

    Examples
    --------
    >>> attempt_created_at("0000000000ffbeef")
    255
    >>> attempt_created_at("nonsense")
    0
    """
    try:
        return int(attempt[:_TIME_DIGITS], 16)
    except ValueError:
        return 0


@dataclass(frozen=True, slots=True)
class AnswerId:
    """Location of a kept answer, and a position in it.

    It contains an endpoint's name and no address, because input from callers
    must not determine which address an entry connects to.

    Parameters
    ----------
    endpoint : str
    incarnation : str
        Of the endpoint's agent when the attempt was dispatched.
    attempt_id : str
    offset : int, default=0
        Characters that the caller has received.

    Examples
    --------
    >>> str(AnswerId("drafts-0", "i7", "a1", 12))
    'drafts-0~i7~a1~12'
    >>> parse_answer_id("drafts-0~i7~a1~12").offset
    12
    """

    endpoint: str
    incarnation: str
    attempt_id: str
    offset: int = 0

    def __str__(self) -> str:
        parts = (self.endpoint, self.incarnation, self.attempt_id, str(self.offset))
        return _SEPARATOR.join(parts)


def parse_answer_id(text: str) -> AnswerId:
    """Parse an answer id.

    Raises
    ------
    InvalidAnswerIdError
        If the text has another form.
    """
    # The parts go into paths and headers of requests to agents.
    matched = _FORM.fullmatch(text)
    if matched is None:
        raise InvalidAnswerIdError(
            "send the id of the last event unchanged, "
            "in the form endpoint~incarnation~attempt~offset"
        )
    endpoint, incarnation, attempt_id, offset = matched.groups()
    return AnswerId(endpoint, incarnation, attempt_id, int(offset))
