"""An odd answer of the platform is one of the typed results, and raises nothing."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from tests.odd_json import NESTED, odd_texts

from azurefold.site_store.client import PlatformClient
from azurefold.site_store.configuration_store import configuration_store
from azurefold.site_store.lease_table import LeaseTable
from azurefold.site_store.messages import (
    Conflict,
    Put,
    Rows,
    Transaction,
    Unavailable,
    Unknown,
    Vms,
    Written,
)

ROW = {"key": "k", "version": 3, "value": "x"}
ROWS = {"rows": [ROW]}
VERSIONS = {"versions": {"k": 3}}
VMS = {"vms": [{"name": "vm-1", "data_centre": "dc-a", "leaving": False}]}
EDIT = {"edit_id": "e7", "changed": ["service/a"], "author": "me"}
LEASE = {"holder": "c-1", "fence": 4, "attempt": 2, "map_id": "m", "released": False}


class _Response:
    def __init__(self, status, body):
        self.status_code = status
        self.read = lambda: body


class _Http:
    host, port = "10.0.0.1", 80

    def __init__(self, status, body):
        self._response = _Response(status, body)

    def request(self, method, uri, body):
        return self._response


def platform(status, text):
    """Return a client of a platform that gives the same answer to everything."""
    body = text.encode("utf-8", "surrogatepass")
    return PlatformClient([_Http(status, body)], timeout_ms=1_000)


@settings(max_examples=100, deadline=None)
@given(odd_texts(ROWS), odd_texts(VMS), odd_texts(VERSIONS))
def test_an_odd_answer_is_a_typed_result(rows, vms, versions):
    """Guards against an answer that ends the loop which asked for it."""
    read = platform(200, rows).read(["k"])
    assert isinstance(read, Rows | Unavailable)
    if isinstance(read, Rows):
        assert all(0 <= row.version <= 2**53 for row in read.rows.values())
    assert isinstance(platform(200, vms).vms(), Vms | Unavailable)
    transaction = Transaction(puts=(Put("k", "x"),))
    written = platform(200, versions).write(transaction)
    assert isinstance(written, Written | Unknown)
    if isinstance(written, Written):
        assert all(0 <= version <= 2**53 for version in written.versions.values())
    assert isinstance(platform(409, rows).write(transaction), Conflict | Unknown)


@pytest.mark.parametrize("text", [f'{{"applied":false,"later":{NESTED}}}', ""])
def test_a_refusal_that_cannot_be_read_proves_nothing(text):
    written = platform(503, text).write(Transaction(puts=(Put("k", "x"),)))
    assert isinstance(written, Unknown)


def test_a_write_without_the_versions_of_its_rows_must_be_read_back():
    """Guards against a KeyError where a lease or claim was perhaps written."""
    written = platform(200, '{"versions":{}}').write(Transaction(puts=(Put("k", "x"),)))
    assert isinstance(written, Unknown)


def with_value(key, value):
    """Return a client of a platform that has one row."""
    rows = [{"key": key, "version": 3, "value": value}]
    return platform(200, json.dumps({"rows": rows}))


@settings(max_examples=100, deadline=None)
@given(odd_texts(LEASE))
def test_an_odd_lease_is_nobodys_or_of_use(value):
    """Guards against a row that ends the loop which watches a group's lease."""
    seen = LeaseTable(with_value("group-lease/g", value)).read("g")
    if seen is not None:
        msgspec.msgpack.encode(seen.row)


@settings(max_examples=100, deadline=None)
@given(odd_texts(EDIT))
def test_an_odd_row_of_an_edit_counts_as_unavailable_or_is_of_use(value):
    store = configuration_store(with_value("configuration/edit/7", value))
    edits = store.edits([7])
    assert isinstance(edits, Unavailable) or isinstance(edits[7].edit_id, str)
