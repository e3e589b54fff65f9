"""Routers as separate processes, a store, and callers on loopback.

The routers are started with the command of the deploy file and settings like
those that its template gives for a small deployment.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import urllib.request

from standins.rowstore import RowStore

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "chat.example"
KEY = "key-of-customer-1"
ATTEMPT_ID = "X-Boragetrail-Attempt-Id"
DEADLINE = "X-Boragetrail-Deadline-Ms"
START_TIMEOUT_S = 15.0
# Bounds of the sheet of kowhai-shots.
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


def trouble():
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Write what happened to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began_s

    def add(self, text):
        """Write one line with the time."""
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        """Write one line, and show it."""
        self.add(text)
        print(f"{self.now_s():8.3f} {text}")


def free_ports(hosts, count):
    """Return ports that are free on all of some hosts, for TCP and UDP."""
    ports = []
    port = 21000 + os.getpid() * 37 % 9000
    while len(ports) < count:
        port += 1
        if all(_is_free(host, port) for host in hosts):
            ports.append(port)
    return ports


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


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


def service(name, **fields):
    """Return a service in the operator's format."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 360,
        "coldPerS": 0.0,
        **fields,
    }


def configuration(version, routes, services):
    """Return a configuration in the operator's format."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 200000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "customer-1", "apiKeys": [KEY]}],
    }


class Router:
    """One router process."""

    def __init__(self, name, zone, host, gossip_port, ports, store, seeds):
        callers, health, metrics = ports
        self.name = name
        self.host = host
        self.callers = (host, callers)
        self.health = (host, health)
        gossip = f"{host}:{gossip_port}"
        self.settings = {
            "role": "direct",
            "name": name,
            "zone": zone,
            "listen": {
                "callers": f"{host}:{callers}",
                "health": f"{host}:{health}",
                "gossip": gossip,
                "relay": gossip,
                "metrics": f"{host}:{metrics}",
            },
            "store": store,
            "seeds": seeds,
            "bounds": BOUNDS,
            "rules": RULES,
            "zones": {"crossing_ms": 10, "ms_per_mb": 2},
            "grace_s": 8,
            "first_start": True,
            "link_mbps": 1000.0,
        }
        self.process = None

    async def start(self, folder):
        """Start the process with the command of the deploy file."""
        path = pathlib.Path(folder) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["SSL_CERT_FILE"] = "/dev/null"
        env["SSL_CERT_DIR"] = "/dev/null"
        with open(path.with_suffix(".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "target/app",
                str(path),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def until_ready(self):
        """Wait until the platform may send callers."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} did not become ready")

    async def is_ready(self):
        """Return whether the router says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(*self.health)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in line

    def terminate(self):
        """Ask the router to stop, as the platform does."""
        self.process.send_signal(signal.SIGTERM)

    async def end(self):
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Case:
    """Own what a case starts: a folder, a store, engines and routers."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder).resolve()
        self.record = Record(self.folder)
        self.store = RowStore()
        self.engines = []
        self.routers = []
        self.tasks = set()

    def start(self, coroutine):
        """Start a task that ends with the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self):
        """End all processes and close all sockets."""
        for router in self.routers:
            await router.end()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for engine in self.engines:
            engine.close()
        if self.store.runner is not None:
            await self.store.close()


async def show_sizes(case):
    """Record how many routers each router counts, by its dump."""
    for router in case.routers:
        address = router.settings["listen"]["metrics"]
        dump = await asyncio.to_thread(_get, f"http://{address}/dump")
        case.record.say(f"{router.name} counts {dump['routers']} routers")


def _get(url):
    with urllib.request.urlopen(url, timeout=2.0) as response:
        return json.loads(response.read())


class Answer:
    """What one caller got."""

    def __init__(self):
        self.status = 0
        self.head = b""
        self.body = b""
        self.complete = False
        self.error = ""
        self.took_s = 0.0


def request_head(method, path, attempt_id, fields, length):
    """Return the head of a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{ATTEMPT_ID}: {attempt_id}",
        f"Api-Key: {KEY}",
        *(f"{name}: {value}" for name, value in fields.items()),
        f"Content-Length: {length}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def call(address, path, attempt_id, deadline_ms, fields=None, body=b""):
    """Send a request on a new channel, and read the whole answer.

    :returns: :class:`Answer`; it is complete only if it ended as its framing
        says
    """
    answer = Answer()
    began_s = time.monotonic()
    writer = None
    head_fields = {DEADLINE: deadline_ms, **(fields or {})}
    try:
        async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
            reader, writer = await asyncio.open_connection(*address)
            head = request_head(
                "POST", path, attempt_id, head_fields, len(body)
            )
            writer.write(head + body)
            await read_answer(reader, answer)
    except TimeoutError:
        answer.error = "no whole answer in time"
    except (OSError, EOFError, ValueError) as exc:
        answer.error = repr(exc)
    finally:
        if writer is not None:
            writer.close()
    answer.took_s = time.monotonic() - began_s
    return answer


async def read_answer(reader, answer):
    """Read an answer to the end that its framing names."""
    answer.head = await reader.readuntil(b"\r\n\r\n")
    lines = answer.head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    if fields.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
    else:
        length = int(fields.get("content-length", 0))
        answer.body = await reader.readexactly(length)
    answer.complete = True


def run(folder, main):
    """Run a case; exits with its result, or 2 if it could not run."""
    code = 2
    try:
        code = asyncio.run(_run(folder, main))
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
    sys.exit(code)


async def _run(folder, main):
    case = Case(folder)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            async with asyncio.timeout(115.0):
                return await main(case, temporary)
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in pathlib.Path(temporary).glob("*.log"):
                    target = pathlib.Path(keep) / path.name
                    target.write_bytes(path.read_bytes())
            await case.close()
