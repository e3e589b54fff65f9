"""Requests of a soak and the responses that they should get."""

import asyncio
import time

__all__ = [
    "CALL_KINDS",
    "EVENT_COUNT",
    "STREAM_KINDS",
    "Call",
    "expected_body",
    "slow_body",
]

CALL_KINDS = ("order", "status", "stream", "resume", "chat", "upload")
STREAM_KINDS = frozenset(("stream", "resume", "chat"))
EVENT_COUNT = 12
BODY_CHUNKS = 7
CHUNK_BYTES = 200


class Call:
    """Hold what a caller received for one request.

    :ivar body_sent_s: monotonic time at which all of a body in chunks was
        sent, or ``None``
    :ivar status: HTTP status, or 0 if there was none
    :ivar error: text of the exception if the response was aborted
    :ivar prompt: parts of its prompt, or empty
    :ivar leaving: whether the response said that its server leaves
    :ivar server: id of the server that it named
    """

    __slots__ = (
        "id",
        "kind",
        "router",
        "began_s",
        "body_sent_s",
        "ended_s",
        "status",
        "error",
        "prompt",
        "leaving",
        "server",
    )

    def __init__(self, request_id, kind, router):
        self.id = request_id
        self.kind = kind
        self.router = router
        self.began_s = time.monotonic()
        self.body_sent_s = None
        self.ended_s = 0.0
        self.status = 0
        self.error = ""
        self.prompt = ""
        self.leaving = False
        self.server = ""


async def slow_body(call, took_s):
    """Yield the chunks of a request body over some time.

    :param call: :class:`Call`
    :param took_s: seconds that it takes
    """
    for _ in range(BODY_CHUNKS):
        await asyncio.sleep(took_s / BODY_CHUNKS)
        yield b"x" * CHUNK_BYTES
    call.body_sent_s = time.monotonic()


def expected_body(call):
    """Return the complete body of the response to a call, as text."""
    if call.kind not in STREAM_KINDS:
        return call.id
    events = range(EVENT_COUNT)
    return "".join(f"id: {number}\ndata: {call.id}\n\n" for number in events)
