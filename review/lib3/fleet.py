"""Small deployment of routers with stand-ins, for the cases of review 3.

The routers are processes with the command of ``deploy/system.toml``. The
store, the servers and the clients run in the process of the case.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import tempfile
import time

from standins.rowstore import RowStore

HOST = "review.example"
KEY = "key-of-tenant-1"
NAMES = "X-Boragetrail-"
HEARTBEAT_S = 1.2
# Intervals of silence after which the store drops a server's entry.
LAPSE_INTERVALS = 3
WINDOW_BYTES = 65536
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_extra": 52,
    "cold_factor": 1.5,
    "cold_margin": 5,
}
RULES = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "places",
    "platform",
]
HEAD_END = b"\r\n\r\n"
_ports = itertools.count(10000 + os.getpid() * 131 % 20000)


def free_port(host="127.0.0.1"):
    """Return a port below the ephemeral ones that nobody listens on."""
    for number in _ports:
        port = 10000 + number % 20000
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


class Record:
    """Hold the lines of ``record.txt``, with the time since the start."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.started_s = time.monotonic()
        self.lines = []

    def add(self, text):
        """Add a line."""
        at_s = time.monotonic() - self.started_s
        self.lines.append(f"{at_s:8.3f} {text}")

    def write(self):
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def route(name, kind, service, **fields):
    """Return a route in the operator's format."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": 4000,
        "goalMs": 500,
        "priority": 1,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def configuration(routes, services, version=1):
    """Return a configuration in the operator's format."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 360,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 20000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY]}],
    }


class Request:
    """Hold a request that a server has read."""

    def __init__(self, line, fields, body, reader, writer):
        self.line = line
        self.method, self.path, _ = line.split(" ", 2)
        self.fields = fields
        self.body = body
        self.reader = reader
        self.writer = writer

    @property
    def id(self):
        """Return the id of the client attempt."""
        return self.fields.get("x-boragetrail-attempt-id", "")


