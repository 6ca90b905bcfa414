"""Client of the platform's store: rows, conditional writes and feeds."""

import logging
from base64 import b64decode, b64encode
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from http import HTTPStatus
from urllib.parse import urlencode

import gevent
import msgspec
from geventhttpclient import HTTPClient

from azurefold.border.decoding import Count, UnreadableError, json_decoder
from azurefold.core.clock import Millis
from azurefold.internal.http_client import CONNECTION_ERRORS, http_client
from azurefold.internal.logs import log_event
from azurefold.platform.store_messages import (
    Applied,
    Conflicted,
    FeedChanges,
    HistoryLost,
    NotApplied,
    RowKey,
    RowWrite,
    StoredRow,
    StoredRows,
    TransactionOutcome,
    Unavailable,
    Uncertain,
)

__all__ = ["FEED_SLACK_MS", "LONGEST_WAIT_MS", "StoreClient", "store_client"]

_log = logging.getLogger("azurefold.platform")

FEED_SLACK_MS: Millis = 1_000
"""Added to a feed's wait before its connection counts as silent: the store
answers within some 300 ms when it is slow."""

LONGEST_WAIT_MS: Millis = 30_000
"""The store keeps no feed's call for longer."""

_CALL_TIMEOUT_MS: Millis = 1_500
"""For all calls but feeds: five times the slowest answer seen, 270 ms."""

_ERA = "Store-Era"
_MOST_ERA_DIGITS = 18
_MOST_UNREADABLE_ERAS = 16
"""That are remembered, so that each is logged once."""

_CONNECT_TIMEOUT_MS: Millis = 1_000
_SECOND_MS = 1_000

_HALF_FULL_BYTES = 500_000
_HALF_FULL_ROWS = 250
"""Half of what an answer holds. A feed's answer below it has room for another row, so
that all changes are in it."""

_REFUSALS = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)


class _Row(msgspec.Struct):
    key: str = msgspec.field(name="Key")
    version: Count = msgspec.field(name="Ver", default=0)
    value: str = msgspec.field(name="Value", default="")
    deleted: bool = msgspec.field(name="Deleted", default=False)


class _Rows(msgspec.Struct):
    rows: list[_Row] = msgspec.field(name="Rows", default_factory=list)
    has_more: bool = msgspec.field(name="HasMore", default=False)
    version: Count = msgspec.field(name="Ver", default=0)
    store_ms: Count | None = msgspec.field(name="NowMs", default=None)


_decode_rows = json_decoder(_Rows)


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    era: int | None


