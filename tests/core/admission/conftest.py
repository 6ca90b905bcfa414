"""Fixtures of the admission tests."""

from itertools import count

import pytest

from azurefold.core.admission.messages import Priority, QueueItem


@pytest.fixture(scope="session")
def make_item():
    """Return a factory of items with ids of their own."""
    ids = count()

    def make(organisation="a", priority=Priority.DRAFT, **values):
        values = {"tokens": 100, "deadline": 60_000, **values}
        return QueueItem(f"request-{next(ids)}", organisation, priority, **values)

    return make
