"""Stand-ins of the review's scripts: a store, workers, clients, and gateway processes.

They use the standard library only. The store and the workers are threads of the
script's own process; the gateways are processes, started with the command of the
deploy file and stopped by their ids.
"""

import base64
import contextlib
import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "desk.example"
KEY = "a-key"
TENANT = "shops"
DRAIN_MS = 2_000
HEARTBEAT_S = 1.2
HEALTH_PATH = "/healthz"
GRACE_S = 8
APPLY_MS = 2_000
_NET = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250 + 1}"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            at = time.monotonic() - self._began
            self._file.write(f"{at:8.3f} s  {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *arguments):
        self._open = set()
        super().__init__(*arguments)

    def handle_error(self, request, client_address):
        """A peer that leaves is no error."""

    def process_request(self, request, client_address):
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._open.discard(request)
        super().shutdown_request(request)

    def crash(self):
        """Close the port and all connections at once."""
        self.shutdown()
        self.server_close()
        for request in list(self._open):
            with contextlib.suppress(OSError):
                request.shutdown(socket.SHUT_RDWR)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments):
        """Write no access log."""

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def give(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


def _serve(ip, handler, port=0):
    server = _Server((ip, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, f"{ip}:{server.server_address[1]}"


class Store:
    """The platform's store: rows, transactions, feeds; it is never faulty."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changes = []
        self.changed = threading.Condition()
        store = self

        class Handler(_Handler):
            def do_GET(self):
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if url.path == "/rows-get":
                    self._json(200, store.table(query))
                elif url.path == "/rows-feed":
                    self._json(200, store.feed(query))
                else:
                    self._json(404, {})

            def do_POST(self):
                body = json.loads(self.read_body())
                self._json(*store.transact(body))

            def _json(self, status, body):
                kind = ("Content-Type", "application/json")
                self.give(status, json.dumps(body).encode(), [kind])

        self.server, self.address = _serve(f"{_NET}.1", Handler)

    def put(self, table, key, value):
        """Write a row as the operator or a worker does; None removes it."""
        data = None if value is None else json.dumps(value).encode()
        with self.changed:
            self._put([(table, key, data)])
        return time.monotonic()

    def _put(self, rows):
        self.version += 1
        for table, key, data in rows:
            if data is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (data, self.version)
            self.changes.append((self.version, table, key, data))
        self.changed.notify_all()

    def _row(self, table, key, data, version):
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        if data is None:
            return row | {"Deleted": True}
        return row | {"Value": base64.b64encode(data).decode()}

    def _told(self, rows, **more):
        now = time.monotonic_ns() // 1_000_000
        return {"Rows": rows, "Ver": self.version, "NowMs": now} | more

    def table(self, query):
        table, start = query["Table"], query.get("From", "")
        with self.changed:
            keys = sorted(k for t, k in self.rows if t == table and k >= start)
            rows = [self._row(table, k, *self.rows[table, k]) for k in keys]
            return self._told(rows, HasMore=False)

    def feed(self, query):
        table, after = query["Table"], int(query["After"])
        until = time.monotonic() + min(30_000, int(query["WaitMs"])) / 1_000
        with self.changed:
            while True:
                rows = [
                    self._row(t, k, data, version)
                    for version, t, k, data in self.changes
                    if t == table and version > after
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return self._told(rows)
                self.changed.wait(left)

    def transact(self, body):
        with self.changed:
            for row in body.get("ExpectedRev", ()):
                known = self.rows.get((row["Table"], row["Key"]), (b"", 0))
                if known[1] != row["Ver"]:
                    keys = [(r["Table"], r["Key"]) for r in body["ExpectedRev"]]
                    rows = [
                        self._row(*k, *self.rows[k]) for k in keys if k in self.rows
                    ]
                    return 412, self._told(rows)
            rows = [
                (row["Table"], row["Key"], base64.b64decode(row["Value"]))
                for row in body.get("Write", ())
            ]
            rows += [(row["Table"], row["Key"], None) for row in body.get("Remove", ())]
            self._put(rows)
            return 200, self._told([])


class Worker:
    """A worker; a sound one of a plain service unless ``reply`` says otherwise.

    Parameters
    ----------
    name : str
        Its id in the store.
    number : int
        Chooses its loopback address.
    record : Record
    service : str
    reply : callable or None
        Takes the handler and the headers that vouch for the answer, and answers.
    rejects : callable or None
        Returns whether the worker rejects a request, as if it were full.

    Attributes
    ----------
    runs : list of (float, str, str, str, bytes)
        What it ran: time, attempt id, method, path and body.
    """

    def __init__(self, name, number, record, service="desk", reply=None, rejects=None):
        self.name = name
        self.service = service
        self.runs = []
        self.record = record
        worker = self

        class Handler(_Handler):
            def do_GET(self):
                attempt = self.headers.get("Attempt-Id", "")
                body = self.read_body()
                headers = [("Attempt-Id", attempt)]
                if self.headers.get("Expect-Instance", worker.name) != worker.name:
                    self.give(421, b"", [*headers, ("Not-Executed", "1")])
                    return
                if self.command == "GET" and self.path == HEALTH_PATH:
                    self.give(200, b"", [("Instance-Id", worker.name)])
                    return
                if rejects is not None and rejects():
                    record(f"{worker.name} rejects {attempt}")
                    self.give(503, b"", [*headers, ("Not-Executed", "1")])
                    return
                worker.runs.append(
                    (time.monotonic(), attempt, self.command, self.path, body)
                )
                record(f"{worker.name} runs {attempt} {self.command} {self.path}")
                headers.append(("Server-Seal", f"{worker.name}.{attempt}"))
                (reply or _plain)(self, headers)

            do_POST = do_GET

        self._handler = Handler
        self.server, self.address = _serve(f"{_NET}.{10 + number}", Handler)

    def crash(self):
        """End at once; nobody answers at its address until it starts again."""
        self.server.crash()

    def start_again(self):
        """Start at the same address and under the same id."""
        self.server, _ = _serve(
            split(self.address)[0], self._handler, split(self.address)[1]
        )

    def entry(self, **more):
        """Return its row in the store."""
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "hall-a",
            "Version": "1.0",
            "Slots": 6,
            "State": "ready",
            "ColdLeftMs": 0,
        }
        return entry | more


class Beats(threading.Thread):
    """Writes a worker's entry each ``HeartbeatMs``, as a sound worker does.

    Parameters
    ----------
    store : Store
    worker : Worker
    born : int or None
        The time of its start by its own clock; None for the true time.
    """

    def __init__(self, store, worker, born=None):
        super().__init__(daemon=True)
        self._store, self._worker = store, worker
        self._born = round(time.time() * 1_000) if born is None else born
        self._number = 0
        self._stopped = threading.Event()

    def write(self, state="ready"):
        """Write the entry; return when the store acknowledged it."""
        self._number += 1
        entry = self._worker.entry(born=self._born, SeqNo=self._number, State=state)
        at = self._store.put("servers", self._worker.name, entry)
        self._worker.record(
            f"{self._worker.name} writes {state}, SeqNo {self._number}, "
            f"born {self._born}"
        )
        return at

    def run(self):
        while not self._stopped.wait(HEARTBEAT_S):
            self.write()

    def stop(self):
        self._stopped.set()
        self.join()


def begin(store, worker, born=None):
    """Have a worker write its entry, now and each ``HeartbeatMs``."""
    beats = Beats(store, worker, born)
    beats.write()
    beats.start()
    return beats


def _plain(handler, headers):
    time.sleep(0.02)
    handler.give(200, b"answer to " + handler.path.encode(), headers)


def configuration(version=3, **limits):
    """Return a configuration with one route of each plain kind."""

    def route(prefix, kind, attempts):
        return {
            "Name": prefix.strip("/"),
            "Hostname": HOST,
            "Prefix": prefix,
            "RouteKind": kind,
            "TimeoutMs": 8_000,
            "SloMs": 400,
            "Priority": 2,
            "MaxAttempts": attempts,
            "Service": "desk",
        }

    drafts = route("/drafts/", "streaming", 2)
    return {
        "Version": version,
        "Routes": [
            route("/acks/", "non_idempotent", 2),
            route("/lists/", "idempotent", 2),
            drafts | {"Service": "drafts", "Resumable": True, "TbtTargetMs": 120},
        ],
        "Services": [
            {"Name": "desk", "MaxConns": 110, "HealthPath": HEALTH_PATH},
            {"Name": "drafts", "MaxConns": 178, "HealthPath": HEALTH_PATH},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        }
        | limits,
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Gateway:
    """A gateway process, with the command of the deploy file."""

    def __init__(self, number, folder, store, **bounds):
        self.name = f"edge-hall-a-{number}"
        ip = f"{_NET}.{100 + number}"
        self.address = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        port = free_port(ip, socket.SOCK_DGRAM)
        self._log = Path(folder) / f"{self.name}.log"
        self._settings = Path(folder) / f"{self.name}.json"
        settings = {
            "NodeName": self.name,
            "Role": "gateway",
            "MachineClass": "edge",
            "Serves": ["edge", "control_plane"],
            "Ip": ip,
            "Zone": "hall-a",
            "Region": "attica",
            "Zones": {"hall-a": "attica"},
            "Listen": {"Frontend": self.address, "Ready": self.ready},
            "PortRange": [port, port],
            "Seeds": [],
            "Bootstrap": True,
            "HeartbeatMs": round(HEARTBEAT_S * 1_000),
            "Limits": {"MemoryMb": 300, "MaxFds": 4_100, "LinkMbps": 1_000.0},
            "Bounds": {
                "StableMs": 3_000,
                "DrainMs": DRAIN_MS,
                "GraceS": GRACE_S,
                "LossSlackMs": 200,
                "ConfigApplyMs": APPLY_MS,
                "RollbackSlackMs": 250,
                "MaxSkewMs": 5_000,
                "RetryRatio": 0.2,
                "RetryWindowS": 10,
                "RetrySlack": 88,
                "stall_ms": 1_500,
                "Fencing": False,
            }
            | bounds,
            "Platform": {"Address": store.address, "form": "table"},
        }
        self._settings.write_text(json.dumps(settings), "utf-8")
        self.process = None

    def start(self, *, is_first=True):
        """Start the process; ``Bootstrap`` is true at the site's first start only."""
        if not is_first:
            settings = json.loads(self._settings.read_text("utf-8"))
            settings["Bootstrap"] = False
            self._settings.write_text(json.dumps(settings), "utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        words = deploy["roles"]["gateway"]["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        known = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in known if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["AZUREFOLD_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def wait_ready(self, timeout_s=20):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended: {self._log.read_text()[-2000:]}")
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def is_ready(self):
        try:
            with connect(self.ready, 1.0) as sock:
                lines = (b"GET /readyz HTTP/1.1", b"Host: x", b"Connection: close")
                sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n")
                return b" 200 " in read_all(sock, 1.0)[:32]
        except OSError:
            return False

    def send(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def connect(address, timeout_s=5.0, mss=None, receive_buffer=None):
    """Connect; with a segment size and a receive buffer if they are given."""
    sock = socket.socket()
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    if mss is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
    sock.settimeout(timeout_s)
    sock.connect(split(address))
    return sock


def read_all(sock, timeout_s):
    """Return what comes until the end, or until nothing comes for a time."""
    data = b""
    while select.select([sock], [], [], timeout_s)[0]:
        piece = sock.recv(65_536)
        if not piece:
            break
        data += piece
    return data


def request(method, path, attempt, body=None, deadline_ms=8_000, more=()):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        *more,
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class Reader:
    """Reads answers off a client's connection."""

    def __init__(self, sock):
        self.sock = sock
        self.file = sock.makefile("rb")

    def answer(self):
        """Return status, headers and body; None where the connection ends first."""
        line = self.file.readline()
        if not line:
            return None
        status = int(line.split()[1])
        headers = {}
        while (line := self.file.readline()) not in (b"\r\n", b"\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = self.file.read(length)
        return (status, headers, body) if len(body) == length else None


def ask(address, method, path, attempt, body=None, timeout_s=9.0):
    """Make one request on a new connection; return its answer or None."""
    with connect(address, timeout_s) as sock:
        sock.sendall(request(method, path, attempt, body))
        return Reader(sock).answer()


def _stop(*_):
    raise CannotRun("told to stop")


def play(case, folder):
    """Run a case and exit with 1 if it says that its rule was broken, else 0."""
    signal.signal(signal.SIGTERM, _stop)
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {has_trouble}")
    scratch = tempfile.mkdtemp(prefix="azurefold-review-")
    gateways = []
    try:
        broken = case(record, has_trouble, scratch, gateways)
    except (CannotRun, OSError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = 2
    else:
        code = 1 if broken else 0
        text = f"rule broken: {broken}" if broken else "rule held"
        record(text)
        print(text)
    finally:
        for gateway in gateways:
            gateway.end()
        shutil.rmtree(scratch, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
