"""Reads callers' bodies within their limits."""

import falcon
import gevent

from azurefold.entry.requests import BadRequestError
from azurefold.entry.state import EntryLimits
from azurefold.internal.request_reader import BodyRefusedError

__all__ = ["read_body"]

_SECOND_MS = 1_000


def read_body(req: falcon.Request, limits: EntryLimits) -> bytes:
    """Return a request's body.

    Raises
    ------
    BadRequestError
        If it is too large, too slow or broken off.
    """
    largest = limits.max_body_bytes
    if req.content_length is not None and req.content_length > largest:
        raise _too_large(largest)
    body = None
    with gevent.Timeout(limits.body_timeout_ms / _SECOND_MS, False):
        body = _read_up_to(req, largest + 1)
    if body is None:
        raise BadRequestError(408, "slow_body", "The body did not come in time.")
    if len(body) > largest:
        raise _too_large(largest)
    return body


def _read_up_to(req: falcon.Request, most: int) -> bytes:
    # A chunked body has no length in front, so it is read up to the limit
    # and never further, whatever the sender goes on sending.
    wanted = most if req.content_length is None else req.content_length
    pieces = []
    while wanted > 0:
        try:
            piece = req.env["wsgi.input"].read(wanted)
        except BodyRefusedError as error:
            raise _refused(error) from error
        except OSError as error:
            raise BadRequestError(400, "bad_body", "The body broke off.") from error
        if not piece:
            break
        pieces.append(piece)
        wanted -= len(piece)
    return b"".join(pieces)


def _refused(error: BodyRefusedError) -> BadRequestError:
    return BadRequestError(
        error.status, error.reason, f"The body is not taken: {error.status.phrase}."
    )


def _too_large(largest: int) -> BadRequestError:
    return BadRequestError(
        413, "body_too_large", f"Send a body of at most {largest} bytes."
    )
