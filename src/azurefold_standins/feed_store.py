"""Stand-in for a store with rows, conditional writes and feeds.

::

    python -m azurefold_standins.feed_store --address 127.0.0.1:0

It speaks to gateways as the users' store does. Beside that:

==============================  ===========================================
``PUT /stand-in/faults``        :class:`StoreFaults`, all of them anew.
``POST /stand-in/rows``         ``[{"Table", "Key", "Value"}]`` with a JSON
                                value, or ``null`` to remove: what operators
                                and endpoints write; never faulty.
``POST /stand-in/forget``       All history is dropped.
``POST /stand-in/copy``         A copy is made.
``POST /stand-in/return``       The store goes back to the copy, in a later era.
``GET /stand-in/calls``         How many calls have come.
==============================  ===========================================
"""

import argparse
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import Literal

import falcon
import gevent
import msgspec
from gevent.event import Event

from azurefold.internal.http_server import http_server
from azurefold.internal.process import stop_requested

__all__ = ["FeedStore", "StoreFaults", "StoreHttp", "main"]

_SECOND_MS = 1_000
_PAGE_BYTES = 1_000_000
"""Of the rows in one answer of a feed; the next call gives those that follow."""

_FOR_EVER_S = 3_600


class StoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """How the stand-in misbehaves.

    Parameters
    ----------
    mode : {"ok", "down", "silent", "lose_answers"}
        ``down`` refuses with 503; ``silent`` gives no answer and does nothing;
        ``lose_answers`` carries writes out and answers nothing.
    latency_ms : int, default=0
        Wait before acting.
    span_ms : int, default=0
        After which the faults end; 0 for not before the next ones. A connection on
        which an answer was lost stays open and silent.
    """

    mode: Literal["ok", "down", "silent", "lose_answers"] = "ok"
    latency_ms: int = 0
    span_ms: int = 0


class _Address(msgspec.Struct):
    table: str = msgspec.field(name="Table")
    key: str = msgspec.field(name="Key")
    part: str = ""
    version: int = msgspec.field(name="Ver", default=0)
    value: str = msgspec.field(name="Value", default="")


class _Transaction(msgspec.Struct):
    expected: list[_Address] = msgspec.field(name="ExpectedRev", default_factory=list)
    writes: list[_Address] = msgspec.field(name="Write", default_factory=list)
    removes: list[_Address] = msgspec.field(name="Remove", default_factory=list)


class _Given(msgspec.Struct):
    table: str = msgspec.field(name="Table")
    key: str = msgspec.field(name="Key")
    value: object = msgspec.field(name="Value", default=None)

    @property
    def content(self) -> bytes | None:
        """The row's bytes; None removes it, which an empty object does not."""
        return None if self.value is None else msgspec.json.encode(self.value)


@dataclass(slots=True)
class FeedStore:
    """Rows, their versions and the changes that led to them.

    Parameters
    ----------
    version : int
        The newest.
    oldest : int
        After which history is kept.
    era : int
        Rises each time the store goes back to a copy.
    rows : dict of (str, str) to (bytes, int)
        Content and version by table and key.
    changes : list of (int, str, str, bytes or None)
    changed : Event
        Set at the next change.
    """

    version: int = 0
    era: int = 1
    oldest: int = 0
    rows: dict[tuple[str, str], tuple[bytes, int]] = field(default_factory=dict)
    changes: list[tuple[int, str, str, bytes | None]] = field(default_factory=list)
    changed: Event = field(default_factory=Event)

    def apply(self, transaction: _Transaction) -> bool:
        """Carry a transaction out, or nothing of it."""
        for row in transaction.expected:
            if self.rows.get((row.table, row.key), (b"", 0))[1] != row.version:
                return False
        writes = [
            (row.table, row.key, b64decode(row.value)) for row in transaction.writes
        ]
        removes = [(row.table, row.key, None) for row in transaction.removes]
        self.put([*writes, *removes])
        return True

    def put(self, rows: list[tuple[str, str, bytes | None]]) -> None:
        """Write rows, or remove those whose value is None."""
        self.version += 1
        for table, key, value in rows:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
            self.changes.append((self.version, table, key, value))
        self.changed.set()
        self.changed = Event()

    def table(self, name: str, start: str = "") -> list[dict[str, object]]:
        """Return the rows of a table as they go over the wire."""
        keys = sorted(k for t, k in self.rows if t == name and k >= start)
        return [self._row(name, key) for key in keys]

    def since(self, name: str, after: int) -> list[dict[str, object]]:
        """Return the rows of a table that changed after a version, up to a size.

        Each as it was written: a key that was written twice is there twice.
        """
        page, size = [], 0
        for version, table, key, value in self.changes:
            if table != name or version <= after:
                continue
            size += len(value or b"")
            if page and size > _PAGE_BYTES:
                break
            row = {"Table": name, "part": "", "Key": key, "Ver": version}
            text = {"Deleted": True} if value is None else {"Value": _text(value)}
            page.append(row | text)
        return page

    def forget(self) -> None:
        """Drop all history."""
        self.changes.clear()
        self.oldest = self.version

    def copy(self) -> "FeedStore":
        """Return a copy to go back to."""
        return FeedStore(
            self.version, self.era, self.oldest, dict(self.rows), list(self.changes)
        )

    def go_back(self, copy: "FeedStore") -> None:
        """Lose all that was written after ``copy``, and give its versions out again."""
        self.version, self.oldest = copy.version, copy.oldest
        self.rows, self.changes = dict(copy.rows), list(copy.changes)
        self.era += 1

    def _row(self, table: str, key: str) -> dict[str, object]:
        value, version = self.rows[table, key]
        text = _text(value)
        return {"Table": table, "part": "", "Key": key, "Value": text, "Ver": version}


