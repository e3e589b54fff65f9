"""Measure deployments as real processes and placement in a simulation."""

import asyncio
import json
import pathlib
import sys
import time

from hdrh.histogram import HdrHistogram
import psutil
import rich.console
import rich.table

from boragetrail.policy import AffinityPlacement
from tools.client import Caller
from tools.deployments import asante_boateng, kowhai
from tools.fleet import Fleet
from tools.policy_loop import LoopSizes, PolicyLoop, placements
from tools.workload import Workload, percentiles_ms

__all__ = ["measure_deployment", "measure_loop", "measure_sweep"]

OUT = pathlib.Path("out")
SEED = 1
IDLE_S = 5.0
STEADY_S = 15.0
ZONE_S = 24.0
ZONE_OUT_AT_S = 6.0
ZONE_IN_AT_S = 14.0
SAMPLE_S = 0.25
CHATS = 80
PROBES = 60
DAEMON_ROLES = ("router", "agent")


class Sampler:
    """Hold samples of the load skew of the engines."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.skews = []
        self.is_running = True

    async def run(self):
        """Sample maximum over mean of the engines' loads until stopped."""
        engines = [
            server.name
            for server in self.fleet.deployment.servers
            if server.kind == "model"
        ]
        while self.is_running:
            dumps = await asyncio.gather(
                *[self.fleet.dump(name) for name in engines]
            )
            loads = [
                dump["server"]["load"] for dump in dumps if _takes_work(dump)
            ]
            mean = sum(loads) / max(1, len(loads))
            if mean >= 1:
                self.skews.append(max(loads) / mean)
            await asyncio.sleep(SAMPLE_S)

    def skew(self):
        """Return the mean and the 99th percentile of the samples."""
        ranked = sorted(self.skews) or [0.0]
        index = int(0.99 * (len(ranked) - 1))
        mean = sum(ranked) / len(ranked)
        return {"mean": round(mean, 3), "p99": round(ranked[index], 3)}


def _takes_work(dump):
    return dump["ready"] and not dump["server"]["out"]


async def usage_by_process(fleet):
    """Return gossip bytes, CPU time and memory of each router and agent."""
    usage = {}
    for name, node in fleet.nodes_by_name.items():
        if node.vm is None:
            continue
        dump = await fleet.dump(name)
        process = psutil.Process(node.process.pid)
        times = process.cpu_times()
        usage[name] = {
            "role": node.vm["role"],
            "sent": dump["gossip"]["sent_bytes"],
            "received": dump["gossip"]["received_bytes"],
            "cpu_s": times.user + times.system,
            "rss_mb": process.memory_info().rss / 1e6,
        }
    return usage


def max_usage_per_s(before, after, seconds):
    """Return the largest usage per second of any process, by role."""
    result = {}
    for role in DAEMON_ROLES:
        names = [n for n, usage in after.items() if usage["role"] == role]
        result[role] = {
            "control bytes/s sent": round(
                max(after[n]["sent"] - before[n]["sent"] for n in names)
                / seconds
            ),
            "control bytes/s received": round(
                max(
                    after[n]["received"] - before[n]["received"] for n in names
                )
                / seconds
            ),
            "cores": round(
                max(after[n]["cpu_s"] - before[n]["cpu_s"] for n in names)
                / seconds,
                4,
            ),
            "rss MB": round(max(after[n]["rss_mb"] for n in names), 1),
        }
    return result


async def run_workload(fleet, seconds, actions=()):
    """Run a workload with delayed actions; return its measures.

    :param actions: pairs of a delay in seconds and a coroutine function
    """
    workload = Workload(fleet, SEED, CHATS)
    sampler = Sampler(fleet)
    sampling = asyncio.create_task(sampler.run())
    started_s = time.monotonic()
    before = await usage_by_process(fleet)
    tasks = [asyncio.create_task(_run_after(*action)) for action in actions]
    measures = await workload.run(seconds)
    await asyncio.gather(*tasks)
    took_s = time.monotonic() - started_s
    sampler.is_running = False
    await sampling
    measures["skew"] = sampler.skew()
    measures["use"] = max_usage_per_s(
        before, await usage_by_process(fleet), took_s
    )
    measures["timeline"] = [
        [
            round(at_s - started_s, 2),
            first_token_s and round(first_token_s, 4),
            is_complete,
        ]
        for at_s, first_token_s, is_complete in workload.timeline
    ]
    return measures


async def _run_after(pause_s, action):
    await asyncio.sleep(pause_s)
    await action()


