"""A caller's odd request gets its 400, whatever is odd about it."""

import falcon
import pytest
from falcon.testing import create_environ
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.odd_json import DIGITS, NESTED, odd_texts

from azurefold.entry.caller_headers import read_last_event_id, read_timeout
from azurefold.entry.requests import BadRequestError, parse_completion

COMPLETION = {"model": "drafts", "prompt": "Hello", "max_tokens": 8, "stream": True}


@settings(max_examples=200, deadline=None)
@given(odd_texts(COMPLETION))
def test_an_odd_body_is_refused_or_of_use(text):
    """Guards against an answer 500 to a body that the decoder cannot bear."""
    try:
        completion = parse_completion(text.encode())
    except BadRequestError:
        return
    assert 0 < completion.max_tokens < 2**31


@pytest.mark.parametrize("body", [NESTED.encode(), b'{"model":"\xff"}', b""])
def test_bytes_that_are_no_completion_are_refused(body):
    with pytest.raises(BadRequestError):
        parse_completion(body)


@pytest.mark.parametrize(
    "text", ["9" * DIGITS, "000000000001" + "9" * DIGITS, "000000000001" + "9" * 300]
)
def test_a_timeout_of_many_digits_is_refused(text):
    """Guards against leading zeros that hide the rest of a number from its check."""
    environ = create_environ(headers={"Azurefold-Timeout-Ms": text})
    with pytest.raises(BadRequestError):
        read_timeout(falcon.Request(environ), 1_000)


@pytest.mark.parametrize("part", ["a b", "a\xff", "a/../b", "a?from=0", "a#", "a%0d"])
@pytest.mark.parametrize("answer", ["{}~7~a1~0", "e~{}~a1~0", "e~7~{}~0"])
def test_an_answer_id_that_fits_into_no_path_or_header_is_refused(answer, part):
    """Guards against an answer 500 from the client that is to ask for the answer."""
    environ = create_environ(headers={"Last-Event-ID": answer.format(part)})
    with pytest.raises(BadRequestError):
        read_last_event_id(falcon.Request(environ))


@given(st.text(max_size=40))
def test_any_header_is_an_answer_id_or_refused(text):
    environ = create_environ()
    environ["HTTP_LAST_EVENT_ID"] = text
    environ["HTTP_AZUREFOLD_TIMEOUT_MS"] = text
    request = falcon.Request(environ)
    for read in (read_last_event_id, lambda req: read_timeout(req, 1_000)):
        try:
            read(request)
        except BadRequestError:
            continue