class StoreClient:
    """The store at one address; made by :func:`store_client`."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._calls = _client(address, _CALL_TIMEOUT_MS)

    def read_table(self, table: str) -> StoredRows | Unavailable:
        """Read all rows of a table that have no partition."""
        return _read_table(self._calls, table)

    def transact(
        self,
        expected: Sequence[tuple[RowKey, int]] = (),
        writes: Sequence[RowWrite] = (),
        removes: Sequence[RowKey] = (),
    ) -> TransactionOutcome:
        """Write and remove rows if all ``expected`` versions hold, or nothing.

        Parameters
        ----------
        expected : sequence of (RowKey, int)
            Versions that rows must have; 0 for a row that must not exist.
        writes : sequence of RowWrite
        removes : sequence of RowKey
        """
        body = msgspec.json.encode(
            {
                # Named after revisions, but they are versions of single rows.
                "ExpectedRev": [
                    _row_address(row) | {"Ver": version} for row, version in expected
                ],
                "Write": [
                    _row_address(write.row) | {"Value": b64encode(write.value).decode()}
                    for write in writes
                ],
                "Remove": [_row_address(row) for row in removes],
            }
        )
        try:
            answer = _ask(self._calls, "POST", "/rows-tx", body)
        except CONNECTION_ERRORS as error:
            return Uncertain(_reason(error))
        return _outcome(answer)

    def open_feed(self) -> "Feed":
        """Return a feed with a connection of its own."""
        return Feed(self._address)


class Feed:
    """Changes of tables over one connection, which a reader waits on.

    Parameters
    ----------
    address : str
    """

    def __init__(self, address: str) -> None:
        self._client = _client(address, LONGEST_WAIT_MS + FEED_SLACK_MS)

    def read_table(self, table: str) -> StoredRows | Unavailable:
        """Read all rows of a table that have no partition, over this connection."""
        return _read_table(self._client, table)

    def changes(
        self, table: str, after: int, wait_ms: Millis
    ) -> FeedChanges | HistoryLost | Unavailable:
        """Wait for rows that changed.

        Parameters
        ----------
        table : str
        after : int
            The version after which they changed.
        wait_ms : int
            How long the store keeps a call that has nothing to tell, up to
            :data:`LONGEST_WAIT_MS`.
        """
        query = {"Table": table, "After": after, "WaitMs": wait_ms}
        uri = f"/rows-feed?{urlencode(query)}"
        seconds = (wait_ms + FEED_SLACK_MS) / _SECOND_MS
        try:
            with gevent.Timeout(seconds, TimeoutError("no answer")):
                answer = _exchange(self._client, "GET", uri, b"")
        except CONNECTION_ERRORS as error:
            return Unavailable(_reason(error))
        if answer.status == HTTPStatus.GONE:
            return HistoryLost()
        page = _rows(answer)
        if isinstance(page, Unavailable):
            return page
        # An answer has room for some of the changes only, while the version it names is
        # that of the newest one: from there, all changes between would be skipped, and
        # the gateway would be behind its peers for good.
        version = max((row.version for row in page.rows), default=page.version)
        rows = tuple(_stored(row) for row in page.rows)
        is_all = version == page.version or (
            len(answer.body) < _HALF_FULL_BYTES and len(rows) < _HALF_FULL_ROWS
        )
        return FeedChanges(rows, version, answer.era, page.store_ms, is_all)

    def close(self) -> None:
        """Close the connection; a reader that waits on it fails."""
        self._client.close()


def store_client(address: str) -> StoreClient:
    """Return a client of the store at ``"ip:port"``."""
    return StoreClient(address)


def _read_table(client: HTTPClient, table: str) -> StoredRows | Unavailable:
    rows: list[StoredRow] = []
    start = ""
    first: _Rows | None = None
    era = None
    while True:
        query = {"Table": table, "part": ""}
        if start:
            query["From"] = start
        uri = f"/rows-get?{urlencode(query)}"
        try:
            answer = _ask(client, "GET", uri)
        except CONNECTION_ERRORS as error:
            return Unavailable(_reason(error))
        page = _rows(answer)
        if isinstance(page, Unavailable):
            return page
        if None not in (era, answer.era) and answer.era != era:
            return Unavailable("pages of two eras")
        rows += [_stored(row) for row in page.rows]
        # What changes between two pages in rows that were read already would be
        # skipped if the feed went on from the last page's version.
        first = first or page
        era = answer.era if era is None else era
        if not page.has_more or not page.rows:
            return StoredRows(tuple(rows), first.version, era, first.store_ms)
        # The range includes its first key, so the next one is the least
        # text above the last.
        start = page.rows[-1].key + "\0"


def _ask(client: HTTPClient, method: str, uri: str, body: bytes = b"") -> _Answer:
    # The library's timeout is for each read; an answer that trickles would
    # never end.
    with gevent.Timeout(_CALL_TIMEOUT_MS / _SECOND_MS, TimeoutError("no answer")):
        return _exchange(client, method, uri, body)


def _client(address: str, read_timeout_ms: Millis) -> HTTPClient:
    return http_client(address, _CONNECT_TIMEOUT_MS, read_timeout_ms, concurrency=2)


def _exchange(client: HTTPClient, method: str, uri: str, body: bytes) -> _Answer:
    headers = {"Content-Type": "application/json"} if body else {}
    response = client.request(method, uri, body, headers)
    era = _era_in(response.get(_ERA))
    return _Answer(response.status_code, bytes(response.read()), era)


def _era_in(header: str | None) -> int | None:
    """Return the era that an answer tells; None if it tells none, or no number."""
    if header is None:
        return None
    if header.isascii() and header.isdecimal() and len(header) <= _MOST_ERA_DIGITS:
        return int(header)
    _log_unreadable_era(header)
    return None


@lru_cache(maxsize=_MOST_UNREADABLE_ERAS)
def _log_unreadable_era(header: str) -> None:
    log_event(_log, "store_era_unreadable", logging.WARNING, header=header[:32])


def _rows(answer: _Answer) -> _Rows | Unavailable:
    if answer.status != HTTPStatus.OK:
        return Unavailable(f"status {answer.status}")
    try:
        return _decode_rows(answer.body)
    except UnreadableError as error:
        return Unavailable(f"an answer not understood: {error}")


def _stored(row: _Row) -> StoredRow:
    try:
        value = b64decode(row.value, validate=True) if row.value else b""
    except ValueError:
        # Other writers' bytes; whoever reads the row finds no content and logs so.
        value = b""
    return StoredRow(row.key, row.version, value, row.deleted)


def _row_address(row: RowKey) -> dict[str, str]:
    return {"Table": row.table, "part": row.part, "Key": row.key}


def _outcome(answer: _Answer) -> TransactionOutcome:
    status = answer.status
    if status in _REFUSALS:
        return NotApplied(f"status {status}")
    try:
        read = _decode_rows(answer.body)
    except UnreadableError as error:
        return Uncertain(f"status {status}, an answer not understood: {error}")
    if status == HTTPStatus.OK:
        return Applied(read.version, answer.era)
    if status == HTTPStatus.PRECONDITION_FAILED:
        return Conflicted({row.key: _stored(row) for row in read.rows}, answer.era)
    return NotApplied(f"status {status}")


def _reason(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
