"""Requests whose body is on its way while their router is stopped."""

import asyncio
import pathlib
import sys
import time

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[1] / "lib")]

import harness  # noqa: E402

BODY = 100_000
PIECE = 5_000
PIECE_S = 0.02
CLIENTS = 20
START_GAP_S = 0.2
BUDGET_MS = 12000


async def work(engine, request_id, path, body, writer):
    """Answer a moment after the body was read."""
    await asyncio.sleep(0.0225)
    writer.write(harness.whole_answer(request_id, b"%d" % len(body)))


async def upload(record, router, channel, delay_s, results):
    """Send a request over a slow link on a kept channel."""
    await asyncio.sleep(delay_s)
    request_id = harness.token()
    head = channel.head("POST", "/deck/1", request_id, BUDGET_MS, BODY)
    record.add(f"send {request_id} to {router.name}, the head")
    reading = asyncio.ensure_future(channel.answer())
    port = channel.local_port()
    try:
        await channel.send(head)
        for _ in range(BODY // PIECE):
            if reading.done():
                break
            await channel.send(b"x" * PIECE)
            await asyncio.sleep(PIECE_S)
    except OSError as exc:
        record.add(f"send {request_id} ended, {exc!r}")
    sent_s = time.monotonic()
    unread = harness.unread_bytes(router.callers, port)
    if not reading.done():
        record.add(
            f"send {request_id} all sent, {unread} bytes not read by the router"
        )
    got = await reading
    after_s = got.ended_s - sent_s
    record.add(
        f"answer {request_id} status {got.status} "
        f"{'complete' if got.complete else 'none, ' + got.error} "
        f"{after_s:.3f} s after the last byte"
    )
    results.append((request_id, got, after_s, unread))


async def play(record, folder):
    """Stop a router while clients send bodies; return whether none is lost."""
    deployment = harness.Deployment(record, folder)
    engines = [
        harness.Engine(record, f"i-{n}", "order-desk", work) for n in range(3)
    ]
    config = harness.configuration(
        1,
        [harness.route("deck", "non_idempotent", "order-desk", BUDGET_MS)],
        ["order-desk"],
    )
    try:
        await deployment.open(config, engines)
        await asyncio.sleep(harness.CONTACT_S + 1.0)
        router = deployment.routers[0]
        channels = []
        for _ in range(CLIENTS):
            channel = harness.Channel(record)
            channels.append(await channel.open(router.callers))
        # Each channel carries a request, so that it is a kept one.
        for channel in channels:
            await channel.send(
                channel.head("POST", "/deck/1", harness.token(), 1000)
            )
            first = await channel.answer()
            if first.status != 200:
                raise harness.NotRunnable(f"status {first.status}")
        if harness.TROUBLE:
            router.terminate()
        results = []
        uploads = [
            upload(record, router, channel, START_GAP_S * n, results)
            for n, channel in enumerate(channels)
        ]
        await asyncio.gather(*uploads)
        lost = [
            request_id
            for request_id, got, after_s, unread in results
            if not got.complete
            and unread == 0
            and after_s > harness.LOSS_SLACK_S
        ]
        record.add(f"{len(results)} sent, lost: {lost}")
        return not lost
    finally:
        await deployment.close()


harness.main(play)
