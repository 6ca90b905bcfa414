"""The head of an HTTP/1.1 request by the grammar of RFC 9112, and nothing beside it.

A head that two programs could read differently is refused: what one of them takes for
a body, the other one may run as a request that nobody sent.
"""

import re
from dataclasses import dataclass
from http import HTTPStatus

__all__ = ["BadHeadError", "HttpHead", "parse_http_head"]

_REQUEST_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/1\.([0-9])"
)
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)")
_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNKED = "chunked"


class BadHeadError(ValueError):
    """A head that is refused.

    Parameters
    ----------
    status : HTTPStatus
    reason : str
        A short word for logs.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class HttpHead:
    """What the head of a request says.

    Parameters
    ----------
    method, target : str
        As they came; the target holds path and query.
    version : str
        ``"HTTP/1.0"`` or ``"HTTP/1.1"``.
    fields : list of (str, str)
        Names as they came, values without the white space around them.
    content_length : int or None
        None without a length, also if the body comes in chunks.
    is_chunked : bool
    keeps_alive : bool
        Whether the connection may carry another request.
    expects_continue : bool
        Whether the caller waits for an interim answer before it sends the body.
    """

    method: str
    target: str
    version: str
    fields: list[tuple[str, str]]
    content_length: int | None
    is_chunked: bool
    keeps_alive: bool
    expects_continue: bool

    @property
    def has_body(self) -> bool:
        """Whether a body follows."""
        return self.is_chunked or bool(self.content_length)


def parse_http_head(data: bytes, most_bytes: int) -> HttpHead:
    r"""Return what a head says.

    Parameters
    ----------
    data : bytes
        From the request line up to the last field, without the empty line.
    most_bytes : int
        Of the request line, and of all fields.

    Raises
    ------
    BadHeadError

    Examples
    --------
    >>> head = parse_http_head(b"GET /a?b HTTP/1.1\r\nHost: h\r\nA: 1 ", 100)
    >>> head.method, head.target, head.fields
    ('GET', '/a?b', [('Host', 'h'), ('A', '1')])
    """
    line, _, rest = data.partition(b"\r\n")
    if len(line) > most_bytes:
        raise BadHeadError(HTTPStatus.REQUEST_URI_TOO_LONG, "target_too_long")
    if len(rest) > most_bytes:
        raise BadHeadError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
    match = _REQUEST_LINE.fullmatch(line)
    if match is None:
        raise _bad("bad_request_line")
    version = "HTTP/1.0" if match[3] == b"0" else "HTTP/1.1"
    fields = _parse_fields(rest)
    return _interpret(match[1].decode(), match[2].decode(), version, fields)


def _parse_fields(data: bytes) -> list[tuple[str, str]]:
    fields = []
    for line in data.split(b"\r\n") if data else ():
        match = _FIELD.fullmatch(line)
        if match is None:
            raise _bad("bad_field")
        fields.append((match[1].decode(), match[2].decode("latin-1").rstrip(" \t")))
    return fields


def _interpret(
    method: str, target: str, version: str, fields: list[tuple[str, str]]
) -> HttpHead:
    lengths, encodings, options = [], [], []
    hosts = 0
    expects_continue = False
    for name, value in fields:
        match name.lower():
            case "content-length":
                lengths.append(value)
            case "transfer-encoding":
                encodings.append(value)
            case "connection":
                options += [option.strip().lower() for option in value.split(",")]
            case "host":
                hosts += 1
            case "expect":
                expects_continue = value.lower() == "100-continue"
    if hosts > 1:
        raise _bad("two_hosts")
    keeps_alive = "close" not in options
    if version == "HTTP/1.0":
        keeps_alive = keeps_alive and "keep-alive" in options
    return HttpHead(
        method,
        target,
        version,
        fields,
        _content_length(lengths, encodings),
        _is_chunked(encodings, version),
        keeps_alive,
        expects_continue,
    )


def _content_length(lengths: list[str], encodings: list[str]) -> int | None:
    if not lengths:
        return None
    if len(set(lengths)) > 1 or encodings:
        raise _bad("two_lengths")
    if _LENGTH.fullmatch(lengths[0]) is None:
        raise _bad("bad_length")
    return int(lengths[0])


def _is_chunked(encodings: list[str], version: str) -> bool:
    if not encodings:
        return False
    if [each.lower() for each in encodings] != [_CHUNKED] or version == "HTTP/1.0":
        raise _bad("bad_transfer_encoding")
    return True


def _bad(reason: str) -> BadHeadError:
    return BadHeadError(HTTPStatus.BAD_REQUEST, reason)
