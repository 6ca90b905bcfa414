"""An error of a greenlet becomes a log line, whoever reads standard error."""

import subprocess
import sys

import pytest

_FAILS = """
import os, sys, gevent
from azurefold.internal.http_server import http_server
from azurefold.internal.log_writer import log_without_waiting
if sys.argv[1] == "closed":
    os.close(2)
if sys.argv[1] == "full":
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, bytes(65_536))
    except BlockingIOError:
        os.set_blocking(writer, True)
    os.dup2(writer, 2)
lines = log_without_waiting("tests")
def application(environ, start):
    raise OverflowError("a number")
server = http_server("127.0.0.1:0", application, "tests")
server.start()
sock = gevent.socket.create_connection(("127.0.0.1", server.server_port))
sock.sendall(b"GET / HTTP/1.1\\r\\nHost: a\\r\\nAuthorization: Bearer k3y\\r\\n\\r\\n")
with gevent.Timeout(5):
    answer = sock.recv(4_096)
gevent.spawn(lambda: 1 / 0).join()
lines.flush()
os.write(1, b"answer " + answer[:12] + b"\\n")
os._exit(0)
"""


@pytest.mark.parametrize("stderr", ["open", "closed", "full"])
def test_a_request_that_fails_gets_its_answer_and_leaves_a_line(stderr):
    """Guards against a process that stands still until its errors are read."""
    ended = subprocess.run(
        [sys.executable, "-c", _FAILS, stderr],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert ended.returncode == 0
    assert "answer HTTP/1.1 500" in ended.stdout
    for why in ("OverflowError", "ZeroDivisionError"):
        assert f"why={why}" in ended.stdout
    assert "k3y" not in ended.stdout + ended.stderr
