"""Routers of the project as processes, and stand-ins around them.

Everything listens on loopback addresses and free ports. The store is the
project's own stand-in; engines and clients are small new ones. The clock is
the real one.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time

from standins.rowstore import RowStore

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shots.example"
KEY = "key-of-studio-1"
ID = "X-Boragetrail-Attempt-Id"
SEAL = "X-Boragetrail-Response-Seal"
EXPECTED = "X-Boragetrail-Expect-Instance"
NOT_EXECUTED = "X-Boragetrail-Not-Executed"
DEADLINE = "X-Boragetrail-Deadline-Ms"
ENTITY_END = b"\r\n\r\n"
START_TIMEOUT_S = 20.0
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_extra": 52,
    "cold_factor": 1.5,
    "cold_margin": 5,
}
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0


class NotRunnable(Exception):
    """The case could not be played."""


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started_s = time.monotonic()

    def add(self, text):
        """Write a line."""
        now_s = time.monotonic() - self.started_s
        self.file.write(f"{now_s:8.3f} {text}\n")
        self.file.flush()


def free_port(host):
    """Return a port on which nobody listens, below the ephemeral ones."""
    for _ in range(2000):
        port = 10000 + int.from_bytes(os.urandom(2), "big") % 20000
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
            return port
    raise NotRunnable("no free port")


def route(name, kind, service, timeout_ms, **fields):
    """Return a route in the operator's format."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "goalMs": 500,
        "priority": 1,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def configuration(version, routes, services):
    """Return a configuration in the operator's format."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 360,
                "coldStartS": 0.0,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "studio-1", "apiKeys": [KEY]}],
    }


class Engine:
    """Run requests as the pages say; ``work`` writes the answer.

    :param work: coroutine function that gets (engine, request id, path,
        body, writer) and writes an answer
    :ivar runs: (time, request id, path) of each run
    """

    def __init__(self, record, name, service, work):
        self.record = record
        self.name = name
        self.service = service
        self.work = work
        self.runs = []
        self.server = None
        self.address = ""
        self.writers = set()
        self.headers = {}
        self.born_ms = int(time.time() * 1000)

    async def open(self, host="127.0.0.1"):
        """Listen on a free port.

        It is no ephemeral one, so that an engine that starts again gets it.
        """
        for _ in range(20):
            port = free_port(host)
            try:
                self.server = await asyncio.start_server(
                    self._serve, host, port
                )
            except OSError:
                continue
            self.address = f"{host}:{port}"
            return
        raise NotRunnable("no port for an engine")

    async def close(self):
        """Stop listening and close all channels."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    def entry(self, **fields):
        """Return the engine's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "chc-a",
            "version": "1.0",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self.born_ms,
            **fields,
        }

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(ENTITY_END)
                line, headers = parse_head(head)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                request_id = headers.get(ID.lower(), "")
                if headers.get(EXPECTED.lower(), self.name) != self.name:
                    writer.write(whole_answer(request_id, b"", 421))
                    continue
                path = line.split(" ")[1]
                self.runs.append((time.monotonic(), request_id, path))
                self.record.add(f"run {request_id} {path} at {self.name}")
                self.headers = headers
                await self.work(self, request_id, path, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def parse_head(head):
    """Return (first line, headers by lower-case name) of a message head."""
    first, *fields = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def whole_answer(request_id, body, status=200):
    """Return an engine's answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"{ID}: {request_id}"]
    if status == 421:
        lines.append(f"{NOT_EXECUTED}: 1")
    else:
        lines.append(f"{SEAL}: seal-{request_id}")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + ENTITY_END + body


