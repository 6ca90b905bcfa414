"""One small site for all tests of whole processes."""

import pytest

from azurefold_standins.client import Client
from azurefold_standins.operator import accept, wait_ready
from azurefold_standins.site import Endpoint, Layout, new_site


def small_layout():
    """Return two ranks and a plain service in one data centre."""
    ranks = [
        Endpoint(f"drafts-{n}", "recall-drafts", "hall", "drafts", n) for n in (0, 1)
    ]
    return Layout({"hall": 2}, (*ranks, Endpoint("bookings-0", "bookings", "hall")))


CONFIGURATION = {
    "services": {
        "recall-drafts": {
            "kind": "model",
            "model": "recall-drafter",
            "data_centres": ["hall"],
            "endpoints": ["drafts-0", "drafts-1"],
            "groups": {"drafts": ["drafts-0", "drafts-1"]},
        },
        "bookings": {
            "kind": "plain",
            "data_centres": ["hall"],
            "endpoints": ["bookings-0"],
            "priority": "confirmation",
            "idempotent": False,
        },
    },
    "organisations": {"union": {}, "shops": {}},
}


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """A running site with an accepted configuration."""
    site = new_site(small_layout(), tmp_path_factory.mktemp("site"))
    try:
        site.start()
        accept(site, CONFIGURATION)
        wait_ready(site)
        yield site
    finally:
        site.processes.kill_all()


@pytest.fixture
def client(site):
    """A caller at the first entry."""
    return Client(site.address(site.entries[0], "listen"), "union")