def _text(value: bytes) -> str:
    return b64encode(value).decode()


@dataclass(slots=True)
class StoreHttp:
    """The store over HTTP, and how it misbehaves."""

    store: FeedStore
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0
    _copy: FeedStore = field(default_factory=FeedStore)

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with the rows of a table."""
        if self._misbehaves(resp):
            return
        rows = self.store.table(req.get_param("Table"), req.get_param("From") or "")
        self._give(resp, {"Rows": rows, "HasMore": False})

    def on_get_feed(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer once rows of a table have changed, or the wait is over."""
        if self._misbehaves(resp):
            return
        after = req.get_param_as_int("After")
        if not self.store.oldest <= after <= self.store.version:
            resp.status = falcon.HTTP_410
            return
        table = req.get_param("Table")
        until = time.monotonic() + req.get_param_as_int("WaitMs") / _SECOND_MS
        while not self.store.since(table, after):
            left = until - time.monotonic()
            if left <= 0 or not self.store.changed.wait(left):
                break
        # A fault that began meanwhile holds for this answer too.
        if self._misbehaves(resp):
            return
        # That may have waited: rows and version are of this one moment.
        if after < self.store.oldest:
            resp.status = falcon.HTTP_410
            return
        self._give(resp, {"Rows": self.store.since(table, after)})

    def on_post_transaction(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Carry a transaction out, or say which rows differ."""
        body = msgspec.json.decode(req.bounded_stream.read(), type=_Transaction)
        if self.faults.mode == "lose_answers":
            self.store.apply(body)
        if self._misbehaves(resp):
            return
        if self.store.apply(body):
            self._give(resp, {})
            return
        resp.status = falcon.HTTP_412
        tables = {row.table for row in body.expected}
        self._give(resp, {"Rows": [r for t in tables for r in self.store.table(t)]})

    def on_put_faults(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Misbehave in this way from now on."""
        data = req.bounded_stream.read()
        self.faults = msgspec.json.decode(data, type=StoreFaults)
        if self.faults.span_ms:
            seconds = self.faults.span_ms / _SECOND_MS
            gevent.spawn_later(seconds, self._end, self.faults)

    def on_post_rows(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Write rows as operators and endpoints do."""
        given = msgspec.json.decode(req.bounded_stream.read(), type=list[_Given])
        self.store.put([(row.table, row.key, row.content) for row in given])

    def on_post_forget(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Drop all history."""
        self.store.forget()

    def on_post_copy(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Make a copy to go back to."""
        self._copy = self.store.copy()

    def on_post_return(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Lose all that was written since the copy was made."""
        self.store.go_back(self._copy)

    def on_get_calls(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with the number of calls so far."""
        resp.data = msgspec.json.encode(self.calls)

    def _end(self, faults: StoreFaults) -> None:
        if self.faults is faults:
            self.faults = StoreFaults()

    def _misbehaves(self, resp: falcon.Response) -> bool:
        self.calls += 1
        gevent.sleep(self.faults.latency_ms / _SECOND_MS)
        match self.faults.mode:
            case "ok":
                return False
            case "down":
                resp.status = falcon.HTTP_503
            case "silent" | "lose_answers":
                # Answers of a connection come in order, so none comes after it either.
                gevent.sleep(_FOR_EVER_S)
        return True

    def _give(self, resp: falcon.Response, body: dict[str, object]) -> None:
        now = time.monotonic_ns() // 1_000_000
        resp.set_header("Store-Era", str(self.store.era))
        resp.data = msgspec.json.encode(
            body | {"Ver": self.store.version, "NowMs": now}
        )


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", required=True)
    http = StoreHttp(FeedStore())
    app = falcon.App()
    app.add_route("/rows-get", http)
    app.add_route("/rows-feed", http, suffix="feed")
    app.add_route("/rows-tx", http, suffix="transaction")
    app.add_route("/stand-in/faults", http, suffix="faults")
    app.add_route("/stand-in/rows", http, suffix="rows")
    app.add_route("/stand-in/forget", http, suffix="forget")
    app.add_route("/stand-in/copy", http, suffix="copy")
    app.add_route("/stand-in/return", http, suffix="return")
    app.add_route("/stand-in/calls", http, suffix="calls")
    server = http_server(parser.parse_args().address, app, "feed_store")
    server.start()
    print(f"listening {server.server_host}:{server.server_port}", flush=True)
    stop_requested().wait()


if __name__ == "__main__":
    main()
