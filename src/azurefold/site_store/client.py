"""Client of the platform's table, object store and list of VMs.

Every call returns a typed result and raises nothing for a platform that is
down, slow or answers nonsense. The difference that matters is between
:class:`~azurefold.site_store.messages.Unavailable`, after which a write certainly
did not take effect, and :class:`~azurefold.site_store.messages.Unknown`, after
which it must be read back.
"""

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from azurefold.border.decoding import Count, UnreadableError, json_decoder
from azurefold.site_store.connections import NotSentError, http_client
from azurefold.site_store.messages import (
    Conflict,
    Missing,
    ObjectBytes,
    Row,
    Rows,
    Stored,
    Transaction,
    Unavailable,
    Unknown,
    Vm,
    Vms,
    Written,
)

__all__ = ["PlatformClient", "platform_client"]

_DEFAULT_CONCURRENCY = 16

_Kind = TypeVar("_Kind")


class _RowList(msgspec.Struct):
    rows: list[Row]


class _Versions(msgspec.Struct):
    versions: dict[str, Count]


class _VmList(msgspec.Struct):
    vms: list[Vm]


class _Refusal(msgspec.Struct):
    applied: bool


_decode_rows = json_decoder(_RowList)
_decode_versions = json_decoder(_Versions)
_decode_vms = json_decoder(_VmList)
_decode_refusal = json_decoder(_Refusal)


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


class PlatformClient:
    """The platform's service, asked over HTTP.

    Parameters
    ----------
    clients : sequence of HTTPClient
        One for each address; tried in turn while a request has not been sent.
    timeout_ms : int
        Limit for one request as a whole, in milliseconds.
    """

    def __init__(self, clients: Sequence[HTTPClient], timeout_ms: int) -> None:
        self._clients = tuple(clients)
        self._timeout_s = timeout_ms / 1_000

    def read(self, keys: Sequence[str]) -> Rows | Unavailable:
        """Read the rows of ``keys`` in one request, from one moment."""
        query = urlencode([("key", key) for key in keys])
        return self._read_rows(f"/table?{query}")

    def read_prefix(self, prefix: str) -> Rows | Unavailable:
        """Read all rows whose key starts with ``prefix``."""
        return self._read_rows(f"/table_prefix?{urlencode({'prefix': prefix})}")

    def write(
        self, transaction: Transaction
    ) -> Written | Conflict | Unknown | Unavailable:
        """Write all of ``transaction``, or nothing if a condition fails."""
        body = msgspec.json.encode(transaction)
        answer = self._ask("POST", "/table", body)
        if not isinstance(answer, _Answer):
            return answer
        result = _write_result(answer)
        if isinstance(result, Written):
            missing = [p.key for p in transaction.puts if p.key not in result.versions]
            if missing:
                return Unknown(f"an answer without the version of {missing[0]!r}")
        return result

    def put_object(self, data: bytes) -> Stored | Unavailable:
        """Store ``data`` under its hash; doing so twice changes nothing."""
        sha256 = hashlib.sha256(data).hexdigest()
        answer = self._ask("PUT", f"/objects/{sha256}", data)
        if isinstance(answer, _Answer) and answer.status == HTTPStatus.OK:
            return Stored(sha256)
        return _unavailable(answer)

    def get_object(self, sha256: str) -> ObjectBytes | Missing | Unavailable:
        """Fetch the object with this hash.

        A body that does not have the hash was damaged on its way or in the
        store. It counts as unavailable: passed on, it would become part of a
        configuration that nobody accepted.
        """
        answer = self._ask("GET", f"/objects/{sha256}")
        if not isinstance(answer, _Answer):
            return _unavailable(answer)
        if answer.status == HTTPStatus.NOT_FOUND:
            return Missing(sha256)
        if answer.status != HTTPStatus.OK:
            return _unavailable(answer)
        if hashlib.sha256(answer.body).hexdigest() != sha256:
            return Unavailable(f"object {sha256} came with other content")
        return ObjectBytes(answer.body)

    def vms(self) -> Vms | Unavailable:
        """Read the list of VMs, which lags."""
        answer = self._ask("GET", "/vms")
        listed = _decoded(answer, _decode_vms)
        if isinstance(listed, Unavailable):
            return listed
        return Vms(tuple(listed.vms))

    def close(self) -> None:
        """Close all kept-alive connections."""
        for client in self._clients:
            client.close()

    def _read_rows(self, uri: str) -> Rows | Unavailable:
        listed = _decoded(self._ask("GET", uri), _decode_rows)
        if isinstance(listed, Unavailable):
            return listed
        return Rows({row.key: row for row in listed.rows})

    def _ask(
        self, method: str, uri: str, body: bytes = b""
    ) -> _Answer | Unknown | Unavailable:
        reasons = []
        for client in self._clients:
            try:
                return self._ask_one(client, method, uri, body)
            except NotSentError as error:
                reasons.append(f"{client.host}:{client.port}: {error}")
        return Unavailable("; ".join(reasons))

    def _ask_one(
        self, client: HTTPClient, method: str, uri: str, body: bytes
    ) -> _Answer | Unknown:
        try:
            with gevent.Timeout(self._timeout_s):
                response = client.request(method, uri, body)
                return _Answer(response.status_code, bytes(response.read()))
        except gevent.Timeout:
            return Unknown(f"{method} got no answer within {self._timeout_s:g} s")
        except (OSError, HTTPParseError) as error:
            return Unknown(f"{method} lost its answer: {error}")


def platform_client(
    addresses: str | Sequence[str],
    timeout_ms: int,
    concurrency: int = _DEFAULT_CONCURRENCY,
) -> PlatformClient:
    """Return a client of the platform's service.

    Parameters
    ----------
    addresses : str or sequence of str
        One or more ``"ip:port"`` of the same service. A further one is tried
        only while the request has certainly not been sent.
    timeout_ms : int
        Limit for one request on one address, in milliseconds.
    concurrency : int, default=16
        Most requests under way at once on one address.
    """
    listed = [addresses] if isinstance(addresses, str) else addresses
    clients = [http_client(address, timeout_ms, concurrency) for address in listed]
    return PlatformClient(clients, timeout_ms)


def _write_result(answer: _Answer) -> Written | Conflict | Unknown | Unavailable:
    try:
        match answer.status:
            case HTTPStatus.OK:
                return Written(_decode_versions(answer.body).versions)
            case HTTPStatus.CONFLICT:
                rows = _decode_rows(answer.body).rows
                return Conflict({row.key: row for row in rows})
            case HTTPStatus.SERVICE_UNAVAILABLE:
                # Only a refusal that says so itself is proof of no effect; a
                # bare 503 may come from a gateway whose request got through.
                if not _decode_refusal(answer.body).applied:
                    return Unavailable("the platform refused the request")
    except UnreadableError as error:
        return Unknown(f"status {answer.status} with a body not understood: {error}")
    return Unknown(f"status {answer.status}")


def _decoded(
    answer: _Answer | Unknown | Unavailable, decode: Callable[[bytes], _Kind]
) -> _Kind | Unavailable:
    if not isinstance(answer, _Answer) or answer.status != HTTPStatus.OK:
        return _unavailable(answer)
    try:
        return decode(answer.body)
    except UnreadableError as error:
        return Unavailable(f"an answer not understood: {error}")


def _unavailable(answer: _Answer | Unknown | Unavailable) -> Unavailable:
    match answer:
        case _Answer(status=status):
            return Unavailable(f"status {status}")
        case _:
            return Unavailable(answer.reason)
