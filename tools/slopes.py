"""Measure the slopes that docs/CAPACITY.md works with."""

import asyncio
import gc
import hashlib
import json
import pathlib
import statistics
import sys
import time

import psutil
import rich.console
import rich.table
import websockets.asyncio.client

from boragetrail.configuration import Change, Document
from boragetrail.gossip.simulation import GossipSimulation
from boragetrail.policy import (
    Candidate,
    AffinityPlacement,
    LoadEntry,
    LoadTable,
)
from boragetrail.policy import PlacementRequest
from boragetrail.wire import encode
from boragetrail.wire.messages import Hello
from tools.client import Caller
from tools.deployments import Deployment, RouterSpec, ServerSpec
from tools.fleet import Fleet

__all__ = ["main"]

OUT = pathlib.Path("out")
STREAMS_AT_ONCE = 12


def slope(sizes, values):
    """Return the slope of a line through the points."""
    return statistics.linear_regression(sizes, values).slope


def small_deployment():
    """Return one router, one fast engine and one application server."""
    services = {
        "model": {
            "kind": "model",
            "zones": ["z1"],
            "slots": 64,
            "cap_multiple": 2.0,
        },
        "app": {"kind": "application", "zones": ["z1"], "slots": 64},
    }
    fast = {"step_s": 0.002, "step_each_s": 0.0, "slots": 64}
    return Deployment(
        "r",
        ["z1"],
        [RouterSpec("router-1", "z1")],
        [
            ServerSpec("model-0", "z1", "model", "model", **fast),
            ServerSpec("app-0", "z1", "app", "application"),
        ],
        services,
    )


