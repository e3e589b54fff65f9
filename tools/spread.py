"""Measure the propagation of changes to many processes in an outage."""

import asyncio
import json
import pathlib
import sys
import time
import uuid

import typer

from boragetrail.operators import operator_pb2 as pb
from tools.deployments import Deployment, RouterSpec, ServerSpec
from tools.fleet import Fleet
from tools.measure import max_usage_per_s, usage_by_process

__all__ = ["main"]

OUT = pathlib.Path("out")
ZONES = ["z1", "z2", "z3"]
CHANGES = 5
TARGET_S = 4.0
IDLE_S = 10.0
CONCURRENT_DUMPS = 16


def deployment(routers, agents):
    """Return a deployment whose agents share one backend server."""
    services = {"app": {"kind": "application", "zones": ZONES, "slots": 64}}
    servers = [
        ServerSpec(f"app-{n}", ZONES[n % 3], "app", "application")
        for n in range(agents)
    ]
    specs = [RouterSpec(f"router-{n}", ZONES[n % 3]) for n in range(routers)]
    result = Deployment("r", ZONES, specs, servers, services)
    result.customers = result.customers[:2]
    return result


async def measure(routers, agents):
    """Return the delays of changes with the store up and with it down."""
    fleet = Fleet(deployment(routers, agents), share_backend=True)
    fleet.ready_timeout_s = 180.0
    try:
        await fleet.start()
        await asyncio.sleep(5.0)
        before = await usage_by_process(fleet)
        await asyncio.sleep(IDLE_S)
        idle = max_usage_per_s(before, await usage_by_process(fleet), IDLE_S)
        up = [await _change_delay(fleet, False) for _ in range(CHANGES)]
        down = []
        for _ in range(CHANGES):
            down.append(await _change_delay(fleet, True))
            await asyncio.sleep(2.0)
            await fleet.set_faults("table", down=False)
            await asyncio.sleep(2.0)
    finally:
        await fleet.stop()
    return {
        "routers": routers,
        "agents": agents,
        "idle": idle,
        "seconds to all, store up": up,
        "seconds to all, store down after the commit": down,
    }


async def _change_delay(fleet, store_goes_down):
    loop = asyncio.get_running_loop()
    request = pb.ZoneRequest(
        zone="z3",
        out=not fleet.is_zone_out,
        change_id=str(uuid.uuid4()),
        author="spread",
    )
    fleet.is_zone_out = request.out
    stub = fleet.stub(0)
    reply = await loop.run_in_executor(None, stub.SetZone, request)
    started_s = time.monotonic()
    if store_goes_down:
        await fleet.set_faults("table", down=True)
    # A process that has the version is not polled again.
    missing = {node.name for node in fleet.nodes_by_name.values() if node.vm}
    while missing and time.monotonic() - started_s < 30.0:
        names = list(missing)
        for begin in range(0, len(names), CONCURRENT_DUMPS):
            batch = names[begin : begin + CONCURRENT_DUMPS]
            dumps = await asyncio.gather(*[fleet.dump(n) for n in batch])
            for name, dump in zip(batch, dumps):
                if dump["configuration"]["version"] >= reply.version:
                    missing.discard(name)
    return round(time.monotonic() - started_s, 2)


def run(routers: int = 40, agents: int = 60):
    """Measure and write ``out/spread.json``."""
    result = asyncio.run(measure(routers, agents))
    OUT.mkdir(exist_ok=True)
    text = json.dumps(result, indent=1)
    (OUT / "spread.json").write_text(text)
    print(text)
    delays = [each for name in result for each in _delays(result[name])]
    sys.exit(1 if max(delays) > TARGET_S else 0)


def _delays(value):
    return value if isinstance(value, list) else []


def main():
    """Run the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
