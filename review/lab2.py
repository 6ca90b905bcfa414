"""Stand-ins of the cases 4 to 8: the platform's store, gateways, and small helpers.

Standard library only. Gateways are started with the command of deploy/system.toml.
Everything listens on a loopback address of this process alone.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
IP = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.1"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "hall-athina"
_given = set()


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


def free_port():
    while True:
        with socket.socket() as sock:
            sock.bind((IP, 0))
            port = sock.getsockname()[1]
        if port not in _given:
            _given.add(port)
            return port


def address():
    return f"{IP}:{free_port()}"


def split(text):
    ip, _, port = text.rpartition(":")
    return ip, int(port)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def note(self, text):
        print(f"{time.monotonic() - self._began:8.3f} {text}", file=self._file)

    def say(self, text):
        self.note(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


async def read_message(reader):
    """Return the first line and the fields of a head; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def message(status, body=b"", *more):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *more]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: rows, transactions under conditions, feeds."""

    def __init__(self):
        self.address = address()
        self.version = 0
        self.rows = {}
        self.changes = []
        self._changed = asyncio.Event()
        self._servers = {}
        self._writers = set()

    async def start(self):
        """Listen at the present address, beside earlier ones."""
        ip, port = split(self.address)
        self._servers[self.address] = await asyncio.start_server(self._serve, ip, port)

    def close(self, where):
        """Listen at an address no more, and close its connections."""
        self._servers.pop(where).close()
        for writer in list(self._writers):
            if writer.get_extra_info("sockname") == split(where):
                writer.close()

    def put(self, table, key, value):
        """Write a row as the operator and the workers do; None removes it."""
        data = None if value is None else json.dumps(value).encode()
        self._apply([(table, key, data)])

    def _apply(self, rows):
        self.version += 1
        for table, key, data in rows:
            if data is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (data, self.version)
            self.changes.append((self.version, table, key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, table, key, version, data):
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        if data is None:
            return row | {"Deleted": True}
        return row | {"Value": base64.b64encode(data).decode()}

    def _table(self, name):
        keys = sorted(key for table, key in self.rows if table == name)
        rows = ((key, *self.rows[name, key]) for key in keys)
        return [self._row(name, key, version, data) for key, data, version in rows]

    def _answer(self, **fields):
        now = int(time.monotonic() * 1000)
        body = {"Ver": self.version, "NowMs": now} | fields
        return message("200 OK", json.dumps(body).encode())

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (read := await read_message(reader)) is not None:
                line, fields = read
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await asyncio.sleep(0.004)
                writer.write(await self._handle(line.split()[1], body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, target, body):
        path, _, query = target.partition("?")
        asked = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        if path == "/rows-get":
            return self._answer(Rows=self._table(asked["Table"]), HasMore=False)
        if path == "/rows-feed":
            return await self._feed(asked)
        return message("404 Not Found")

    def _transact(self, asked):
        expected = asked.get("ExpectedRev") or []
        for row in expected:
            known = self.rows.get((row["Table"], row["Key"]), (b"", 0))[1]
            if known != row["Ver"]:
                tables = {row["Table"] for row in expected}
                rows = [row for table in tables for row in self._table(table)]
                answer = self._answer(Rows=rows)
                return answer.replace(b"200 OK", b"412 Precondition Failed", 1)
        writes = [
            (row["Table"], row["Key"], base64.b64decode(row.get("Value", "")))
            for row in asked.get("Write") or []
        ]
        removes = [(row["Table"], row["Key"], None) for row in asked.get("Remove") or []]
        self._apply([*writes, *removes])
        return self._answer()

    async def _feed(self, asked):
        after = int(asked["After"])
        until = time.monotonic() + int(asked.get("WaitMs", 0)) / 1000
        while True:
            rows = [
                self._row(table, key, version, data)
                for version, table, key, data in self.changes
                if table == asked["Table"] and version > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._answer(Rows=rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass


class Gateway:
    """One gateway, as the platform starts it on a machine."""

    def __init__(self, folder, number, store, **settings):
        self.name = f"edge-{number}"
        self.front, self.ready = address(), address()
        self._metrics = free_port()
        ports = free_port()
        self._path = Path(folder) / f"{self.name}.json"
        self._log = Path(folder) / f"{self.name}.log"
        self.settings = {
            "NodeName": self.name,
            "Zone": ZONE,
            "Region": "attica",
            "Zones": {ZONE: "attica"},
            "Ip": IP,
            "Listen": {"Frontend": self.front, "Ready": self.ready},
            "PortRange": [ports, ports],
            "Bootstrap": True,
            "HeartbeatMs": 1200,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
            },
            "Bounds": {
                "StableMs": 3000,
                "DrainMs": 2000,
                "GraceS": 8,
                "ConfigApplyMs": 2000,
                "RetryRatio": 0.2,
                "RetryWindowS": 10,
                "RetrySlack": 88,
                "RecoveryS": 12,
                "stall_ms": 1500,
            },
            "Platform": {"Address": store.address, "HistoryS": 20},
        } | settings
        self.process = None
        self.starts = 0

    @property
    def pid(self):
        return self.process.pid

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def write_settings(self, **settings):
        self.settings |= settings
        self._path.write_text(json.dumps(self.settings), encoding="utf-8")

    def start(self):
        self.write_settings(Bootstrap=self.starts == 0)
        self.starts += 1
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["gateway"]["run"].replace("9464", str(self._metrics))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["AZUREFOLD_NODE_FILE"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command.split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not self.is_running:
                raise CannotRun(f"{self.name} ended: {self.log[-600:]}")
            if await ask_ready(self.ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready: {self.log[-600:]}")

    def send(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    @property
    def log(self):
        return self._log.read_text("utf-8", "replace") if self._log.exists() else ""

    @property
    def memory_mb(self):
        """Resident memory in MiB; 0 if the process is gone."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text("utf-8")
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


async def ask_ready(where):
    try:
        reader, writer = await asyncio.open_connection(*split(where))
    except OSError:
        return False
    try:
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        return b" 200 " in line
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def configuration(routes, services, version=3):
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "hule930", "ApiKeys": [KEY]}],
    }


def route(prefix, kind, service, **more):
    return {
        "Name": prefix.strip("/"),
        "Hostname": HOST,
        "Prefix": prefix,
        "RouteKind": kind,
        "Service": service,
        "SloMs": 400,
        "TimeoutMs": 8000,
        "MaxAttempts": 2,
        "Priority": 1,
    } | more


def entry(service, where, state="ready", slots=12):
    return {
        "Service": service,
        "Address": where,
        "Zone": ZONE,
        "Version": "1",
        "Slots": slots,
        "State": state,
        "ColdLeftMs": 0,
        "SeqNo": 1,
    }


async def _played(play, record, scratch, cleanup):
    # Connections that are open at the end are cancelled, which is no news.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(play(record, scratch, cleanup), 115)


def _stop(*_):
    raise SystemExit(2)


def main(play, folder):
    """Play a case and return its exit code: 1 broken, 0 held, 2 could not run."""
    # A case that is told to stop ends what it has started.
    signal.signal(signal.SIGTERM, _stop)
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix="azurefold-case-")
    cleanup = []
    try:
        if not (ROOT / "target" / "deps").exists():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        broken = asyncio.run(_played(play, record, scratch, cleanup))
        record.say("broken" if broken else "held")
        return 1 if broken else 0
    except (CannotRun, TimeoutError, OSError) as error:
        record.say(f"could not run: {type(error).__name__} {error}")
        return 2
    finally:
        for end in reversed(cleanup):
            end()
        record.close()
        shutil.rmtree(scratch, ignore_errors=True)
