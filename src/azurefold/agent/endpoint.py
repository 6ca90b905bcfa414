"""Calls to the endpoint beside an agent: a model engine or a plain service."""

import codecs
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from azurefold.border.decoding import Count, UnreadableError, json_decoder
from azurefold.core.clock import Millis
from azurefold.internal.http_client import (
    CONNECTION_ERRORS,
    fresh_client,
    http_client,
    is_status,
    lines_at_once,
    note_taken,
)

__all__ = [
    "EndpointCall",
    "EndpointEnd",
    "EndpointHead",
    "EndpointText",
    "ModelEngine",
    "NeverSentError",
    "NoSuchStreamError",
    "PlainService",
    "StreamBrokeError",
    "call_endpoint",
    "cancel_stream",
    "parse_event",
    "resume_stream",
]

_CONNECT_TIMEOUT_MS: Millis = 1_000
_READ_TIMEOUT_MS: Millis = 10_000
_DATA = b"data: "
_BLOCK_BYTES = 65_536
_OK = 200
_NOT_FOUND = 404
_JSON = "application/json"


class NeverSentError(Exception):
    """No connection was made, so the call was certainly not run."""


class StreamBrokeError(Exception):
    """The connection broke or went silent after the call was sent."""


class NoSuchStreamError(Exception):
    """The engine does not know the stream, or keeps it no longer."""


@dataclass(frozen=True, slots=True)
class ModelEngine:
    """An engine that streams tokens and resumes streams by their id."""

    address: str


@dataclass(frozen=True, slots=True)
class PlainService:
    """A service that answers a call with one body."""

    address: str


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """One request as the endpoint is given it.

    Parameters
    ----------
    attempt_id : str
    path : str
        Path at a plain service.
    body : bytes
        The caller's JSON.
    priority : int
        Lower goes first at engines that honour priorities.
    """

    attempt_id: str
    path: str
    body: bytes
    priority: int


@dataclass(frozen=True, slots=True)
class EndpointHead:
    """Status and type of an answer that is about to come."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class EndpointText:
    """Text of the answer at an offset in characters."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class EndpointEnd:
    """The endpoint says that the answer is whole."""

    total: int


class _Event(msgspec.Struct):
    offset: Count = 0
    text: str = ""
    done: bool = False
    total: Count = 0


_decode_event = json_decoder(_Event)


def parse_event(data: bytes) -> _Event:
    """Read one of an engine's events.

    Raises
    ------
    StreamBrokeError
        If it is none; the stream can then be resumed at the engine.
    """
    try:
        return _decode_event(data)
    except UnreadableError as error:
        raise StreamBrokeError(f"the engine sent no event: {error}") from error


def call_endpoint(
    target: ModelEngine | PlainService, call: EndpointCall
) -> Iterator[EndpointHead | EndpointText | EndpointEnd]:
    """Run a request at the endpoint and yield its answer.

    Raises
    ------
    NeverSentError
        If no connection could be made.
    StreamBrokeError
        If the answer did not come whole.
    """
    match target:
        case ModelEngine(address=address):
            return _call_engine(address, call)
        case PlainService(address=address):
            return _call_plain(address, call)


def resume_stream(
    engine: ModelEngine, attempt_id: str, start: int
) -> Iterator[EndpointHead | EndpointText | EndpointEnd]:
    """Yield a stream that the engine already has, from an offset.

    Raises
    ------
    NoSuchStreamError
        If the engine does not have it.
    StreamBrokeError
        If the rest did not come whole.
    """
    client = fresh_client(engine.address, _CONNECT_TIMEOUT_MS, _READ_TIMEOUT_MS)
    try:
        response = client.get(f"/v1/streams/{attempt_id}?from={start}")
        if response.status_code == _NOT_FOUND:
            raise NoSuchStreamError(attempt_id)
        yield from _engine_events(response)
    except CONNECTION_ERRORS as error:
        raise StreamBrokeError(str(error)) from error
    finally:
        client.close()


def cancel_stream(engine: ModelEngine, attempt_id: str) -> None:
    """Ask the engine to stop a stream; a lost order costs only its work."""
    client = fresh_client(engine.address, _CONNECT_TIMEOUT_MS, _READ_TIMEOUT_MS)
    try:
        client.delete(f"/v1/streams/{attempt_id}").read()
    except CONNECTION_ERRORS:
        return
    finally:
        client.close()


def _connected(address: str) -> "object":
    """Return a client whose connection stands.

    Connecting apart from sending keeps the two cases apart: nothing sent,
    certainly not run; something sent, perhaps run.
    """
    client = http_client(address, _CONNECT_TIMEOUT_MS, _READ_TIMEOUT_MS, concurrency=1)
    pool = client._connection_pool
    try:
        pool.return_socket(pool.get_socket())
    except CONNECTION_ERRORS as error:
        client.close()
        raise NeverSentError(str(error)) from error
    return client


def _call_engine(address: str, call: EndpointCall) -> Iterator:
    client = _connected(address)
    headers = {
        "Content-Type": _JSON,
        "Request-Id": call.attempt_id,
        "Priority": str(call.priority),
    }
    try:
        response = client.post("/v1/completions", body=call.body, headers=headers)
        if response.status_code != _OK:
            yield from _whole_body(response)
            return
        yield from _engine_events(response)
    except CONNECTION_ERRORS as error:
        raise StreamBrokeError(str(error)) from error
    finally:
        client.close()


def _engine_events(response: object) -> Iterator:
    yield EndpointHead(_OK, "text/event-stream")
    while lines := lines_at_once(response):
        for line in lines:
            if not line.startswith(_DATA):
                continue
            event = parse_event(line[len(_DATA) :])
            if event.done:
                yield EndpointEnd(event.total)
                return
            yield EndpointText(event.offset, event.text)
    raise StreamBrokeError("the engine closed the stream before its end")


def _call_plain(address: str, call: EndpointCall) -> Iterator:
    client = _connected(address)
    headers = {"Content-Type": _JSON, "Request-Id": call.attempt_id}
    try:
        response = client.post(call.path, body=call.body, headers=headers)
        yield from _whole_body(response)
    except CONNECTION_ERRORS as error:
        raise StreamBrokeError(str(error)) from error
    finally:
        client.close()


def _whole_body(response: object) -> Iterator:
    status = response.status_code
    if not is_status(status):
        raise StreamBrokeError(f"the endpoint sent no status: {status}")
    yield EndpointHead(status, str(response.get("content-type", _JSON)))
    decoder = codecs.getincrementaldecoder("utf-8")("replace")
    total = 0
    is_last = False
    while not is_last:
        data = bytes(response.read(_BLOCK_BYTES))
        note_taken(response)
        is_last = not data
        if text := decoder.decode(data, final=is_last):
            yield EndpointText(total, text)
            total += len(text)
    yield EndpointEnd(total)
