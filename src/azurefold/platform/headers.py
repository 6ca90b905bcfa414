"""Header names of callers' requests and endpoints' answers."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from math import ceil

__all__ = [
    "AnswerHead",
    "RequestHead",
    "endpoint_headers",
    "read_answer",
    "read_request",
]

Headers = Iterable[tuple[str, str]]

ATTEMPT_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
RETRY_AFTER = "Retry-After"

_AUTHORIZATION = "authorization"
_BEARER = "bearer "
_TENANT = "Tenant"
_EXPECT_INSTANCE = "Expect-Instance"
_REQUEST_PRIORITY = "Request-Priority"
_SEAL = "server-seal"
_NOT_RUN = "not-executed"
_AT_FAULT = "at-server"
_LEAVING = "server-leaving"
_MISDIRECTED = 421
_UNAVAILABLE = 503
_DATE = "date"
_LENGTH_HINT = "Length-Hint"

_QUOTA = "server-limit"
"""Not a limit on one connection or caller: requests a second that the endpoint takes
from all gateways together, as long as its answers say so."""

_SECOND_MS = 1_000

_LARGEST_QUOTA = 1e6
"""Requests a second; what names more was not meant as a quota."""

_LONGEST_BACKOFF_MS = 3_600_000
"""Longer values are capped, so that a wrong one, such as from a skewed clock, does not
exclude an endpoint indefinitely."""

_TRUE = "1"
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?")
_MOST_DIGITS = 18
_MOST_PARTS = 64
"""Shared parts of one prompt that are read, so that a long header takes no memory."""

_HEXADECIMAL = re.compile(r"[0-9a-fA-F]{1,16}")
_LONGEST_SHOWN = 40
"""Characters of what cannot be read, for a log line."""

_OF_ONE_CONNECTION = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
"""Headers of one hop, and those by which each hop frames the body anew."""

_NOT_FORWARDED = frozenset({_QUOTA, _LEAVING})
"""Headers meant for gateways, which are not forwarded to callers."""

_SET_HERE = frozenset(
    name.lower()
    for name in (DEADLINE, LAST_EVENT_ID, _TENANT, _EXPECT_INSTANCE, _REQUEST_PRIORITY)
)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller's headers say.

    Parameters
    ----------
    attempt_id : str
        The caller's name for this request; a repeat has another.
    deadline_ms : int or None
        How long the caller will wait.
    key : str
        Empty if none was sent.
    last_event_id : str or None
        Where a stream is to be resumed.
    host : str
    prompt_tokens, answer_tokens : int
        0 where the caller does not say.
    forwarded : tuple of (str, str)
        Headers that go to the endpoint as they came.
    shared_parts : tuple of int
        Unsigned 64-bit ids of the parts of its prompt that other prompts may have,
        too, each once, in their order.
    length_hint : int or None
        The caller's estimate of the answer's tokens, which is often wrong; None if it
        sent none, or none that can be read.
    bad_length_hint : str
        A hint that cannot be read, truncated; empty if there is none.
    """

    attempt_id: str
    deadline_ms: int | None
    key: str
    last_event_id: str | None
    host: str
    prompt_tokens: int
    answer_tokens: int
    forwarded: tuple[tuple[str, str], ...]
    shared_parts: tuple[int, ...] = ()
    length_hint: int | None = None
    bad_length_hint: str = ""

    @property
    def parts_text(self) -> str:
        """The shared parts for a log line."""
        return ",".join(f"{part:x}" for part in self.shared_parts) or "none"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What an endpoint's headers say.

    Parameters
    ----------
    status : int
    attempt_id : str
        The request that this is the answer to.
    sealed : bool
        Whether the endpoint vouches for the answer as its own.
    not_run : bool
        Whether the endpoint says that it has not run the request.
    at_fault : str
        Of a refusal: the endpoint that is the cause; empty if not said.
    encoded : bool
        Whether the body is not in the form in which the endpoint made it.
    forwarded : tuple of (str, str)
        Headers that go to the caller as they came.
    misdirected : bool
        Whether the endpoint says that the request was not for it, whatever its load.
    quota : float or None
        Requests a second that the endpoint takes from all gateways together; None if
        it names no quota.
    bad_quota : str
        A quota that cannot be read, as it came; empty if there is none.
    backoff_ms : int or None
        The Retry-After of a 503 answer; None if there is none or it cannot be read.
    bad_backoff : str
        A Retry-After that cannot be read, truncated; empty if there is none.
    leaving : bool
        Whether the endpoint announces that it accepts no new requests.
    """

    status: int
    attempt_id: str
    sealed: bool
    not_run: bool
    at_fault: str
    encoded: bool
    forwarded: tuple[tuple[str, str], ...]
    misdirected: bool = False
    quota: float | None = None
    bad_quota: str = ""
    backoff_ms: int | None = None
    bad_backoff: str = ""
    leaving: bool = False


def read_request(headers: Headers) -> RequestHead:
    """Decode the headers of a caller's request."""
    pairs = [(name, value.strip()) for name, value in headers]
    by_name = {name.lower(): value for name, value in pairs}
    prompt, answer = _token_counts(by_name.get("token-count", ""))
    hint, bad_hint = _length_hint(by_name.get(_LENGTH_HINT.lower()))
    return RequestHead(
        attempt_id=by_name.get(ATTEMPT_ID.lower(), ""),
        deadline_ms=_whole_number(by_name.get(DEADLINE.lower())),
        key=_bearer_key(by_name.get(_AUTHORIZATION, "")),
        last_event_id=by_name.get(LAST_EVENT_ID.lower()),
        host=by_name.get("host", ""),
        prompt_tokens=prompt,
        answer_tokens=answer,
        forwarded=_forwarded(pairs),
        shared_parts=_shared_parts(by_name.get("prefix-hash", "")),
        length_hint=hint,
        bad_length_hint=bad_hint,
    )


