"""A head is read in one way only, or refused."""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.callers.http_head import BadHeadError, parse_http_head

LIMIT = 16_384
LINE = b"POST /a?b=c HTTP/1.1"
NAMES = st.from_regex(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,20}", fullmatch=True)
VALUES = st.text(
    st.characters(min_codepoint=0x20, max_codepoint=0xFF, exclude_characters="\x7f"),
    max_size=40,
).filter(lambda value: not re.search("[\x80-\x9f]", value))
FRAMING = {"content-length", "transfer-encoding", "host", "connection", "expect"}


def parse(*lines, line=LINE):
    return parse_http_head(b"\r\n".join([line, *lines]), LIMIT)


@given(
    st.lists(
        st.tuples(NAMES, VALUES).filter(lambda field: field[0].lower() not in FRAMING),
        max_size=300,
    )
)
def test_proper_fields_are_read_as_they_came(fields):
    lines = [f"{name}: {value}".encode("latin-1") for name, value in fields]
    expected = [(name, value.strip(" \t")) for name, value in fields]
    assert parse(*lines).fields == expected


ODD_LINES = [
    b"Content-Length : 5",
    b"Content-Length\t: 5",
    b" Content-Length: 5",
    b"no colon",
    b": no name",
    b"N\xc3\xa4me: 5",
    b"A: b\nContent-Length: 5",
    b"A: b\rContent-Length: 5",
    b"A: b\x00c",
    b"A: b\x7f",
    b"A: b\x0bc",
    b"Content-Length: +5",
    b"Content-Length: -5",
    b"Content-Length: 5, 5",
    b"Content-Length: 0x5",
    b"Content-Length: 5 5",
    b"Content-Length: \xb2",
    b"Content-Length:",
    b"Content-Length: " + b"9" * 5_000,
    b"Content-Length: 5\r\nContent-Length: 6",
    b"Content-Length: 5\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: identity",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: xchunked",
    b"Host: a\r\nHost: b",
    b"A: b\r\n folded",
]


@pytest.mark.parametrize("lines", ODD_LINES)
def test_odd_lines_are_refused(lines):
    """Guards against a request that is smuggled past one of two programs."""
    with pytest.raises(BadHeadError) as raised:
        parse(lines)
    assert raised.value.status == 400


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"GET /",
        b"GET  / HTTP/1.1",
        b"GET / HTTP/1.1 ",
        b" GET / HTTP/1.1",
        b"GET /\xa0a HTTP/1.1",
        b"GET /a b HTTP/1.1",
        b"GET / HTTP/2.0",
        b"GET / HTTP/1.10",
        b"GET / http/1.1",
        b"G\x00T / HTTP/1.1",
        b"GET /\tHTTP/1.1",
    ],
)
def test_odd_request_lines_are_refused(line):
    with pytest.raises(BadHeadError) as raised:
        parse(line=line)
    assert raised.value.status == 400


@given(st.binary(max_size=300))
def test_no_bytes_are_read_in_any_other_way(data):
    try:
        head = parse_http_head(data, LIMIT)
    except BadHeadError:
        return
    assert b"\n" not in data.replace(b"\r\n", b"")
    assert not any(name.endswith((" ", "\t")) for name, _ in head.fields)


def test_a_head_up_to_the_limit_is_read():
    """Guards against proper requests that are refused for a smaller limit."""
    target = b"/" + b"a" * (LIMIT - 20)
    fields = [b"A%d: b" % n for n in range(1_500)]
    head = parse(*fields, line=b"GET " + target + b" HTTP/1.1")
    assert len(head.fields) == 1_500
    assert head.target == target.decode()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /" + b"a" * LIMIT + b" HTTP/1.1", 414),
        (LINE + b"\r\nA: " + b"b" * LIMIT, 431),
    ],
)
def test_a_head_over_the_limit_is_refused(data, status):
    with pytest.raises(BadHeadError) as raised:
        parse_http_head(data, LIMIT)
    assert raised.value.status == status


@pytest.mark.parametrize(
    ("line", "fields", "expected"),
    [
        (LINE, [], True),
        (LINE, [b"Connection: x, Close"], False),
        (b"GET / HTTP/1.0", [], False),
        (b"GET / HTTP/1.0", [b"Connection: keep-alive"], True),
    ],
)
def test_whether_the_connection_is_kept(line, fields, expected):
    assert parse(*fields, line=line).keeps_alive is expected
