"""A platform stand-in in this process, and clients of it."""

import gevent
import pytest
from geventhttpclient import HTTPClient

from azurefold.site_store.client import platform_client
from azurefold_standins.platform import platform_server

TIMEOUT_MS = 5_000


@pytest.fixture
def server():
    server = platform_server("127.0.0.1", 0)
    server.start()
    yield server
    server.stop(timeout=0)


@pytest.fixture
def address(server):
    return f"127.0.0.1:{server.server_port}"


@pytest.fixture
def client(address):
    client = platform_client(address, TIMEOUT_MS)
    yield client
    client.close()


@pytest.fixture
def order(server):
    """Return a function that gives the stand-in an order over HTTP."""

    def give(method, uri, body=b"{}"):
        http = HTTPClient("127.0.0.1", server.server_port)
        with gevent.Timeout(TIMEOUT_MS / 1_000):
            response = http.request(method, uri, body)
            return bytes(response.read())

    return give
