"""Faults that can be injected into every test double."""

import asyncio

import aiohttp.web

__all__ = ["Faults", "serve"]


class Faults:
    """Hold the faults that are in effect.

    :ivar down: every request gets status 503
    :ivar silent: requests get no response
    :ivar slow_s: delay of each response in seconds
    :ivar lose_answers: number of further writes that take effect but whose
        connection is aborted before the response
    """

    def __init__(self):
        self.down = False
        self.silent = False
        self.slow_s = 0.0
        self.lose_answers = 0

    def routes(self):
        """Return the route that sets faults."""
        return [aiohttp.web.post("/fault", self._set)]

    async def _set(self, request):
        for name, value in (await request.json()).items():
            if not hasattr(self, name):
                raise aiohttp.web.HTTPBadRequest(
                    text=f"unknown fault {name!r}"
                )
            setattr(self, name, value)
        return aiohttp.web.json_response(vars(self))

    @aiohttp.web.middleware
    async def middleware(self, request, handler):
        """Apply the faults to every route but the one that sets them."""
        if request.path == "/fault":
            return await handler(request)
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.silent:
            await asyncio.sleep(3600)
        if self.down:
            return aiohttp.web.Response(status=503)
        response = await handler(request)
        if request.method != "GET" and self.lose_answers > 0:
            self.lose_answers -= 1
            request.transport.abort()
        return response


async def serve(app, port):
    """Serve an application on loopback until cancelled."""
    runner = aiohttp.web.AppRunner(app, access_log=None)
    await runner.setup()
    await aiohttp.web.TCPSite(runner, "127.0.0.1", port, backlog=512).start()
    await asyncio.Event().wait()
