"""The rows of the stand-in store, as gateways call for them."""

from base64 import b64decode, b64encode
from dataclasses import dataclass, field

from azurefold.platform.store_messages import (
    Applied,
    Conflicted,
    StoredRow,
    StoredRows,
    Uncertain,
)
from azurefold_standins.feed_store import FeedStore, _Address, _Transaction


@dataclass(eq=False)
class RowStore:
    """The rows of a feed store, as gateways call for them."""

    feed: FeedStore = field(default_factory=FeedStore)
    loses_answers: bool = False

    def read_table(self, table):
        return StoredRows(self._rows(table), self.feed.version, self.feed.era)

    def transact(self, expected=(), writes=(), removes=()):
        applied = self.feed.apply(
            _Transaction(
                [_Address(row.table, row.key, version=v) for row, v in expected],
                [_Address(w.row.table, w.row.key, value=_text(w)) for w in writes],
                [_Address(row.table, row.key) for row in removes],
            )
        )
        if self.loses_answers:
            return Uncertain("no answer")
        if applied:
            return Applied(self.feed.version, self.feed.era)
        rows = {row.key: row for row in self._rows(expected[0][0].table)}
        return Conflicted(rows, self.feed.era)

    def _rows(self, table):
        return tuple(
            StoredRow(row["Key"], row["Ver"], b64decode(row["Value"]))
            for row in self.feed.table(table)
        )


def _text(write):
    return b64encode(write.value).decode()
