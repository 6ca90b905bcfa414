"""A platform stand-in, control processes that follow it, and the command line."""

import json

import pytest
from gevent.pywsgi import WSGIServer
from tests.site_store.conftest import address, client, order, server  # noqa: F401

from azurefold.commands import operator
from azurefold.site_store.configuration_store import configuration_store

TEXT = """{
  "services": {"bookings": {"kind": "plain", "data_centres": ["fukuoka-hall"],
    "endpoints": ["b0"], "limits": {"timeout_ms": %d}}},
  "organisations": {"union": {"share": %d}},
}"""


class Control:
    """Answers GET /status as a control process with the platform's revision."""

    def __init__(self, name, data_centre, store):
        self.name, self.data_centre, self.store = name, data_centre, store
        self.held = None
        self.answers_as = name
        self.server = WSGIServer(("127.0.0.1", 0), self._serve, log=None)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def _serve(self, environ, start_response):
        head_id = self.held or self.store.poll().head_id
        status = {"name": self.answers_as, "data_centre": self.data_centre}
        status |= {"revision": head_id.revision if head_id else 0, "more": [1]}
        status |= {"edit_id": head_id.edit_id if head_id else ""}
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(status).encode()]


@pytest.fixture
def store(client):  # noqa: F811
    return configuration_store(client)


@pytest.fixture
def controls(store):
    halls = {"c1": "fukuoka-hall", "c2": "kumamoto-hall"}
    listed = {name: Control(name, hall, store) for name, hall in halls.items()}
    yield listed
    for control in listed.values():
        control.server.stop(timeout=0)


@pytest.fixture
def settings(tmp_path, address, controls):  # noqa: F811
    path = tmp_path / "operator.jsonc"
    listed = [
        {"name": each.name, "data_centre": each.data_centre, "status": each.address}
        for each in controls.values()
    ]
    path.write_text(json.dumps({"platform": [address], "controls": listed}))
    return str(path)


@pytest.fixture
def text(tmp_path):
    def write(timeout_ms=5_000, share=1):
        path = tmp_path / "text.jsonc"
        path.write_text(TEXT % (timeout_ms, share))
        return str(path)

    return write


@pytest.fixture
def run(capsys, monkeypatch, settings):
    """Return a function that runs a command line: (exit code, what it printed)."""

    def run(*words, with_settings=True):
        extra = ["--settings", settings] if with_settings else []
        monkeypatch.setattr("sys.argv", ["azurefold", *map(str, words), *extra])
        with pytest.raises(SystemExit) as ended:
            operator.main()
        captured = capsys.readouterr()
        return ended.value.code, captured.out + captured.err

    return run