async def added_latency(fleet):
    """Measure the time to first token through the fleet and without it."""
    engine = next(s for s in fleet.deployment.servers if s.kind == "model")
    key = fleet.key_of("customer-1")
    urls = {
        "direct": fleet.nodes_by_name[f"{engine.name}-backend"].url("main"),
        "through": fleet.router(0).url("callers"),
    }
    histograms = {name: HdrHistogram(1, 60_000_000, 3) for name in urls}
    for number in range(PROBES):
        for name, url in urls.items():
            caller = Caller(fleet.session, url, key)
            message = {"role": "user", "content": f"probe {number} {name}"}
            result = await caller.chat([message], words=2)
            if result.first_token_s is not None:
                first_token_us = int(1e6 * result.first_token_s)
                histograms[name].record_value(first_token_us)
    result = {n: percentiles_ms(each) for n, each in histograms.items()}
    result["added p95 ms"] = round(
        result["through"]["p95"] - result["direct"]["p95"], 1
    )
    return result


async def measure_deployment(deployment):
    """Return all measures of a deployment of real processes."""
    fleet = Fleet(deployment)
    try:
        await fleet.start()
        await run_workload(fleet, 6.0)
        await asyncio.sleep(2.0)
        before = await usage_by_process(fleet)
        await asyncio.sleep(IDLE_S)
        idle = max_usage_per_s(before, await usage_by_process(fleet), IDLE_S)
        latency = await added_latency(fleet)
        steady = await run_workload(fleet, STEADY_S)
        zone = deployment.zones[0]
        zone_out = await run_workload(
            fleet,
            ZONE_S,
            [
                (ZONE_OUT_AT_S, lambda: fleet.set_zone(zone, out=True)),
                (ZONE_IN_AT_S, lambda: fleet.set_zone(zone, out=False)),
            ],
        )
    finally:
        await fleet.stop()
    return {
        "idle": idle,
        "latency": latency,
        "steady": steady,
        "zone leaves and returns": zone_out,
    }


def measure_loop():
    """Return the measures of each placement with few and many servers."""
    few = LoopSizes(5, 3, 25, 240, 20, 1.25)
    many = LoopSizes(88, 330, 690, 20, 4, 1.25)
    many.pause_s, many.long_pause_s, many.turns = 5.0, 20.0, 5
    sizes_by_title = {
        "5 servers, 3 routers": few,
        "88 servers, 330 routers": many,
    }
    return {
        title: {
            name: PolicyLoop(sizes, seed=SEED, **options).run()
            for name, options in placements(SEED).items()
        }
        for title, sizes in sizes_by_title.items()
    }


def measure_sweep():
    """Return reuse and skew of the default placement by cap multiple."""
    result = {}
    for multiple in (1.05, 1.1, 1.25, 1.5, 2.0, 4.0):
        sizes = LoopSizes(5, 3, 25, 240, 20, multiple)
        loop = PolicyLoop(sizes, AffinityPlacement(), seed=SEED)
        result[multiple] = loop.run()
    return result


def show(results):
    """Print the results as tables."""
    console = rich.console.Console(soft_wrap=True)
    for title in ("kowhai", "asante-boateng"):
        table = rich.table.Table("measure", "steady", "zone out and in")
        steady = results[title]["steady"]
        zone_out = results[title]["zone leaves and returns"]
        for name in steady:
            if name != "timeline":
                table.add_row(name, str(steady[name]), str(zone_out[name]))
        console.print(title, results[title]["latency"], table)
        console.print("idle", results[title]["idle"])
    for title, runs in results["loop"].items():
        names = list(next(iter(runs.values())))
        table = rich.table.Table("placement", *names)
        for name, run in runs.items():
            table.add_row(name, *[str(run[each]) for each in names])
        console.print(title, table)
    console.print("cap multiples", results["sweep"])


def main():
    """Measure everything; write ``out/measure.json``."""
    results = {
        "kowhai": asyncio.run(measure_deployment(kowhai())),
        "asante-boateng": asyncio.run(measure_deployment(asante_boateng())),
        "loop": measure_loop(),
        "sweep": measure_sweep(),
    }
    OUT.mkdir(exist_ok=True)
    (OUT / "measure.json").write_text(json.dumps(results, indent=1))
    show(results)
    try:
        from tools.plots import plot_all
    except ImportError:
        print("no plots: matplotlib is missing, install the extra 'plots'")
    else:
        plot_all(results, OUT)


if __name__ == "__main__":
    sys.exit(main())
