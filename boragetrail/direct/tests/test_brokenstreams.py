"""Tests of streams whose next server answers with an error."""

import aiohttp
import pytest

from boragetrail.direct.tests.test_path import EVENTS, stream_of
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer

ERROR_TEXT = b"the model is not loaded"
STATUSES = [
    "500 Internal Server Error",
    "503 Service Unavailable",
    "404 Not Found",
    "429 Too Many Requests",
    "302 Found",
]


def answer(status, text, *fields):
    """Return a handler that answers with a status and a length."""

    async def respond(request):
        return whole_answer(request, text, status, fields)

    return respond


def answer_in_chunks(status, text, end=True):
    """Return a handler that answers with a status, in chunks."""

    async def respond(request):
        head = [
            f"HTTP/1.1 {status}",
            f"{HEADER_NAMES.request_id}: {request.id}",
            f"{HEADER_NAMES.seal}: seal",
            "Content-Type: text/plain",
            "Transfer-Encoding: chunked",
        ]
        request.writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        request.writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        return b"0\r\n\r\n" if end else None

    return respond


def answer_to_the_end(status, text):
    """Return a handler whose answer ends with its connection."""

    async def respond(request):
        head = [
            f"HTTP/1.1 {status}",
            f"{HEADER_NAMES.request_id}: {request.id}",
            f"{HEADER_NAMES.seal}: seal",
            "Connection: close",
        ]
        request.writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + text)
        await request.writer.drain()
        request.writer.close()
        return b""

    return respond


NOT_EXECUTED = f"{HEADER_NAMES.not_executed}: 1"
ANSWERS = [
    *[answer(status, ERROR_TEXT) for status in STATUSES],
    *[answer(status, b"") for status in STATUSES],
    *[answer_in_chunks(status, ERROR_TEXT) for status in STATUSES],
    *[answer_to_the_end(status, ERROR_TEXT) for status in STATUSES],
    answer("503 Service Unavailable", ERROR_TEXT, NOT_EXECUTED),
    answer("421 Misdirected Request", ERROR_TEXT),
    # A success that is no stream of events.
    answer("200 OK", ERROR_TEXT, "Content-Type: application/json"),
    answer_in_chunks("200 OK", ERROR_TEXT),
    answer_in_chunks("200 OK", ERROR_TEXT, end=False),
    answer_to_the_end("200 OK", ERROR_TEXT),
]


class TestErrorAfterABegunStream:
    """A stream breaks off, and the next server answers with an error."""

    # Guards against an error's text in a stream (ORDER, MIXED), and against a
    # stream that ends as if it were complete.
    @pytest.mark.parametrize("respond", ANSWERS)
    async def test_stream_ends_broken(self, cluster, respond):
        daemon = await cluster.add_router()
        begun = []

        async def begin_or_respond(request):
            if begun:
                return await respond(request)
            begun.append(request.id)
            return await stream_of(*EVENTS[:2], abort_after=True)(request)

        for server in cluster.servers:
            server.default = begin_or_respond
        received = b""
        async with cluster.request(daemon, "/resume/1") as response:
            assert response.status == 200
            with pytest.raises(aiohttp.ClientPayloadError):
                async for data in response.content.iter_any():
                    received += data
        assert received == b"".join(EVENTS[:2])