async def read_head(reader):
    """Return (first line, fields by name in lower case)."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    line, *rest = head.strip().split("\r\n")
    fields = {}
    for each in rest:
        name, _, value = each.partition(":")
        fields[name.lower()] = value.strip()
    return line, fields


def answer(request, status="200 OK", body=b"done", fields=()):
    """Return a whole answer with id and seal as bytes."""
    lines = [
        f"HTTP/1.1 {status}",
        f"{NAMES}Attempt-Id: {request.id}",
        f"{NAMES}Response-Seal: seal-{request.id}",
        f"Content-Length: {len(body)}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + HEAD_END + body


class Server:
    """Stand-in of an engine or an application server.

    Channels have a small window, as on the links of the pages.

    It listens on a port that it keeps over its runs. ``serve`` is a coroutine
    function that gets the server and a request, writes the answer, and
    returns whether the connection stays open.
    """

    def __init__(self, fleet, name, service, zone, slots, serve, version="1"):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.serve = serve
        self.version = version
        self.port = free_port()
        self.born_ms = 0
        self.listener = None
        self.writers = set()
        self.state = "ready"
        self.beat = None
        self.listed = None
        self.written_s = 0.0
        self.rejected = False
        self.reads_bodies = True

    @property
    def address(self):
        """Return the address of its entry."""
        return f"127.0.0.1:{self.port}"

    def entry(self):
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self.born_ms,
        }

    async def start(self):
        """Begin a run: listen, then write the entry at intervals."""
        self.born_ms = int(time.time() * 1000)
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listening.bind(("127.0.0.1", self.port))
        self.listener = await asyncio.start_server(
            self._connection, sock=listening, backlog=128
        )
        self.fleet.record.add(f"server {self.name} v{self.version} starts")
        self.beat = asyncio.create_task(self._write_at_intervals())

    async def _write_at_intervals(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        """Write the entry, unless the store rejects this machine."""
        record = self.fleet.record
        if self.rejected:
            record.add(f"the store rejects the write of {self.name}")
            return
        self.written_s = time.monotonic()
        entry = self.entry()
        if self.listed != entry:
            self.listed = entry
            self.fleet.store.put("servers", self.name, entry)
            record.add(f"the store has the entry of {self.name}: {entry}")

    def drop_if_silent(self):
        """Drop the entry if the server has been silent for too long."""
        silent_s = time.monotonic() - self.written_s
        if self.listed and silent_s > LAPSE_INTERVALS * HEARTBEAT_S:
            self.listed = None
            self.fleet.store.remove("servers", self.name)
            self.fleet.record.add(f"the store drops the entry of {self.name}")

    def crash(self):
        """End a run: close the port and reset all connections."""
        self.fleet.record.add(f"server {self.name} v{self.version} crashes")
        self.beat.cancel()
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                length = int(fields.get("content-length", 0))
                body = b""
                if self.reads_bodies:
                    body = await reader.readexactly(length)
                request = Request(line, fields, body, reader, writer)
                expected = fields.get("x-boragetrail-expect-instance")
                if expected not in (None, self.name):
                    data = answer(request, "421 Misdirected Request", b"")
                    writer.write(data)
                elif not await self.serve(self, request):
                    break
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer):
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Reply:
    """Hold what a client got.

    :ivar left_s: monotonic time at which the client left, or ``None``
    """

    def __init__(self, request_id=""):
        self.id = request_id
        self.left_s = None
        self.status = None
        self.fields = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.took_s = 0.0


class Router:
    """Hold one router process."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.name = f"edge-{number}"
        self.host = f"127.0.0.{number + 11}"
        self.zone = zone
        self.callers = free_port(self.host)
        self.health = free_port(self.host)
        self.metrics = free_port(self.host)
        self.path = fleet.folder / f"{self.name}.json"
        self.process = None
        self.starts = 0

    def write_settings(self, first_start):
        """Write what the template ``deploy/router.json`` becomes."""
        gossip = f"{self.host}:{self.fleet.gossip_port}"
        settings = {
            "role": "direct",
            "name": self.name,
            "zone": self.zone,
            "listen": {
                "callers": f"{self.host}:{self.callers}",
                "health": f"{self.host}:{self.health}",
                "gossip": gossip,
                "relay": gossip,
                "metrics": f"{self.host}:{self.metrics}",
            },
            "store": self.fleet.store_address,
            "seeds": [
                f"{each.host}:{self.fleet.gossip_port}"
                for each in self.fleet.routers[:3]
            ],
            "bounds": BOUNDS,
            "rules": RULES,
            "zones": {"crossing_ms": 10, "ms_per_mb": 2},
            "grace_s": 8,
            "first_start": first_start,
            "link_mbps": 1000.0,
        }
        self.path.write_text(json.dumps(settings))

    async def start(self, first_start=True):
        """Start the process with the command of the deploy file."""
        self.write_settings(first_start)
        self.starts += 1
        log = os.open(
            self.fleet.folder / f"{self.name}.log",
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(self.fleet.root / "target/deps"),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "target/app",
            str(self.path),
            cwd=self.fleet.root,
            env=environment,
            stdout=log,
            stderr=log,
        )
        os.close(log)
        self.fleet.record.add(f"router {self.name} starts")

    async def is_ready(self):
        """Return whether the health address answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.health
                )
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return " 200 " in line

    async def until_ready(self, timeout_s=20.0):
        """Wait until the router is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def kill(self, number=signal.SIGKILL):
        """Send a signal to the process."""
        self.fleet.record.add(f"router {self.name} gets signal {int(number)}")
        self.process.send_signal(number)


