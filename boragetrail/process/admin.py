"""Administration port of a process."""

import aiohttp.web
import aioprometheus

__all__ = ["AdminServer"]


class AdminServer:
    """Serve health checks, metrics, the state dump and data for peers.

    :param process: :class:`~boragetrail.process.base.Process`
    """

    def __init__(self, process):
        self.process = process
        self.runner = None

    async def open(self, host, port):
        """Listen on the port."""
        app = aiohttp.web.Application()
        app.add_routes(
            [
                aiohttp.web.get("/health/live", self._live),
                aiohttp.web.get("/health/ready", self._ready),
                aiohttp.web.get("/metrics", self._metrics),
                aiohttp.web.get("/dump", self._dump),
                aiohttp.web.get("/members", self._members),
                aiohttp.web.get("/configuration", self._configuration),
            ]
        )
        app.add_routes(self.process.admin_routes())
        self.runner = aiohttp.web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, host, port).start()

    async def close(self):
        """Stop listening."""
        await self.runner.cleanup()

    async def _live(self, request):
        return aiohttp.web.json_response({"live": True})

    async def _ready(self, request):
        ready = self.process.is_ready()
        status = 200 if ready else 503
        return aiohttp.web.json_response({"ready": ready}, status=status)

    async def _metrics(self, request):
        self.process.update_metrics()
        accept = request.headers.getall("Accept", [])
        body, headers = aioprometheus.render(aioprometheus.REGISTRY, accept)
        return aiohttp.web.Response(body=body, headers=headers)

    async def _dump(self, request):
        return aiohttp.web.json_response(self.process.dump())

    async def _members(self, request):
        members = self.process.members()
        return aiohttp.web.json_response({"members": members})

    async def _configuration(self, request):
        service = request.query.get("service", "")
        body = self.process.snapshot_for(service)
        return aiohttp.web.Response(body=body, content_type="application/cbor")
