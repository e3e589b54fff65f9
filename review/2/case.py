"""A part of a prompt crashes each engine that begins to write an answer."""

import asyncio
import os
import pathlib
import sys
import time

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[1] / "lib")]

import harness  # noqa: E402

ROUTERS = 4
BAD_PART = "bad0bad0"
BACK_AFTER_S = 2.0
OBSERVED_S = 30.0
BAD_GAP_S = 0.5
SOUND_GAP_S = 0.1
EVENTS = 4
EVENT_S = 0.05
BUDGET_MS = 4000
# Requests that may still come when the count begins.
ALLOWED = 3
# How much an engine writes before it crashes: nothing, the head, half an event or one.
WRITES = os.environ.get("WRITES", "event")
# What is bad: a part of many prompts, or one request that comes again.
KIND = os.environ.get("KIND", "part")
BAD_BODY = b"bad-body"
CRASHES_BY_KIND = {"part": 5, "request": 3}


class LlmEngine(harness.Engine):
    """Stream events; crash on a bad part of a prompt and come back."""

    def __init__(self, record, name, deployment):
        super().__init__(record, name, "caption-llm", self._stream)
        self.deployment = deployment
        self.crashes = []
        self.bad_arrivals = []
        self.down = False

    async def _stream(self, engine, request_id, path, body, writer):
        parts = self.headers.get("x-boragetrail-prefix-hash", "")
        bad = BAD_PART in parts or body == BAD_BODY
        if bad:
            self.bad_arrivals.append(time.monotonic())
        await asyncio.sleep(0.02)
        if not bad or WRITES != "nothing":
            writer.write(harness.stream_head(request_id))
        event = b"id: 1\ndata: x\n\n"
        if bad:
            if WRITES == "event":
                writer.write(harness.chunk(event))
            elif WRITES == "half":
                writer.write(harness.chunk(event[:8]))
            await writer.drain()
            await asyncio.sleep(0.005)
            self.crash()
            return
        for number in range(1, EVENTS + 1):
            writer.write(harness.chunk(b"id: %d\ndata: x\n\n" % number))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(harness.chunk(b""))

    def crash(self):
        """Close the port and all channels; come back later."""
        if self.down:
            return
        self.down = True
        self.crashes.append(time.monotonic())
        self.record.add(f"{self.name} crashes")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            BACK_AFTER_S, lambda: asyncio.ensure_future(self._come_back())
        )

    async def _come_back(self):
        host, _, port = self.address.partition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        self.born_ms = int(time.time() * 1000)
        self.down = False
        self.deployment.list(self)


async def call(record, router, parts, body, results):
    """Send a request and read its stream."""
    request_id = harness.token()
    try:
        channel = await harness.Channel(record).open(router.callers)
        head = channel.head("POST", "/deck/1", request_id, BUDGET_MS, 8)
        fields = (
            f"X-Boragetrail-Model: m\r\n"
            f"X-Boragetrail-Token-Count: 900,40\r\n"
            f"X-Boragetrail-Prefix-Hash: {parts}\r\n\r\n"
        ).encode()
        record.add(f"send {request_id} {parts} to {router.name}")
        await channel.send(head[:-2] + fields + body)
        got = await channel.answer()
        channel.close()
    except OSError as exc:
        record.add(f"answer {request_id} none, {exc!r}")
        return
    record.add(
        f"answer {request_id} status {got.status}, "
        f"{got.body.count(b'data:')} events "
        f"{'complete' if got.complete else got.error}"
    )
    results.append((body, parts, got))


async def play(record, folder):
    """Send sound and bad requests; count what reaches the engines."""
    deployment = harness.Deployment(record, folder, ROUTERS)
    engines = [LlmEngine(record, f"i-{n}", deployment) for n in range(5)]
    config = harness.configuration(
        1,
        [
            harness.route(
                "deck", "streaming", "caption-llm", BUDGET_MS, sticky=True
            )
        ],
        ["caption-llm"],
    )
    try:
        await deployment.open(config, engines)
        await asyncio.sleep(harness.CONTACT_S + 1.0)
        results = []
        calls = set()
        started_s = time.monotonic()
        bad_due_s = started_s + 2.0
        number = 0
        while time.monotonic() < started_s + OBSERVED_S:
            number += 1
            router = deployment.routers[number % ROUTERS]
            shared = f"5c1e07a{number % 4}:400"
            own = harness.token()[:8]
            parts = f"{shared},{own}:100"
            body = os.urandom(4).hex().encode()
            if harness.TROUBLE and time.monotonic() >= bad_due_s:
                bad_due_s += BAD_GAP_S
                if KIND == "part":
                    parts = f"{shared},{BAD_PART}:300,{own}:100"
                else:
                    body = BAD_BODY
            calls.add(
                asyncio.ensure_future(
                    call(record, router, parts, body, results)
                )
            )
            await asyncio.sleep(SOUND_GAP_S)
        await asyncio.gather(*calls)
        crashes = sorted(at for each in engines for at in each.crashes)
        arrivals = sorted(at for each in engines for at in each.bad_arrivals)
        late = []
        if len(crashes) >= CRASHES_BY_KIND[KIND]:
            bound_s = crashes[CRASHES_BY_KIND[KIND] - 1] + harness.CONTACT_S
            late = [at for at in arrivals if at > bound_s]
        sound = [
            got
            for body, parts, got in results
            if BAD_PART not in parts and body != BAD_BODY
        ]
        whole = sum(got.complete and got.status == 200 for got in sound)
        record.add(
            f"{len(crashes)} crashes, {len(arrivals)} bad requests reached "
            f"engines, {len(late)} of them too late; {whole} of {len(sound)} "
            "sound requests were answered"
        )
        return len(late) <= ALLOWED
    finally:
        await deployment.close()


harness.main(play)
