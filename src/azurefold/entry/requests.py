"""Callers' requests as the entry understands them."""

from dataclasses import dataclass

import msgspec

from azurefold.border.decoding import UnreadableError, json_decoder
from azurefold.core.admission.messages import Priority
from azurefold.core.attempts.ids import AnswerId
from azurefold.core.callers.memory import Reservation
from azurefold.core.clock import Millis
from azurefold.core.routing.messages import Prefix

__all__ = ["BadRequestError", "CallerRequest", "CompletionBody", "parse_completion"]

_CHARACTERS_PER_TOKEN = 4
_MAX_TOKENS = 100_000


class BadRequestError(Exception):
    """A request that cannot be understood.

    Parameters
    ----------
    status : int
    reason : str
        Machine-readable word.
    detail : str
        What to change.
    """

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class CompletionBody(msgspec.Struct):
    """The part of a completion request that the entry reads.

    Parameters
    ----------
    model : str
        Name of the service.
    prompt : str
    max_tokens : int
    stream : bool
    """

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A checked request.

    Parameters
    ----------
    organisation, service, path : str
    body : bytes
    stream : bool
    priority : Priority
    deadline : int
        On the entry's monotonic clock.
    tokens : int
        Estimate of the work in tokens.
    idempotent : bool
    idempotency_key : str or None
    resume_from : AnswerId or None
        From ``Last-Event-ID``.
    prefixes : tuple of Prefix
        Of the prompt, that an endpoint may have cached.
    prompt_tokens : int
        Estimate of the prompt's part of ``tokens``.
    held : Reservation or None
        Of the request, to which its answer is added.
    """

    organisation: str
    service: str
    path: str
    body: bytes
    stream: bool
    priority: Priority
    deadline: Millis
    tokens: int
    idempotent: bool
    idempotency_key: str | None = None
    resume_from: AnswerId | None = None
    prefixes: tuple[Prefix, ...] = ()
    prompt_tokens: int = 0
    held: Reservation | None = None


_decode_completion = json_decoder(CompletionBody)


def parse_completion(body: bytes) -> CompletionBody:
    """Read a completion request.

    Raises
    ------
    BadRequestError
        If the body is not JSON of the expected form.
    """
    try:
        completion = _decode_completion(body)
    except UnreadableError as error:
        raise BadRequestError(
            400, "bad_body", f"Send a JSON object with model and prompt: {error}."
        ) from error
    if not 0 < completion.max_tokens <= _MAX_TOKENS:
        raise BadRequestError(
            400, "bad_max_tokens", f"Send max_tokens between 1 and {_MAX_TOKENS}."
        )
    return completion


def estimated_tokens(body: bytes, max_tokens: int = 0) -> int:
    """Return a rough number of tokens that a request stands for.

    Examples
    --------
    >>> estimated_tokens(b"x" * 40, 10)
    20
    """
    return max(1, len(body) // _CHARACTERS_PER_TOKEN + max_tokens)
