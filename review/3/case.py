"""Many users send large bodies at once; the platform limits the memory."""

import asyncio
import pathlib
import sys
import time

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[1] / "lib")]

import harness  # noqa: E402

# limits.memoryMb of an edge machine.
MEMORY_MB = 300
WATCH_S = 0.02
# Just below maxBodyBytes.
BODY = 4_190_000
# 4 Mbit/s for each client.
BYTES_PER_S = 500_000
PIECE_S = 0.05
UPLOADS_PER_S = 20.0
BURST_X = 1.7
BURST_S = 3.0
BUDGET_MS = 12000
STREAMS = 24
# Spreads the streams over the time that one lasts.
STREAM_GAP_S = 0.0375
FIRST_EVENT_S = 0.4
EVENTS = 10
EVENT_S = 0.05
OBSERVED_S = 14.0


async def work(engine, request_id, path, body, writer):
    """Answer a deck after a moment; stream a layout."""
    if path.startswith("/deck/"):
        await asyncio.sleep(0.0225)
        writer.write(harness.whole_answer(request_id, b"%d" % len(body)))
        return
    await asyncio.sleep(FIRST_EVENT_S)
    writer.write(harness.stream_head(request_id))
    for number in range(1, EVENTS + 1):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(harness.chunk(event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(harness.chunk(b""))


def anonymous_mb(pid):
    """Return the memory of a process without pages of files, in MB."""
    for line in open(f"/proc/{pid}/status"):
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kill a process that exceeds its memory, as the pages say."""

    def __init__(self, record):
        self.record = record
        self.peak_mb = 0.0
        self.killed = False

    async def watch(self, router):
        """Watch a router."""
        while router.process.returncode is None:
            try:
                used_mb = anonymous_mb(router.process.pid)
            except OSError:
                return
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self.killed = True
                self.record.add(
                    f"{router.name} uses {used_mb:.0f} MB of {MEMORY_MB}, "
                    "the platform kills it"
                )
                router.kill()
                return
            await asyncio.sleep(WATCH_S)


async def upload(record, router, delay_s):
    """Send a large body over a slow link."""
    await asyncio.sleep(delay_s)
    request_id = harness.token()
    try:
        channel = await harness.Channel(record).open(router.callers)
        answer = asyncio.ensure_future(channel.answer())
        record.add(f"send {request_id} /deck/1 to {router.name}")
        await channel.send(
            channel.head("POST", "/deck/1", request_id, BUDGET_MS, BODY)
        )
        left = BODY
        while left and not answer.done():
            size = min(left, int(BYTES_PER_S * PIECE_S))
            await channel.send(bytes(size))
            left -= size
            await asyncio.sleep(PIECE_S)
    except OSError as exc:
        record.add(f"send {request_id} ended, {exc!r}")
        return
    got = await answer
    channel.close()
    record.add(f"answer {request_id} status {got.status} {got.error}")


async def stream_on(record, router, delay_s, until_s, results):
    """Send streaming requests one after the other on a kept channel."""
    await asyncio.sleep(delay_s)
    try:
        channel = await harness.Channel(record).open(router.callers)
    except OSError:
        return
    kept = False
    while time.monotonic() < until_s:
        request_id = harness.token()
        record.add(f"send {request_id} /layout/1 to {router.name}")
        try:
            await channel.send(
                channel.head("POST", "/layout/1", request_id, BUDGET_MS)
            )
        except OSError:
            return
        got = await channel.answer()
        record.add(
            f"answer {request_id} status {got.status}, "
            f"{got.body.count(b'data:')} of {EVENTS} events {got.error}"
        )
        results.append((request_id, kept, got))
        if not got.complete:
            return
        kept = True
    channel.close()


async def play(record, folder):
    """Let clients upload, and look for streams that are never answered."""
    deployment = harness.Deployment(record, folder)
    engines = [
        harness.Engine(record, f"i-{n}", "caption-llm", work) for n in range(5)
    ]
    config = harness.configuration(
        1,
        [
            harness.route("deck", "non_idempotent", "caption-llm", BUDGET_MS),
            harness.route("layout", "streaming", "caption-llm", BUDGET_MS),
        ],
        ["caption-llm"],
    )
    platform = Platform(record)
    try:
        await deployment.open(config, engines)
        await asyncio.sleep(harness.CONTACT_S + 1.0)
        router = deployment.routers[0]
        watch = asyncio.ensure_future(platform.watch(router))
        per_s = UPLOADS_PER_S * (BURST_X if harness.TROUBLE else 1.0)
        count = round(per_s * BURST_S)
        record.add(f"{count} clients begin to upload in {BURST_S} s")
        results = []
        until_s = time.monotonic() + OBSERVED_S
        await asyncio.gather(
            *(upload(record, router, n / per_s) for n in range(count)),
            *(
                stream_on(record, router, n * STREAM_GAP_S, until_s, results)
                for n in range(STREAMS)
            ),
        )
        watch.cancel()
        run = {each[1] for engine in engines for each in engine.runs}
        cut = [
            (request_id, got)
            for request_id, kept, got in results
            if kept and request_id in run and not got.complete
        ]
        silent = sum(not got.status for _, got in cut)
        record.add(
            f"peak {platform.peak_mb:.0f} MB, killed: {platform.killed}; "
            f"{len(results)} requests of kept channels, {len(cut)} passed on "
            f"and cut, {silent} of these without a byte of an answer"
        )
        return silent <= 3
    finally:
        await deployment.close()


harness.main(play)