def stream_head(request_id):
    """Return the head of an engine's stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"{ID}: {request_id}",
        f"{SEAL}: seal-{request_id}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join(lines).encode() + ENTITY_END


def chunk(data):
    """Return a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Answer:
    """Hold what a client got on its channel.

    :ivar status: status, or 0 without a complete head
    :ivar complete: whether the answer is complete
    :ivar ended_s: time at which it was complete or the channel ended
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.ended_s = 0.0
        self.error = ""


class Channel:
    """One channel of a client to a router."""

    def __init__(self, record):
        self.record = record
        self.reader = self.writer = None

    async def open(self, address, setup=None):
        """Connect.

        :param setup: function that sets options of the socket before
        """
        host, port = address
        sock = socket.socket()
        if setup is not None:
            setup(sock)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=64 * 1024
        )
        return self

    def local_port(self):
        """Return the client's port."""
        return self.writer.get_extra_info("sockname")[1]

    def head(self, method, path, request_id, deadline_ms, length=0):
        """Return the head of a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{ID}: {request_id}",
            f"{DEADLINE}: {deadline_ms}",
            f"Api-Key: {KEY}",
        ]
        if length:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode() + ENTITY_END

    async def send(self, data):
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, pace=None):
        """Read one answer.

        :param pace: coroutine function that gets the number of bytes after
            each read, for a client with a slow link
        """
        got = Answer()
        try:
            head = await self.reader.readuntil(ENTITY_END)
            line, got.headers = parse_head(head)
            got.status = int(line.split(" ")[1])
            if "chunked" in got.headers.get("transfer-encoding", ""):
                await self._chunks(got)
            else:
                await self._counted(got, pace)
            got.complete = True
        except asyncio.IncompleteReadError as exc:
            got.error = f"the channel ended, {exc!r}"
        except (OSError, ValueError) as exc:
            got.error = f"the channel was lost, {exc!r}"
        got.ended_s = time.monotonic()
        return got

    async def _chunks(self, got):
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            data = await self.reader.readexactly(size + 2)
            got.body += data[:-2]
            if not size:
                return

    async def _counted(self, got, pace):
        left = int(got.headers.get("content-length", "0"))
        while left:
            data = await self.reader.read(min(left, 16384))
            if not data:
                raise asyncio.IncompleteReadError(got.body[-8:], left)
            got.body += data
            left -= len(data)
            if pace is not None:
                await pace(len(data))

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()


class Proxy:
    """Pass channels on to the store, as a box in between that keeps a table.

    :meth:`forget` makes it lose the table: the channels that are open then
    go silent for good, without a reset. New channels work.
    """

    def __init__(self, record, target):
        self.record = record
        self.target = target
        self.channels = []
        self.server = None
        self.address = ""

    async def open(self, host="127.0.0.1"):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def forget(self):
        """Make all channels that are open now silent; return how many."""
        count = sum(not channel["silent"] for channel in self.channels)
        for channel in self.channels:
            channel["silent"] = True
        return count

    async def close(self):
        """Close all channels."""
        self.server.close()
        for channel in self.channels:
            channel["task"].cancel()
            for writer in channel["writers"]:
                writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        host, _, port = self.target.partition(":")
        there = await asyncio.open_connection(host, int(port))
        channel = {
            "silent": False,
            "task": asyncio.current_task(),
            "writers": (writer, there[1]),
        }
        self.channels.append(channel)
        await asyncio.gather(
            self._pass(channel, reader, there[1]),
            self._pass(channel, there[0], writer),
        )
        if not channel["silent"]:
            self.channels.remove(channel)

    async def _pass(self, channel, reader, writer):
        try:
            while data := await reader.read(65536):
                if channel["silent"]:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not channel["silent"]:
            writer.close()


class Router:
    """One router of the project, started with the command of its deploy file.

    The settings have the keys of ``deploy/router.json``.
    """

    def __init__(self, record, folder, number, gossip_port, store, seeds):
        self.record = record
        self.host = f"127.0.0.{number + 1}"
        self.name = f"edge-{number}"
        self.path = pathlib.Path(folder) / f"{self.name}.json"
        self.log = self.path.with_suffix(".log")
        self.callers = (self.host, free_port(self.host))
        self.health = (self.host, free_port(self.host))
        self.process = None
        gossip = f"{self.host}:{gossip_port}"
        settings = {
            "role": "direct",
            "name": self.name,
            "zone": ("chc-a", "chc-b", "dun-c")[number % 3],
            "listen": {
                "callers": f"{self.callers[0]}:{self.callers[1]}",
                "health": f"{self.health[0]}:{self.health[1]}",
                "gossip": gossip,
                "relay": gossip,
                "metrics": f"{self.host}:{free_port(self.host)}",
            },
            "store": store,
            "seeds": seeds,
            "bounds": BOUNDS,
            "grace_s": GRACE_S,
            "first_start": True,
            "link_mbps": 1000.0,
        }
        self.path.write_text(json.dumps(settings))

    async def start(self):
        """Start the process."""
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        run = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1)
        *words, _ = run.split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment.update(
            SSL_CERT_FILE="/dev/null",
            SSL_CERT_DIR="/dev/null",
            PYTHONPATH=str(ROOT / "target" / "deps"),
        )
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                str(self.path),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"start {self.name} as {' '.join(words)} SETTINGS")

    async def is_ready(self):
        """Return whether the router says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(*self.health)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b" 200 " in line

    def terminate(self):
        """Send SIGTERM; return the time."""
        self.process.send_signal(signal.SIGTERM)
        self.record.add(f"SIGTERM to {self.name}")
        return time.monotonic()

    async def ended(self):
        """Wait until the process has ended; kill it after the grace period."""
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S + 1.0)
        except asyncio.TimeoutError:
            self.record.add(f"{self.name} is killed after its grace period")
            self.process.kill()
            await self.process.wait()

    def kill(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


class Deployment:
    """Store, engines and routers of a case."""

    def __init__(self, record, folder, router_count=2):
        self.record = record
        self.folder = folder
        self.store = RowStore()
        self.store_proxy = None
        self.router_count = router_count
        self.engines = []
        self.routers = []

    async def open(self, config, engines):
        """Start everything and wait until all routers are ready."""
        await self.store.open()
        self.store_proxy = Proxy(self.record, self.store.address)
        await self.store_proxy.open()
        self.configure(config)
        for engine in engines:
            await engine.open()
            self.engines.append(engine)
            self.list(engine)
        gossip_port = self._gossip_port()
        for number in range(self.router_count):
            router = Router(
                self.record,
                self.folder,
                number,
                gossip_port,
                self.store_proxy.address,
                [f"127.0.0.{n + 1}:{gossip_port}" for n in range(3)],
            )
            self.routers.append(router)
            await router.start()
        end_s = time.monotonic() + START_TIMEOUT_S
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > end_s:
                    raise NotRunnable(f"{router.name} does not get ready")
                await asyncio.sleep(0.05)
        self.record.add("all routers are ready")

    def configure(self, config):
        """Write a configuration, as the operator; return the ack's time."""
        self.store.put("op", "config", config)
        self.record.add(f"the store has acked version {config['version']}")
        return time.monotonic()

    def list(self, engine, **fields):
        """Write an engine's entry, as the engine; return the ack's time."""
        entry = engine.entry(**fields)
        self.store.put("servers", engine.name, entry)
        state = entry["state"]
        self.record.add(f"the store has acked {engine.name} as {state}")
        return time.monotonic()

    def leave(self, engine):
        """Remove an engine's entry; the engine goes on serving.

        Some engines never report that they drain.
        """
        self.store.remove("servers", engine.name)
        self.record.add(f"the entry of {engine.name} is removed")

    async def close(self):
        """End all processes."""
        for router in self.routers:
            router.kill()
            if router.process is not None:
                await router.process.wait()
        for engine in self.engines:
            await engine.close()
        if self.store_proxy is not None:
            await self.store_proxy.close()
        await self.store.close()

    def _gossip_port(self):
        for _ in range(100):
            port = free_port("127.0.0.1")
            hosts = [f"127.0.0.{n + 1}" for n in range(self.router_count)]
            if all(_is_free(host, port) for host in hosts):
                return port
        raise NotRunnable("no port is free on all addresses")


def _is_free(host, port):
    with socket.socket() as tcp:
        try:
            tcp.bind((host, port))
        except OSError:
            return False
    return True


def unread_bytes(address, client_port):
    """Return how many bytes of a channel the router has not read yet.

    :returns: number, or ``None`` if the router's end of it is gone
    """
    host, port = address
    local = socket.inet_aton(host)[::-1].hex().upper()
    for line in open("/proc/net/tcp"):
        fields = line.split()
        if fields[1] == f"{local}:{port:04X}" and fields[2].endswith(
            f":{client_port:04X}"
        ):
            return int(fields[4].partition(":")[2], 16)
    return None


def token():
    """Return a new id of a client attempt."""
    return base64.b16encode(os.urandom(8)).decode().lower()


def main(play):
    """Play a case and exit with its result.

    :param play: coroutine function that gets (record, folder) and returns
        whether the rule held
    """
    case = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(case)
    record.add(f"trouble: {'yes' if TROUBLE else 'no'}")
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(asyncio.wait_for(play(record, folder), 110))
    except Exception as exc:
        # Whatever stops the case says nothing about the rule.
        record.add(f"the case could not run: {exc!r}")
        sys.exit(NOT_RUN)
    record.add("the rule held" if held else "THE RULE IS BROKEN")
    sys.exit(HELD if held else BROKEN)
