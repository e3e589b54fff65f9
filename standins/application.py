"""Test double of an application server that counts executions."""

import asyncio
import collections
import hashlib

import aiohttp.web

from standins.faults import Faults

__all__ = ["Application", "make_app"]


class Application:
    """Hold the number of executions of each order.

    Any request is executed as its query parameters say: ``order`` is the
    name that is counted, ``delay_ms`` the duration, ``size`` the number of
    bytes of a generated response and ``status`` the status of the response.
    """

    def __init__(self, name):
        self.name = name
        self.counts = collections.Counter()
        self.finished = collections.Counter()

    def routes(self):
        """Return the routes of the application server."""
        return [
            aiohttp.web.get("/executions", self._executions),
            aiohttp.web.route("*", "/{path:.*}", self._run),
        ]

    async def _executions(self, request):
        return aiohttp.web.json_response(dict(self.counts))

    async def _run(self, request):
        body = await request.read()
        query = request.query
        order = query.get("order", "")
        if order:
            self.counts[order] += 1
        await asyncio.sleep(int(query.get("delay_ms", "0")) / 1000)
        status = int(query.get("status", "200"))
        if "size" in query:
            return await self._generated_response(
                request, int(query["size"]), status
            )
        response = {
            "server": self.name,
            "order": order,
            "execution": self.counts[order],
            "method": request.method,
            "path": request.path,
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        return aiohttp.web.json_response(response, status=status)

    async def _generated_response(self, request, size, status):
        response = aiohttp.web.StreamResponse(status=status)
        response.content_type = "application/octet-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for begin in range(0, size, 16_384):
            length = min(16_384, size - begin)
            await response.write(
                bytes((begin + i) % 251 for i in range(length))
            )
        await response.write_eof()
        return response


def make_app(name):
    """Return the web application of an application server."""
    faults = Faults()
    app = aiohttp.web.Application(
        middlewares=[faults.middleware], client_max_size=1 << 28
    )
    app.add_routes(faults.routes())
    app.add_routes(Application(name).routes())
    return app
