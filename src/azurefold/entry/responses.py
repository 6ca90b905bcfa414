"""Gives callers whole answers and failures as HTTP responses."""

from collections.abc import Iterator

import falcon

from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.entry.answers import collect, completion_json, error_json
from azurefold.entry.organisations import LIMITED
from azurefold.entry.parts import Part
from azurefold.entry.requests import CallerRequest

__all__ = ["give_failure", "give_whole"]

_SECOND_MS = 1_000


def give_whole(
    request: CallerRequest, resp: falcon.Response, parts: Iterator[Part]
) -> None:
    """Answer with all parts in one body."""
    collected = collect(parts, request.held)
    if collected.failure is not None:
        give_failure(resp, collected.failure)
        return
    if collected.answer_id is not None:
        resp.set_header("Azurefold-Answer-Id", str(collected.answer_id))
    if request.path == "/v1/completions" and collected.status == 200:
        resp.data = completion_json(request, collected)
        return
    resp.status = str(collected.status)
    resp.content_type = collected.content_type
    resp.data = collected.text.encode()


def give_failure(
    resp: falcon.Response, failure: Failure, status: int | None = None
) -> None:
    """Answer with a failure, by default with the status that it stands for."""
    resp.status = str(status or _status_of(failure))
    resp.data = error_json(failure)
    resp.content_type = falcon.MEDIA_JSON
    if failure.retry_after_ms is not None:
        seconds = -(-failure.retry_after_ms // _SECOND_MS)
        resp.set_header("Retry-After", str(max(1, seconds)))


def _status_of(failure: Failure) -> int:
    if failure.reason == "key_reused":
        return 422
    if failure.reason == LIMITED:
        return 429
    return 503 if failure.ran is RunStatus.NOT_RUN else 502
