"""Requests of a soak and the responses that they should get."""

import time

__all__ = [
    "CALL_KINDS",
    "EVENT_COUNT",
    "STREAM_KINDS",
    "Call",
    "expected_body",
]

CALL_KINDS = ("order", "status", "stream", "resume", "chat")
STREAM_KINDS = frozenset(("stream", "resume", "chat"))
EVENT_COUNT = 12


class Call:
    """Hold what a caller received for one request.

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
        self.ended_s = 0.0
        self.status = 0
        self.error = ""
        self.prompt = ""
        self.leaving = False
        self.server = ""


def expected_body(call):
    """Return the complete body of the response to a call, as text."""
    if call.kind not in STREAM_KINDS:
        return call.id
    events = range(EVENT_COUNT)
    return "".join(f"id: {number}\ndata: {call.id}\n\n" for number in events)
