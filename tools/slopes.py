"""Measure the costs per unit that docs/CAPACITY.md is based on."""

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
CONCURRENT_STREAMS = 12


def slope(sizes, values):
    """Return the slope of the regression line through the points."""
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
    profile = {"step_s": 0.002, "step_each_s": 0.0, "slots": 64}
    return Deployment(
        "r",
        ["z1"],
        [RouterSpec("router-1", "z1")],
        [
            ServerSpec("model-0", "z1", "model", "model", **profile),
            ServerSpec("app-0", "z1", "app", "application"),
        ],
        services,
    )


class ProcessSlopes:
    """Hold the fleet whose router and agents are measured."""

    def __init__(self, fleet):
        self.fleet = fleet
        url = fleet.router(0).url("callers")
        key = fleet.key_of("customer-1")
        self.caller = Caller(fleet.session, url, key)

    async def run(self):
        """Return the costs per token, request, order and connection."""
        # The agent limits the concurrency of a cold engine. Streams that run
        # one after the other warm it up for the measurements.
        for _ in range(4):
            await self._stream(100, 1)
        tokens = await self._measure_sizes(self._tokens, (2000, 6000, 12000))
        requests = await self._measure_sizes(self._requests, (200, 500, 1000))
        orders = await self._measure_sizes(self._orders, (100, 200, 400))
        memory = await self._connections((100, 300, 600))
        return {
            "router us/token": self._slope_per_unit(tokens, "router-1"),
            "agent us/token": self._slope_per_unit(tokens, "model-0"),
            "router us/request": self._slope_per_unit(requests, "router-1"),
            "agent us/request": self._slope_per_unit(requests, "app-0"),
            "router us/order": self._slope_per_unit(orders, "router-1"),
            "agent us/order": self._slope_per_unit(orders, "app-0"),
            "table rows/order": self._slope_per_unit(orders, "rows", 1.0),
            "table transactions/order": self._slope_per_unit(
                orders, "transactions", 1.0
            ),
            "agent KB/connection": round(memory, 2),
        }

    def _slope_per_unit(self, points, name, factor=1e6):
        sizes = [size for size, _ in points]
        values = [factor * values[name] for _, values in points]
        return round(slope(sizes, values), 2)

    async def _measure_sizes(self, action, sizes):
        points = []
        for size in sizes:
            before = await self._read_usage()
            await action(size)
            after = await self._read_usage()
            usage = {name: after[name] - before[name] for name in after}
            points.append((size, usage))
        return points

    async def _read_usage(self):
        usage = {}
        for name in ("router-1", "model-0", "app-0"):
            pid = self.fleet.nodes_by_name[name].process.pid
            times = psutil.Process(pid).cpu_times()
            usage[name] = times.user + times.system
        url = f"{self.fleet.nodes_by_name['table'].url('main')}/counts"
        return {**usage, **await self.fleet.get_json(url)}

    async def _tokens(self, count):
        await self._stream(count, CONCURRENT_STREAMS)

    async def _stream(self, count, concurrency):
        words = max(1, count // concurrency)
        message = {"role": "user", "content": f"stream {time.monotonic()}"}
        results = await asyncio.gather(
            *[
                self.caller.chat([message], chat_id=f"c{n}", words=words)
                for n in range(concurrency)
            ]
        )
        problems = [each.problem for each in results if not each.is_complete]
        if problems:
            raise RuntimeError(f"incomplete streams: {problems[:1]}")

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
            key_prefix = f"{time.monotonic()}-{begin}"
            await asyncio.gather(
                *[
                    self.caller.request(
                        "POST", "/services/app/o", b"x", f"{key_prefix}-{n}"
                    )
                    for n in range(10)
                ]
            )
        await asyncio.sleep(0.5)

    async def _connections(self, sizes):
        node = self.fleet.nodes_by_name["model-0"]
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
    """Return the memory and CPU time that each customer adds to a router."""
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
        started_s = time.perf_counter()
        for value in doc.entities_by_kind["binding"].values():
            doc.get("service", value["service"])
        index = dict(index)
        took_s = time.perf_counter() - started_s
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
    """Return the time that each server adds to a placement."""
    points = []
    for size in sizes:
        table = LoadTable(lambda: 0.0)
        for n in range(size):
            table.merge(LoadEntry(f"s{n}", "i", 1, 5, 1.0, 0, 0.0))
        placement = AffinityPlacement()
        started_s = time.perf_counter()
        for number in range(50):
            table.totals()
            candidates = [Candidate(f"s{n}", load=5) for n in range(size)]
            placement.order(PlacementRequest(f"chat-{number}"), candidates)
        points.append((size, (time.perf_counter() - started_s) / 50 * 1e6))
    return {"router us/request/server": round(slope(*zip(*points)), 2)}


def measure_propagation(sizes=((30, 130), (110, 470), (330, 1400))):
    """Simulate how a change reaches all processes of fleets of some sizes.

    :param sizes: pairs of the number of routers and the number of agents
    :returns: dictionary of delay, bytes and reach by size of the fleet
    """
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
        reached_ratio = _ratio_at_version(simulation, 1)
        rounds = 0
        while simulation.versions() != {1} and rounds < 40:
            simulation.run_round()
            rounds += 1
        result[f"{routers} + {agents}"] = {
            "idle bytes/s a process": round(idle),
            "pushed bytes a process": round(pushed / (routers + agents)),
            "reached by pushes": round(reached_ratio, 4),
            "seconds to all": rounds * 0.5,
        }
    return result


def _ratio_at_version(simulation, version):
    nodes = simulation.nodes.values()
    count = sum(1 for node in nodes if node.doc.version == version)
    return count / len(simulation.nodes)


async def process_slopes():
    """Start the small deployment and return its costs per unit."""
    fleet = Fleet(small_deployment())
    try:
        await fleet.start()
        return await ProcessSlopes(fleet).run()
    finally:
        await fleet.stop()


def main():
    """Measure all costs per unit; write ``out/slopes.json``."""
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
    results["spread"] = measure_propagation()
    console.print("spread of one change", results["spread"])
    OUT.mkdir(exist_ok=True)
    (OUT / "slopes.json").write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    sys.exit(main())
