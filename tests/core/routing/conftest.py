"""Fixtures of the routing tests."""

import pytest

from azurefold.core.routing.pool import Pool


@pytest.fixture
def names():
    return tuple(f"endpoint-{number:02}" for number in range(10))


@pytest.fixture
def pool(names):
    pool = Pool()
    pool.set_endpoints(names, 0)
    return pool