class Fleet:
    """Own the store, the servers and the routers of a case."""

    def __init__(self, record_path):
        self.root = pathlib.Path.cwd()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.record = Record(record_path)
        self.store = RowStore()
        self.store_address = ""
        self.gossip_port = free_port()
        self.routers = []
        self.servers = []
        self.sent = 0
        self.lapses = None

    async def open(self, config):
        """Start the store with a configuration."""
        await self.store.open()
        self.store_address = self.store.address
        self.store.put("op", "config", config)
        self.lapses = asyncio.create_task(self._drop_silent())

    async def _drop_silent(self):
        while True:
            await asyncio.sleep(0.1)
            for server in self.servers:
                server.drop_if_silent()

    async def add_routers(self, count, zones):
        """Start routers and wait until they are ready."""
        for number in range(count):
            router = Router(self, number, zones[number % len(zones)])
            self.routers.append(router)
        await asyncio.gather(*(each.start() for each in self.routers))
        await asyncio.gather(*(each.until_ready() for each in self.routers))
        self.record.add("all routers are ready")

    async def add_server(self, name, service, zone, slots, serve, **fields):
        """Start a server and list it."""
        server = Server(self, name, service, zone, slots, serve, **fields)
        self.servers.append(server)
        await server.start()
        return server

    async def close(self):
        """End all processes, and remove the temporary folder."""
        for router in self.routers:
            if router.process and router.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    router.process.send_signal(signal.SIGCONT)
                    router.process.kill()
                await router.process.wait()
        self.lapses.cancel()
        for server in self.servers:
            server.beat.cancel()
            server.listener.close()
        with contextlib.suppress(Exception):
            async with asyncio.timeout(2.0):
                await self.store.close()
        self.record.write()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def new_id(self):
        """Return the id of a new client attempt."""
        self.sent += 1
        return f"{self.sent:08x}{os.getpid() & 0xFFFF:04x}"

    def head(self, method, path, request_id, deadline_ms, body, fields=()):
        """Return the head of a client's request as bytes."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{NAMES}Attempt-Id: {request_id}",
            f"{NAMES}Deadline-Ms: {deadline_ms}",
            f"Api-Key: {KEY}",
            *fields,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + HEAD_END

    @staticmethod
    def reply(request_id):
        """Return an empty :class:`Reply`."""
        return Reply(request_id)

    async def call(
        self,
        router,
        method,
        path,
        deadline_ms=4000,
        body=b"",
        fields=(),
        leave_after_s=None,
        request_id=None,
    ):
        """Send one client attempt on a new channel; returns a Reply.

        :param leave_after_s: time after which the client closes the channel
        """
        request_id = request_id or self.new_id()
        reply = Reply(request_id)
        began_s = time.monotonic()
        patience_s = deadline_ms / 1000.0 + 1.0
        if leave_after_s is not None:
            patience_s = leave_after_s
        writer = None
        try:
            async with asyncio.timeout(patience_s):
                reader, writer = await asyncio.open_connection(
                    router.host, router.callers
                )
                head = self.head(
                    method, path, request_id, deadline_ms, body, fields
                )
                writer.write(head + body)
                await self.read_reply(reader, reply)
        except TimeoutError:
            reply.error = "left"
            reply.left_s = time.monotonic()
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            reply.error = repr(exc)
        finally:
            if writer is not None:
                writer.close()
        reply.took_s = time.monotonic() - began_s
        return reply

    async def read_reply(self, reader, reply):
        """Read an answer; what has arrived of it stays in the reply."""
        line, reply.fields = await read_head(reader)
        reply.status = int(line.split(" ")[1])
        if reply.fields.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readline(), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                reply.body += data[:-2]
        else:
            length = int(reply.fields.get("content-length", 0))
            reply.body = await reader.readexactly(length)
        reply.complete = True


def run(main, trouble, record_path):
    """Run a case; returns the exit status.

    :param main: coroutine function that gets a :class:`Fleet` and whether
        the disruption happens, and returns whether the rule was broken
    :param trouble: whether the disruption happens
    """
    fleet = Fleet(record_path)

    async def case():
        try:
            async with asyncio.timeout(110):
                return await main(fleet, trouble)
        finally:
            await fleet.close()

    try:
        broken = asyncio.run(case())
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        return 2
    print("the rule is broken" if broken else "the rule holds")
    return 1 if broken else 0
