"""A part of a prompt crashes engines some events into their answers."""

import asyncio
import os
import pathlib
import sys
import time

from fleet import KEY, NAMES, configuration, reset, route, run

ROUTERS = 4
ZONES = ("a", "b", "c")
ENGINES = 5
SLOTS = 64
BAD_PART = "bad0bad0"
COMMON_PART = "c0330000"
BAD_GAP_S = 0.5
SOUND_GAP_S = 0.1
EVENTS = 24
EVENT_S = 0.05
# An engine crashes after so many events of an answer on the bad part.
CRASH_AFTER = 9
BACK_AFTER_S = 2.0
OBSERVED_S = 30.0
DEADLINE_MS = 4000
CONTACT_S = 3.0
CRASHES = 5
# "More than three requests with a part that crashes engines".
ALLOWED = 3


class Engines:
    """Serve streams and crash on the bad part.

    :ivar crashed_s: monotonic times of the crashes
    :ivar arrived: (time, id) of the requests with the bad part
    """

    def __init__(self):
        self.crashed_s = []
        self.arrived = []
        self.tasks = []

    async def serve(self, server, request):
        """Run a stream."""
        parts = request.fields.get("x-boragetrail-prefix-hash", "")
        is_bad = BAD_PART in parts
        server.fleet.record.add(
            f"{server.name} runs {request.id}{' with the part' * is_bad}"
        )
        if is_bad:
            self.arrived.append((time.monotonic(), request.id))
        lines = (
            "HTTP/1.1 200 OK",
            f"{NAMES}Attempt-Id: {request.id}",
            f"{NAMES}Response-Seal: seal-{request.id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        await asyncio.sleep(0.02)
        request.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request.id}\n\n".encode()
            request.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await request.writer.drain()
            await asyncio.sleep(EVENT_S)
            if is_bad and number == CRASH_AFTER:
                self.crash(server)
                reset(request.writer)
                return False
        request.writer.write(b"0\r\n\r\n")
        return True

    def crash(self, server):
        """Crash an engine, and start it again later."""
        if server.is_down:
            return
        self.crashed_s.append(time.monotonic())
        server.is_down = True
        server.crash()
        self.tasks.append(asyncio.create_task(self._start_again(server)))

    async def _start_again(self, server):
        await asyncio.sleep(BACK_AFTER_S)
        await server.start()
        server.is_down = False


async def main(fleet, trouble):
    """Return whether the rule was broken."""
    chat = route(
        "chat", "streaming", "llm", sticky=True, timeoutMs=DEADLINE_MS
    )
    await fleet.open(configuration([chat], ["llm"]))
    engines = Engines()
    for number in range(ENGINES):
        zone = ZONES[number % len(ZONES)]
        server = await fleet.add_server(
            f"i-{number}", "llm", zone, SLOTS, engines.serve
        )
        server.is_down = False
    await fleet.add_routers(ROUTERS, ZONES)
    await asyncio.sleep(5.0)
    sound, bad = [], []
    tasks = []

    async def send(replies, part, number):
        request_id = fleet.new_id()
        parts = f"{COMMON_PART}:800,{part}:200,{request_id}:50"
        reply = await fleet.call(
            fleet.routers[number % ROUTERS],
            "POST",
            "/chat/x",
            DEADLINE_MS,
            request_id.encode(),
            [f"{NAMES}Prefix-Hash: {parts}", f"{NAMES}Token-Count: 1050,120"],
            request_id=request_id,
        )
        replies.append(reply)
        fleet.record.add(
            f"{KEY} {part} {request_id} gets {reply.status} "
            f"complete {reply.complete} {reply.error}"
        )

    async def send_all(replies, part, gap_s):
        number = 0
        while True:
            each = f"{part}{number % 7}" if part != BAD_PART else part
            tasks.append(asyncio.create_task(send(replies, each, number)))
            number += 1
            await asyncio.sleep(gap_s)

    senders = [asyncio.create_task(send_all(sound, "50d0", SOUND_GAP_S))]
    await asyncio.sleep(2.0)
    if trouble:
        sender = send_all(bad, BAD_PART, BAD_GAP_S)
        senders.append(asyncio.create_task(sender))
    await asyncio.sleep(OBSERVED_S)
    for task in senders:
        task.cancel()
    await asyncio.gather(*tasks)
    crashes = sorted(engines.crashed_s)
    late = []
    if len(crashes) >= CRASHES:
        from_s = crashes[CRASHES - 1] + CONTACT_S
        late = [each for at_s, each in engines.arrived if at_s > from_s]
    complete = sum(reply.complete for reply in sound)
    summary = (
        f"{len(crashes)} crashes; {len(engines.arrived)} requests with the "
        f"part reached engines, {len(late)} of them too late, {ALLOWED} "
        f"allowed; {complete} of {len(sound)} sound requests answered, "
        f"{sum(reply.status == 503 for reply in sound)} refused"
    )
    fleet.record.add(f"too late: {late}")
    fleet.record.add(summary)
    print(summary)
    return len(late) > ALLOWED


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = pathlib.Path(__file__).with_name("record.txt")
    sys.exit(run(main, trouble, record))
