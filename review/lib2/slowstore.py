"""The store of the platform, whose answers may take long."""

import asyncio

import aiohttp.web

from standins.rowstore import RowStore

__all__ = ["SlowStore"]


class SlowStore(RowStore):
    """A store that is up, and slow if a delay is set.

    :ivar delay_s: time that each answer takes; a write is done at its end
    """

    def __init__(self):
        super().__init__()
        self.delay_s = 0.0

    @aiohttp.web.middleware
    async def _faults(self, request, handler):
        if request.method == "POST":
            await asyncio.sleep(self.delay_s)
            return await super()._faults(request, handler)
        response = await super()._faults(request, handler)
        await asyncio.sleep(self.delay_s)
        return response
