"""Helpers to look at findings."""

import pytest

from azurefold.border.findings import FindingsError


@pytest.fixture
def refused():
    """Return a function that gives the findings a call is refused with."""

    def findings(call, *arguments):
        with pytest.raises(FindingsError) as caught:
            call(*arguments)
        return [
            (each.place.line, each.place.column, each.place.path)
            for each in caught.value.findings
        ], str(caught.value)

    return findings
