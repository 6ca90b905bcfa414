"""Callers of a gateway that check what they get, byte by byte."""

import http.client
import itertools
import random
import select
import time
from dataclasses import dataclass, field
from enum import Enum

from azurefold.internal.http_server import split_address
from azurefold_standins.bare_layout import EVENTS, expected_event
from azurefold_standins.gateway_site import HOST, KEY

__all__ = [
    "HINTS",
    "HONEST_HINT",
    "Call",
    "Caller",
    "Kind",
    "Result",
    "StreamKind",
]

_PROMISES = (408, 421, 429, 503)
_TIMEOUT_S = 6.0
_DEADLINE_MS = 4_500

HONEST_HINT = "24"
HINTS = (
    None,
    HONEST_HINT,
    "-5",
    "0",
    "999999999999",
    "1e99",
    "NaN",
    "many",
    "\u00b2",
    "",
)
"""Missing, honest, negative, huge and unreadable ones; the second but last is a digit
that is no number."""


class Kind(Enum):
    """What is asked for."""

    DRAFT = "drafts"
    ACK = "acks"
    LIST = "lists"


class StreamKind(Enum):
    """What endpoints in processes of their own are asked for: streams."""

    NOTE = "notes"
    TALK = "talks"


class Result(Enum):
    """What came of a call."""

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    CUT_OFF = "cut_off"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class Call:
    """One call and its end."""

    id: str
    kind: Kind | StreamKind
    gateway: str
    result: Result
    status: int
    took_s: float
    sent_at: float
    hint: str | None = None


@dataclass(slots=True)
class Caller:
    """Makes calls to gateways, on connections that it keeps for a while.

    Parameters
    ----------
    name : str
    draw : random.Random
    """

    name: str
    draw: random.Random
    calls: list[Call] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)
    _kept: dict[str, http.client.HTTPConnection] = field(default_factory=dict)
    _hints: random.Random = field(init=False)

    def __post_init__(self) -> None:
        # Of its own, so that hints change nothing else that is drawn.
        self._hints = random.Random(self.name)

    def call(
        self,
        kind: Kind | StreamKind,
        gateway: str,
        address: str,
        prefix: str = "",
    ) -> Call:
        """Make a call and check the answer.

        Parameters
        ----------
        kind : Kind or StreamKind
        gateway, address : str
        prefix : str
            Of the route, ``"/"`` at both ends; by default the kind's own.
        """
        number = next(self._numbers)
        attempt = f"{self.name}-{number}"
        hint = self._hints.choice(HINTS)
        path = f"{prefix or f'/{kind.value}/'}{attempt}"
        began = time.monotonic()
        headers = _headers(attempt) | _hint_header(hint)
        body = None if kind is Kind.LIST else attempt.encode()
        result, status = self._ask(kind, path, gateway, address, headers, body)
        took = time.monotonic() - began
        call = Call(attempt, kind, gateway, result, status, took, began, hint)
        self.calls.append(call)
        return call

    def _ask(
        self,
        kind: Kind | StreamKind,
        path: str,
        gateway: str,
        address: str,
        headers: dict[str, str],
        body: bytes | None,
    ) -> tuple[Result, int]:
        status = 0
        connection = self._connection(gateway, address)
        try:
            method = "GET" if kind is Kind.LIST else "POST"
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            status = answer.status
            data = answer.read()
        except (OSError, http.client.HTTPException):
            self._drop(gateway)
            return (Result.CUT_OFF if status else Result.FAILED), status
        if answer.will_close or self.draw.random() < 0.1:
            self._drop(gateway)
        return _judge(kind, path, body or b"", status, data), status

    def _connection(self, gateway: str, address: str) -> http.client.HTTPConnection:
        if gateway in self._kept and _is_closed(self._kept[gateway]):
            self._drop(gateway)
        if gateway not in self._kept:
            host, port = split_address(address)
            self._kept[gateway] = http.client.HTTPConnection(host, port, _TIMEOUT_S)
        connection = self._kept[gateway]
        connection.timeout = _TIMEOUT_S
        return connection

    def _drop(self, gateway: str) -> None:
        self._kept.pop(gateway).close()


def _is_closed(connection: http.client.HTTPConnection) -> bool:
    """Whether an idle connection has ended, as when its gateway was killed."""
    readable, _, _ = select.select([connection.sock], [], [], 0)
    return bool(readable)


def _hint_header(hint: str | None) -> dict[str, str]:
    return {} if hint is None else {"Length-Hint": hint}


def _headers(attempt: str) -> dict[str, str]:
    return {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(_DEADLINE_MS),
        "Authorization": f"Bearer {KEY}",
        "Token-Count": "100,40",
    }


def _judge(
    kind: Kind | StreamKind, path: str, body: bytes, status: int, data: bytes
) -> Result:
    if status in _PROMISES:
        return Result.REFUSED
    if status != 200:
        return Result.FAILED
    if kind is Kind.DRAFT or isinstance(kind, StreamKind):
        numbers = range(1, EVENTS + 1)
        whole = b"".join(expected_event(path, number) for number in numbers)
    else:
        whole = path.encode() + b":" + body
    return Result.WHOLE if data == whole else Result.WRONG
