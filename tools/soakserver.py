"""Responses of the servers of a soak."""

import asyncio
import time

from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer
from tools.soakcalls import EVENT_COUNT, STREAM_KINDS
from tools.sums import Arrival

__all__ = ["serve"]

EVENT_PAUSE_S = 0.02


async def serve(soak, server, request):
    """Execute a request at a server, with the current server fault.

    :param soak: :class:`~tools.directsoak.DirectSoak`
    :returns: bytes to send, or ``None`` to abort the connection
    """
    key = soak.keys_by_id.get(request.id, "")
    now = time.monotonic()
    soak.arrivals.append(
        Arrival(now, request.id, server.id, key, server.born_ms)
    )
    pause_s = soak.servers.pause(server, request)
    if pause_s:
        fields = [f"{HEADER_NAMES.not_executed}: 1"]
        fields.append(f"Retry-After: {pause_s}")
        status = "503 Service Unavailable"
        return whole_answer(request, b"", status, fields)
    server_fault = soak.server_fault if soak.random.random() < 0.4 else ""
    if server_fault == "refuse":
        fields = [f"{HEADER_NAMES.not_executed}: 1"]
        status = "503 Service Unavailable"
        return whole_answer(request, b"", status, fields)
    executions = soak.executions_by_id.setdefault(request.id, [])
    executions.append(time.monotonic())
    if server_fault == "fail":
        return whole_answer(request, b"", "500 Internal Server Error")
    if server_fault == "cut":
        return None
    if server_fault == "slow":
        await asyncio.sleep(0.5)
    if server_fault == "other":
        response = whole_answer(request, b"of another")
        return response.replace(request.id.encode(), b"another-id")
    kind = request.line.split("/")[1]
    fields = [f"{HEADER_NAMES.server_id}: {server.id}"]
    if server.id in soak.servers.leaving_ids:
        fields.append(f"{HEADER_NAMES.leaving}: 1")
    if kind in STREAM_KINDS:
        return await _stream(soak, server, request, server_fault, fields)
    return whole_answer(request, request.id.encode(), fields=fields)


async def _stream(soak, server, request, server_fault, fields):
    """Stream numbered events; ``midway`` aborts after half of them."""
    last = request.headers.get("last-event-id")
    lines = (
        "HTTP/1.1 200 OK",
        f"{HEADER_NAMES.request_id}: {request.id}",
        f"{HEADER_NAMES.seal}: seal",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        *fields,
    )
    request.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    first = int(last) + 1 if last else 0
    first_event = _event(request, first)
    if await soak.servers.crashes_server(server, request, first_event):
        return None
    for number in range(first, EVENT_COUNT):
        if server_fault == "midway" and number == EVENT_COUNT // 2:
            return None
        request.writer.write(_event(request, number))
        await request.writer.drain()
        await asyncio.sleep(EVENT_PAUSE_S)
    return b"0\r\n\r\n"


def _event(request, number):
    """Return an event of a stream, framed as a chunk."""
    event = f"id: {number}\ndata: {request.id}\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(event), event)
