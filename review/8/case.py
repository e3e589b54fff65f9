"""Streams are not taken up again once routers were replaced often."""

import asyncio
import pathlib
import re

from review.lib2 import harness
from review.lib2.engine import Engine
from review.lib2.traffic import prompt

FOLDER = pathlib.Path(__file__).parent
HOSTS = ["127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.1.4"]
ZONES = ["chc-a", "chc-a", "chc-b", "dun-c"]
# Machines that were replaced before, by others at new addresses.
REPLACED = 64
BATCH = 8
STREAMS = 24
EVENTS = 15
EVENT_S = 0.1
# Time after the start of the routers of today, and after that of the one that
# is stopped and started.
WAIT_S = 33.0
RESTARTED_S = 12.0
DEADLINE_MS = 3000
RETRIES = 1


def make_router(case, name, zone, host, ports):
    """Return a router with seeds of today."""
    return harness.Router(
        name,
        zone,
        host,
        ports[0],
        ports[1:],
        case.store.address,
        [f"{each}:{ports[0]}" for each in HOSTS[:3]],
    )


async def replace_machines(case, folder, ports, hosts):
    """Run machines that are replaced: each is lost after its start."""
    for first in range(0, len(hosts), BATCH):
        routers = [
            make_router(case, f"replaced-{host}", "chc-a", host, ports)
            for host in hosts[first : first + BATCH]
        ]
        case.routers.extend(routers)
        for router in routers:
            router.settings["first_start"] = first == 0
            await router.start(folder)
        for router in routers:
            await router.until_ready()
        await asyncio.sleep(1.0)
        for router in routers:
            await router.end()
            case.routers.remove(router)
    rows = [key for table, key in case.store.rows_by_key if table == "routers"]
    case.record.say(f"{len(hosts)} machines were replaced; rows: {len(rows)}")


async def follow(case, router, others, number, results):
    """Read a stream, and take it up again if its channel breaks."""
    attempt_id = f"locale-{number}"
    fields = {
        "X-Boragetrail-Model": "m",
        "X-Boragetrail-Token-Count": "2401,48",
        "X-Boragetrail-Prefix-Hash": prompt(number),
    }
    path = f"/locale-pass/{number}"
    body = b"x" * 400
    answer = await harness.call(
        router.callers, path, attempt_id, DEADLINE_MS, fields, body
    )
    results[number] = [answer]
    events = answer.body.count(b"\n\n")
    case.record.add(
        f"{attempt_id} at {router.name}: {answer.status}, {events} events,"
        f" complete {answer.complete}"
    )
    if answer.complete or not events:
        return
    deadline_ms = int(DEADLINE_MS - 1000 * answer.took_s)
    for again in range(RETRIES):
        if deadline_ms < 300:
            return
        at = others[(number + again) % len(others)]
        resumed = await harness.call(
            at.callers,
            path,
            f"{attempt_id}-{again}",
            deadline_ms,
            {**fields, "Last-Event-Id": events, "Resumes": attempt_id},
            body,
        )
        results[number].append(resumed)
        match = re.search(rb"(?i)retry-after: ([0-9.]+)", resumed.head)
        wait_s = float(match[1]) if match else 0.0
        case.record.add(
            f"{attempt_id} is taken up at {at.name}: {resumed.status}"
            f" {resumed.body[:90]!r} retry after {wait_s}"
        )
        if resumed.status == 200:
            return
        deadline_ms -= int(1000 * resumed.took_s)
        # Clients honour it up to one third of the time they have left.
        wait_s = min(wait_s, deadline_ms / 3000.0)
        await asyncio.sleep(wait_s)
        deadline_ms -= int(1000 * wait_s)


async def main(case, folder):
    """Play the case; returns 1 if the rule was broken."""
    record = case.record
    replaced = [f"127.0.3.{number + 1}" for number in range(REPLACED)]
    ports = harness.free_ports(HOSTS + replaced, 4)
    await case.store.open()
    routes = [
        harness.route(
            "locale-pass",
            "streaming",
            "caption-llm",
            timeoutMs=3000,
            gapTargetMs=400,
            sticky=True,
            resumable=True,
            maxAttempts=2,
        )
    ]
    services = [harness.service("caption-llm", backend={"kvCapacity": 366003})]
    first = harness.configuration(10, routes, services)
    case.store.put("op", "config", first)
    for number in range(4):
        engine = Engine(
            case,
            f"i-{number}",
            "caption-llm",
            ZONES[number],
            events=EVENTS,
            event_s=EVENT_S,
            version=("v1", "v2")[number % 2],
        )
        await engine.open()
        engine.list()
    if harness.trouble():
        await replace_machines(case, folder, ports, replaced)
    for number, host in enumerate(HOSTS):
        router = make_router(
            case, f"router-{number}", ZONES[number], host, ports
        )
        case.routers.append(router)
        router.settings["first_start"] = not harness.trouble()
        await router.start(folder)
    for router in case.routers:
        await router.until_ready()
    await asyncio.sleep(WAIT_S)
    await harness.show_sizes(case)
    last = case.routers[-1]
    record.say(f"{last.name} is stopped and started")
    last.terminate()
    await last.process.wait()
    last.settings["first_start"] = False
    await last.start(folder)
    await last.until_ready()
    await asyncio.sleep(RESTARTED_S)
    await harness.show_sizes(case)
    results = {}
    first, *others = case.routers
    tasks = []
    for number in range(STREAMS):
        tasks.append(case.start(follow(case, first, others, number, results)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.4)
    record.say(f"{first.name} is killed")
    await first.end()
    await asyncio.gather(*tasks)
    begun = [each for each in results.values() if each[0].status == 200]
    taken_up = [each for each in begun if len(each) > 1]
    went_on = [each for each in taken_up if each[-1].status == 200]
    record.say(
        f"{len(begun)} of {len(results)} streams began; {len(taken_up)} were"
        f" taken up again, and {len(went_on)} of them went on"
    )
    if len(taken_up) < 12:
        record.say("too few streams were taken up again: not the case")
        return 2
    share = len(went_on) / len(taken_up)
    if share < 0.5 * len(begun) / len(results):
        record.say("LOST is broken")
        return 1
    record.say("LOST held")
    return 0


if __name__ == "__main__":
    harness.run(FOLDER, main)
