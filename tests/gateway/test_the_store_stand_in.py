"""The stand-in of the store answers as the pages have it."""

import falcon
import falcon.testing
import gevent
import msgspec
import pytest

from azurefold_standins.feed_store import FeedStore, StoreFaults, StoreHttp

WRITES = 2_000
READERS = 10


@pytest.fixture
def store():
    return FeedStore()


@pytest.fixture
def ask(store):
    """Ask for the changes of a table after a version."""
    http = StoreHttp(store, StoreFaults())

    def feed(after):
        query = f"Table=t&After={after}&WaitMs=5"
        request = falcon.Request(falcon.testing.create_environ(query_string=query))
        response = falcon.Response()
        http.on_get_feed(request, response)
        return msgspec.json.decode(response.data)

    return feed


def test_changes_are_not_passed_by_the_version_of_an_answer(store, ask):
    """Guards against followers that miss a change for a fault of the stand-in."""
    missed = []

    def write():
        for _ in range(WRITES):
            store.put([("t", "k", b"v")])
            gevent.sleep(0)

    def read(last):
        while last < WRITES:
            answer = ask(last)
            seen = [row["Ver"] for row in answer["Rows"]]
            expected = list(range(last + 1, answer["Ver"] + 1))
            missed.extend(set(expected).difference(seen))
            last = answer["Ver"]

    greenlets = [gevent.spawn(read, 0) for _ in range(READERS)]
    gevent.joinall([gevent.spawn(write), *greenlets], raise_error=True)
    assert missed == []
