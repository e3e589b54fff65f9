"""Resumable streams whose events name the software version of their engine."""

import asyncio
import collections
import re
import time

from fleet import NAMES, configuration, route

ZONES = ("a", "b", "c")
SLOTS = 64
EVENTS = 12
EVENT_S = 0.1
DEADLINE_MS = 8000
# Time after the start until the routers know each other.
SETTLE_S = 5.0
# "More than two streams hold events of two software versions."
ALLOWED = 2


async def serve(server, request):
    """Run a stream, from the event after the one that the client has."""
    after = int(request.fields.get("last-event-id") or 0)
    server.fleet.record.add(
        f"{server.name} v{server.version} runs {request.id} after {after}"
    )
    lines = (
        "HTTP/1.1 200 OK",
        f"{NAMES}Attempt-Id: {request.id}",
        f"{NAMES}Response-Seal: seal-{request.id}",
        f"{NAMES}Weight-Versions: 1",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    )
    request.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    source = f"software-{server.version} {server.name}"
    for number in range(after + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {source}\n\n".encode()
        request.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await request.writer.drain()
        await asyncio.sleep(EVENT_S)
    request.writer.write(b"0\r\n\r\n")
    return True


async def start(fleet, engines, routers):
    """Start the store, the engines and the routers."""
    streams = route(
        "resume",
        "streaming",
        "llm",
        resumable=True,
        maxAttempts=2,
        timeoutMs=DEADLINE_MS,
    )
    await fleet.open(configuration([streams], ["llm"]))
    for number in range(engines):
        zone = ZONES[number % len(ZONES)]
        await fleet.add_server(f"i-{number}", "llm", zone, SLOTS, serve)
    await fleet.add_routers(routers, ZONES)
    await asyncio.sleep(SETTLE_S)


async def send_during(fleet, per_s, block):
    """Send streams while a coroutine runs, and 2 s before and after it.

    :returns: the replies, once all have ended
    """
    replies, tasks = [], []

    async def client(router):
        reply = await fleet.call(
            router, "POST", "/resume/x", DEADLINE_MS, b"{}"
        )
        replies.append(reply)

    async def send():
        began_s = time.monotonic()
        while True:
            while len(tasks) < per_s * (time.monotonic() - began_s):
                router = fleet.routers[len(tasks) % len(fleet.routers)]
                tasks.append(asyncio.create_task(client(router)))
            await asyncio.sleep(0.003)

    sender = asyncio.create_task(send())
    await asyncio.sleep(2.0)
    await block
    await asyncio.sleep(2.0)
    sender.cancel()
    await asyncio.gather(*tasks)
    return replies


def breaks_order(fleet, replies):
    """Record what the clients got; return whether ORDER is broken."""
    mixed = 0
    for reply in replies:
        events = re.findall(rb"data: (software-\d+ i-\d+)", reply.body)
        pieces = collections.Counter(each.decode() for each in events)
        versions = {each.split()[0] for each in pieces}
        mixed += len(versions) > 1
        fleet.record.add(
            f"client of {reply.id} got status {reply.status}, "
            f"complete {reply.complete}, events {dict(pieces)}"
            f"{', OF TWO VERSIONS' if len(versions) > 1 else ''}"
        )
    complete = sum(reply.complete for reply in replies)
    summary = (
        f"{len(replies)} streams, {complete} complete, "
        f"{mixed} with events of two software versions, {ALLOWED} allowed"
    )
    fleet.record.add(summary)
    print(summary)
    return mixed > ALLOWED