class ProcessSlopes:
    """Measure a router and agents as processes."""

    def __init__(self, fleet):
        self.fleet = fleet
        url = fleet.router(0).url("callers")
        key = fleet.key_of("customer-1")
        self.caller = Caller(fleet.session, url, key)

    async def run(self):
        """Return all slopes of processes."""
        # The first streams come one by one, while the engine is cold.
        for _ in range(4):
            await self._stream(100, 1)
        tokens = await self._points(self._tokens, (2000, 6000, 12000))
        requests = await self._points(self._requests, (200, 500, 1000))
        orders = await self._points(self._orders, (100, 200, 400))
        memory = await self._connections((100, 300, 600))
        return {
            "router us/token": self._per(tokens, "router-1"),
            "agent us/token": self._per(tokens, "model-0"),
            "router us/request": self._per(requests, "router-1"),
            "agent us/request": self._per(requests, "app-0"),
            "router us/order": self._per(orders, "router-1"),
            "agent us/order": self._per(orders, "app-0"),
            "table rows/order": self._per(orders, "rows", 1.0),
            "table transactions/order": self._per(orders, "transactions", 1.0),
            "agent KB/connection": round(memory, 2),
        }

    def _per(self, points, name, factor=1e6):
        sizes = [size for size, _ in points]
        values = [factor * values[name] for _, values in points]
        return round(slope(sizes, values), 2)

    async def _points(self, action, sizes):
        points = []
        for size in sizes:
            before = await self._used()
            await action(size)
            after = await self._used()
            used = {name: after[name] - before[name] for name in after}
            points.append((size, used))
        return points

    async def _used(self):
        used = {}
        for name in ("router-1", "model-0", "app-0"):
            pid = self.fleet.nodes[name].process.pid
            times = psutil.Process(pid).cpu_times()
            used[name] = times.user + times.system
        url = f"{self.fleet.nodes['table'].url('main')}/counts"
        return {**used, **await self.fleet.get_json(url)}

    async def _tokens(self, count):
        await self._stream(count, STREAMS_AT_ONCE)

    async def _stream(self, count, at_once):
        words = max(1, count // at_once)
        message = {"role": "user", "content": f"stream {time.monotonic()}"}
        results = await asyncio.gather(
            *[
                self.caller.chat([message], chat_id=f"c{n}", words=words)
                for n in range(at_once)
            ]
        )
        bad = [each.problem for each in results if not each.whole]
        if bad:
            raise RuntimeError(f"streams were not whole: {bad[:1]}")

    async def _requests(self, count):
        for _ in range(0, count, 10):
            await asyncio.gather(
                *[
                    self.caller.request("GET", "/services/app/status")
                    for _ in range(10)
                ]
            )

    async def _orders(self, count):
        for begin in range(0, count, 10):
            stamp = f"{time.monotonic()}-{begin}"
            await asyncio.gather(
                *[
                    self.caller.request(
                        "POST", "/services/app/o", b"x", f"{stamp}-{n}"
                    )
                    for n in range(10)
                ]
            )
        await asyncio.sleep(0.5)

    async def _connections(self, sizes):
        node = self.fleet.nodes["model-0"]
        process = psutil.Process(node.process.pid)
        sockets, points = [], []
        hello = encode(Hello(1, "probe", "probe", "", "z1", 0, 0))
        for size in sizes:
            while len(sockets) < size:
                socket = await websockets.asyncio.client.connect(
                    f"ws://{node.address('link')}",
                    compression=None,
                    ping_interval=None,
                    proxy=None,
                )
                await socket.send(hello)
                sockets.append(socket)
            await asyncio.sleep(0.3)
            points.append((size, process.memory_info().rss / 1000))
        for socket in sockets:
            socket.transport.abort()
        return slope(*zip(*points))


def customer_slopes(sizes=(2000, 6000, 12000)):
    """Return memory and time that customers cost a router."""
    points = []
    for size in sizes:
        gc.collect()
        before = psutil.Process().memory_info().rss
        doc = Document()
        for number in range(size):
            _add_customer(doc, number)
        index = {
            value["key_sha256"]: name
            for name, value in doc.entities_by_kind["customer"].items()
        }
        rss = psutil.Process().memory_info().rss - before
        began_s = time.perf_counter()
        for value in doc.entities_by_kind["binding"].values():
            doc.get("service", value["service"])
        index = dict(index)
        took_s = time.perf_counter() - began_s
        snapshot_s = time.perf_counter()
        data = doc.to_snapshot()
        snapshot_s = time.perf_counter() - snapshot_s
        points.append((size, rss / 1000, took_s * 1e6, snapshot_s * 1e6))
        del doc, index, data
    sizes = [point[0] for point in points]
    return {
        "router KB/customer": round(slope(sizes, [p[1] for p in points]), 3),
        "router us/customer/change": round(
            slope(sizes, [p[2] for p in points]), 3
        ),
        "snapshot us/customer": round(slope(sizes, [p[3] for p in points]), 2),
    }


def _add_customer(doc, number):
    name = f"customer-{number}"
    digest = hashlib.sha256(name.encode()).hexdigest()
    values = (
        ("customer", name, {"key_sha256": digest}),
        (
            "binding",
            f"{name}:s",
            {"customer": name, "service": "s", "weight": 1.0, "priority": 5},
        ),
    )
    for kind, key, value in values:
        version = doc.version + 1
        doc.apply(Change(version, f"id-{version}", "op", kind, key, value))


def server_slopes(sizes=(22, 88, 350)):
    """Return the time that a choice costs for each server of a service."""
    points = []
    for size in sizes:
        table = LoadTable(lambda: 0.0)
        for n in range(size):
            table.merge(LoadEntry(f"s{n}", "i", 1, 5, 1.0, 0, 0.0))
        placement = AffinityPlacement()
        began_s = time.perf_counter()
        for number in range(50):
            table.totals()
            candidates = [Candidate(f"s{n}", load=5) for n in range(size)]
            placement.order(PlacementRequest(f"chat-{number}"), candidates)
        points.append((size, (time.perf_counter() - began_s) / 50 * 1e6))
    return {"router us/request/server": round(slope(*zip(*points)), 2)}


def spread_slopes(sizes=((30, 130), (110, 470), (330, 1400))):
    """Return delay and bytes of a change over fleets of three sizes."""
    result = {}
    for routers, agents in sizes:
        simulation = GossipSimulation(
            routers, agents, zones=14, services=16, loss_rate=0.01
        )
        for _ in range(3):
            simulation.run_round()
        idle = simulation.sent_bytes / 1.5 / (routers + agents)
        before = simulation.sent_bytes
        simulation.commit_at("r0")
        pushed = simulation.sent_bytes - before
        at_once = _part_with(simulation, 1)
        rounds = 0
        while simulation.versions() != {1} and rounds < 40:
            simulation.run_round()
            rounds += 1
        result[f"{routers} + {agents}"] = {
            "idle bytes/s a process": round(idle),
            "pushed bytes a process": round(pushed / (routers + agents)),
            "reached by pushes": round(at_once, 4),
            "seconds to all": rounds * 0.5,
        }
    return result


def _part_with(simulation, version):
    nodes = simulation.nodes.values()
    held = sum(1 for node in nodes if node.doc.version == version)
    return held / len(simulation.nodes)


async def process_slopes():
    """Start the small deployment and measure it."""
    fleet = Fleet(small_deployment())
    try:
        await fleet.start()
        return await ProcessSlopes(fleet).run()
    finally:
        await fleet.stop()


def main():
    """Measure all slopes; write ``out/slopes.json``."""
    results = {
        **asyncio.run(process_slopes()),
        **customer_slopes(),
        **server_slopes(),
    }
    table = rich.table.Table("slope", "value")
    for name, value in results.items():
        table.add_row(name, str(value))
    console = rich.console.Console(soft_wrap=True)
    console.print(table)
    results["spread"] = spread_slopes()
    console.print("spread of one change", results["spread"])
    OUT.mkdir(exist_ok=True)
    (OUT / "slopes.json").write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    sys.exit(main())