def endpoint_headers(
    head: RequestHead,
    *,
    endpoint: str,
    organisation: str,
    left_ms: int,
    last_event_id: str | None,
    priority: int,
    passes_key: bool,
) -> list[tuple[str, str]]:
    """Return the headers of an attempt at an endpoint.

    Parameters
    ----------
    head : RequestHead
    endpoint : str
        Its name; another endpoint at its address then refuses the request.
    organisation : str
        Empty where the configuration knows none.
    left_ms : int
        Until the caller's deadline.
    last_event_id : str or None
        Where a stream is to go on.
    priority : int
        From 0, which goes first, to 9.
    passes_key : bool
        Whether the caller's key is for the endpoint and not for us.
    """
    headers = [
        (name, value)
        for name, value in head.forwarded
        if passes_key or name.lower() != _AUTHORIZATION
    ]
    headers.append((DEADLINE, str(left_ms)))
    headers.append((_EXPECT_INSTANCE, endpoint))
    headers.append((_REQUEST_PRIORITY, str(priority)))
    if organisation:
        headers.append((_TENANT, organisation))
    if last_event_id is not None:
        headers.append((LAST_EVENT_ID, last_event_id))
    return headers


def read_answer(status: int, headers: Headers) -> AnswerHead:
    """Decode the status and headers of an endpoint's answer."""
    pairs = list(headers)
    by_name = {name.lower(): value for name, value in pairs}
    encoding = by_name.get("content-encoding", "identity").strip().lower()
    quota, bad_quota = _quota(by_name.get(_QUOTA))
    backoff_ms, bad_backoff = None, ""
    if status == _UNAVAILABLE:
        retry_after = by_name.get(RETRY_AFTER.lower())
        backoff_ms, bad_backoff = _backoff(retry_after, by_name.get(_DATE))
    return AnswerHead(
        status=status,
        attempt_id=by_name.get(ATTEMPT_ID.lower(), ""),
        sealed=bool(by_name.get(_SEAL)),
        # 421 says the same without the header.
        not_run=_NOT_RUN in by_name or status == _MISDIRECTED,
        at_fault=by_name.get(_AT_FAULT, ""),
        encoded=encoding not in ("", "identity"),
        forwarded=tuple(
            (name, value)
            for name, value in pairs
            if name.lower() not in _OF_ONE_CONNECTION | _NOT_FORWARDED
        ),
        misdirected=status == _MISDIRECTED,
        quota=quota,
        bad_quota=bad_quota,
        backoff_ms=backoff_ms,
        bad_backoff=bad_backoff,
        leaving=by_name.get(_LEAVING, "").strip() == _TRUE,
    )


def _forwarded(pairs: list[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    named_by_connection = {
        name.strip().lower()
        for header, value in pairs
        if header.lower() == "connection"
        for name in value.split(",")
    }
    dropped = _OF_ONE_CONNECTION | _SET_HERE | named_by_connection
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def _bearer_key(authorization: str) -> str:
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return ""
    return authorization[len(_BEARER) :].strip()


def _length_hint(text: str | None) -> tuple[int | None, str]:
    """Return the hint, or what stands in its place."""
    hint = _whole_number(text)
    if text is None or hint is not None:
        return hint, ""
    return None, text[:_LONGEST_SHOWN] or "empty"


def _whole_number(text: str | None) -> int | None:
    # int() raises for more than some thousand digits, which fit into a header.
    if text is None or not text.isdecimal() or len(text) > _MOST_DIGITS:
        return None
    return int(text)


def _quota(text: str | None) -> tuple[float | None, str]:
    """Return the quota, or what stands in its place."""
    if text is None:
        return None, ""
    if _DECIMAL.fullmatch(text.strip()) and float(text) <= _LARGEST_QUOTA:
        return float(text), ""
    return None, text[:_LONGEST_SHOWN] or "empty"


def _backoff(text: str | None, date: str | None) -> tuple[int | None, str]:
    """Return a Retry-After in milliseconds, or its text if it cannot be read.

    Parameters
    ----------
    text : str or None
        The Retry-After header: seconds or an HTTP date.
    date : str or None
        The Date header, against which a Retry-After date is resolved.
    """
    if text is None:
        return None, ""
    if _DECIMAL.fullmatch(text.strip()):
        return min(ceil(float(text) * _SECOND_MS), _LONGEST_BACKOFF_MS), ""
    try:
        delay = parsedate_to_datetime(text) - parsedate_to_datetime(date or "")
    except (OverflowError, TypeError, ValueError):
        return None, text[:_LONGEST_SHOWN] or "empty"
    milliseconds = ceil(delay.total_seconds() * _SECOND_MS)
    return max(0, min(milliseconds, _LONGEST_BACKOFF_MS)), ""


def _token_counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    return _whole_number(prompt.strip()) or 0, _whole_number(answer.strip()) or 0


def _shared_parts(text: str) -> tuple[int, ...]:
    """Return the ids of all parts but the last, which is the request's own.

    Entries that cannot be read are left out: they serve only to tell prompts apart.

    Examples
    --------
    >>> _shared_parts("0a:800,1b:410,ff:250")
    (10, 27)
    >>> _shared_parts("ff:250")
    ()
    """
    *shared, _ = text.split(",", _MOST_PARTS)
    ids = (entry.partition(":")[0].strip() for entry in shared)
    return tuple(dict.fromkeys(int(i, 16) for i in ids if _HEXADECIMAL.fullmatch(i)))
