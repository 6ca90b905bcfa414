"""Fixtures of the admission tests."""

from itertools import count

import pytest

from azurefold.core.admission.messages import Priority, QueueItem


@pytest.fixture(scope="session")
def make_item():
    """Return a factory of queue items with unique ids."""
    id_numbers = count()

    def make(organisation="a", priority=Priority.DRAFT, **fields):
        fields = {"tokens": 100, "deadline": 60_000, **fields}
        return QueueItem(
            f"request-{next(id_numbers)}", organisation, priority, **fields
        )

    return make
