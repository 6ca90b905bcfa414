"""A claim that another program has written says nothing of what was run."""

from types import SimpleNamespace

import pytest
from tests.odd_json import DIGITS, NESTED

from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.entry.claims import ClaimTaker
from azurefold.site_store.messages import Row, Rows


class Writer:
    """Answers with a row that another program has written."""

    def __init__(self, value):
        row = Row("k", 1, value)
        self.platform = SimpleNamespace(read=lambda keys: Rows({"k": row}))
        self.write = lambda key, own, version: row
        self.results = dict.fromkeys(("claimed", "followed", "reused"), 0)
        self.results["unavailable"] = 0


ODD_CLAIMS = ["", "{}", NESTED, "9" * DIGITS, '{"later":' + NESTED + "}", "\ud800"]
ODD_CLAIMS.append('{"attempt_id":"a b","endpoint":"e","incarnation":"7","request":"d"}')


@pytest.mark.parametrize("value", ODD_CLAIMS, ids=lambda value: value[:12])
def test_a_claim_that_cannot_be_read_is_no_reason_to_run(value):
    """Guards against an answer 500 that does not say whether a request was run."""
    taken = ClaimTaker(Writer(value), "k", "digest").take("a1", "e", "7")
    assert isinstance(taken, Failure)
    assert taken.ran is RunStatus.UNKNOWN


@pytest.mark.parametrize("value", ODD_CLAIMS, ids=lambda value: value[:12])
def test_a_refusal_beside_an_unreadable_claim_says_unknown(value):
    refusal = Failure(RunStatus.NOT_RUN, "draining", "Send it to another.")
    told = ClaimTaker(Writer(value), "k", "digest").check_refusal(refusal)
    assert told.ran is RunStatus.UNKNOWN
    assert told.this_call is RunStatus.NOT_RUN
