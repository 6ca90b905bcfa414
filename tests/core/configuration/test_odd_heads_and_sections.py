"""Odd heads and sections of other writers are refused with ValueError only."""

import pytest
from hypothesis import given, settings
from tests.odd_json import NESTED, odd_texts

from azurefold.core.configuration.head import (
    Head,
    HeadId,
    decode_head,
    decode_head_id,
    encode_json,
)
from azurefold.core.configuration.sections import assemble_configuration

HEAD = {
    "revision": 7,
    "edit_id": "e7",
    "sections": {"service/a": "h"},
    "chain": ["e6"],
}
MARK = {"revision": 7, "edit_id": "e7", "digest": "d"}


@settings(max_examples=200, deadline=None)
@given(odd_texts(HEAD), odd_texts(MARK))
def test_an_odd_head_or_mark_is_refused_or_of_use(head, mark):
    """Guards against a row that ends the loop which follows the configuration."""
    for decode, text in ((decode_head, head), (decode_head_id, mark)):
        try:
            decoded = decode(text)
        except ValueError:
            continue
        assert 0 <= decoded.revision <= 2**53
        encode_json(decoded)
        if isinstance(decoded, Head):
            assert isinstance(decoded.head_id, HeadId)


@pytest.mark.parametrize(
    "data", [NESTED, "9" * 5_000, "null", "3", '["ab", 1]', '"\ud800"', "{"]
)
def test_an_odd_section_of_organisations_is_refused(data):
    """Guards against a section that ends an entry's watch of its control process."""
    content = data.encode("utf-8", "surrogatepass")
    with pytest.raises(ValueError):  # noqa: PT011
        assemble_configuration({"organisations/0": content})


def test_a_section_of_a_service_that_nests_too_deeply_is_refused():
    with pytest.raises(ValueError, match="too deeply"):
        assemble_configuration({"service/a": NESTED.encode()})
