"""Reads the headers of callers' requests.

Each function raises :class:`BadRequestError`, which says what to send instead.
"""

import falcon

from azurefold.core.admission.messages import Priority
from azurefold.core.attempts.ids import AnswerId, InvalidAnswerIdError, parse_answer_id
from azurefold.core.clock import Millis
from azurefold.entry.requests import BadRequestError

__all__ = [
    "read_idempotency_key",
    "read_idempotent",
    "read_last_event_id",
    "read_priority",
    "read_timeout",
]

_MAX_KEY_LENGTH = 255
_MAX_DEADLINE_MS: Millis = 3_600_000
_MAX_DIGITS = 12
_TRUTHS = {"true": True, "false": False}
_PRIORITIES = {"confirmation": Priority.CONFIRMATION, "draft": Priority.DRAFT}


def read_idempotency_key(req: falcon.Request) -> str | None:
    """Return the caller's key, or None."""
    key = req.get_header("Idempotency-Key")
    if key is not None and not 0 < len(key) <= _MAX_KEY_LENGTH:
        raise BadRequestError(
            400, "bad_idempotency_key", f"Send a key of 1 to {_MAX_KEY_LENGTH} letters."
        )
    return key


def read_priority(req: falcon.Request, default: Priority) -> Priority:
    """Return the priority asked for, never above the service's own."""
    text = req.get_header("Azurefold-Priority")
    if text is None:
        return default
    if text not in _PRIORITIES:
        raise BadRequestError(
            400, "bad_priority", f"Send one of {', '.join(_PRIORITIES)} as priority."
        )
    return max(default, _PRIORITIES[text])


def read_timeout(req: falcon.Request, default: Millis) -> Millis:
    """Return the milliseconds that the caller gives the request."""
    text = req.get_header("Azurefold-Timeout-Ms")
    if text is None:
        return default
    is_number = text.isdecimal() and len(text) <= _MAX_DIGITS
    if not is_number or not 0 < int(text) <= _MAX_DEADLINE_MS:
        raise BadRequestError(
            400,
            "bad_timeout",
            f"Send a whole number from 1 to {_MAX_DEADLINE_MS} milliseconds.",
        )
    return int(text)


def read_idempotent(req: falcon.Request, default: bool) -> bool:
    """Return whether the request may be run more than once."""
    text = req.get_header("Azurefold-Idempotent")
    if text is None:
        return default
    if text not in _TRUTHS:
        raise BadRequestError(
            400, "bad_idempotent", "Send true or false as Azurefold-Idempotent."
        )
    return _TRUTHS[text]


def read_last_event_id(req: falcon.Request) -> AnswerId | None:
    """Return where the caller's answer broke off, or None."""
    text = req.get_header("Last-Event-ID")
    if not text:
        return None
    try:
        return parse_answer_id(text)
    except InvalidAnswerIdError as error:
        raise BadRequestError(400, "bad_last_event_id", str(error)) from error
