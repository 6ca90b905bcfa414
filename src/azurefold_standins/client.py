"""A caller: sends requests, reads streams, and resumes them."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, field

from geventhttpclient import HTTPClient

from azurefold.internal.http_client import CONNECTION_ERRORS
from azurefold.internal.http_server import split_address

__all__ = ["Answer", "Client", "StreamEvent"]

_TIMEOUT_S = 30.0


@dataclass(slots=True)
class Answer:
    """What a caller got.

    Parameters
    ----------
    status : int
        0 where the connection broke before a status came.
    body : bytes
    headers : dict of str to str
        Names in lower case.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def json(self) -> dict:
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def ran(self) -> str:
        """What an error says of whether the request ran."""
        return self.json["error"]["ran"]


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One server-sent event; ``kind`` is ``error``, ``done``, ``text`` or ``id``."""

    kind: str
    event_id: str
    text: str = ""


@dataclass(slots=True)
class Client:
    """A caller of one entry, on new connections."""

    address: str
    organisation: str

    def post(self, path: str, body: object, **headers: str) -> Answer:
        """Send JSON and return the whole answer."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        client = self._connect()
        try:
            response = client.post(path, body=data, headers=self._headers(headers))
            content = bytes(response.read())
            names = {name.lower(): str(value) for name, value in response.items()}
            return Answer(response.status_code, content, names)
        except CONNECTION_ERRORS:
            return Answer(0)
        finally:
            client.close()

    def complete(self, prompt: str, max_tokens: int, **headers: str) -> Answer:
        """Ask for a completion that is not streamed."""
        return self.post("/v1/completions", _ask(prompt, max_tokens), **headers)

    def stream(
        self, prompt: str, max_tokens: int, **headers: str
    ) -> Iterator[StreamEvent]:
        """Ask for a streamed completion and yield its events.

        Ends without a ``done`` or ``error`` event where the connection broke.
        """
        body = json.dumps({**_ask(prompt, max_tokens), "stream": True}).encode()
        yield from self._events("POST", "/v1/completions", body, headers)

    def resume(self, last_event_id: str) -> Iterator[StreamEvent]:
        """Yield the rest of a stream."""
        headers = {"Last_Event_ID": last_event_id}
        yield from self._events("GET", "/v1/answers", b"", headers)

    def _events(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Iterator[StreamEvent]:
        client = self._connect()
        try:
            response = client.request(method, path, body, self._headers(headers))
            if response.status_code != 200:
                yield StreamEvent("error", "", bytes(response.read()).decode())
                return
            yield from _parsed(response)
        except CONNECTION_ERRORS:
            return
        finally:
            client.close()

    def _connect(self) -> HTTPClient:
        host, port = split_address(self.address)
        return HTTPClient(
            host, port, connection_timeout=_TIMEOUT_S, network_timeout=_TIMEOUT_S
        )

    def _headers(self, more: dict[str, str]) -> dict[str, str]:
        named = {name.replace("_", "-"): value for name, value in more.items()}
        return {
            "Content-Type": "application/json",
            "Azurefold-Organisation": self.organisation,
            **named,
        }


def _ask(prompt: str, max_tokens: int) -> dict:
    return {"model": "recall-drafts", "prompt": prompt, "max_tokens": max_tokens}


def _parsed(response: object) -> Iterator[StreamEvent]:
    event_id, kind = "", ""
    while line := bytes(response.readline(b"\n")):
        name, _, value = line.decode().rstrip("\n").partition(": ")
        if name == "id":
            event_id = value
        elif name == "event":
            kind = value
        elif name == "data":
            yield _event(kind, event_id, value)
            kind = ""
        elif not name and not kind and event_id.endswith("~0"):
            yield StreamEvent("id", event_id)


def _event(kind: str, event_id: str, value: str) -> StreamEvent:
    if kind == "error":
        return StreamEvent("error", event_id, value)
    if value == "[DONE]":
        return StreamEvent("done", event_id)
    return StreamEvent("text", event_id, json.loads(value)["choices"][0]["text"])
