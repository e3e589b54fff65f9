"""Client of the platform's model engines."""

import asyncio
import contextlib
import json

import aiohttp

from boragetrail.direct.interfaces import (
    CacheContent,
    EngineClient,
    EngineReport,
)
from boragetrail.events import Event, log_event
from boragetrail.platform.decode import DECODE_ERRORS
from boragetrail.platform.names import HEADER_NAMES
from boragetrail.utils import join_address
from boragetrail.utils.responses import read_body

__all__ = ["PlatformEngineClient"]

QUERY_TIMEOUT_S = 1.0
OK_STATUS = 200
# Whatever else may be wrong with a response.
QUERY_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    IndexError,
    *DECODE_ERRORS,
)
# Limits on a response, and on the queries at a time, so that all of them
# together need little memory.
MAX_BODY_BYTES = 1024 * 1024
MAX_QUERIES = 8


class PlatformEngineClient(EngineClient):
    """Client that queries engines for what they cache and their state.

    :param session: ``aiohttp.ClientSession``
    """

    def __init__(self, session):
        self.session = session
        self.queries = asyncio.Semaphore(MAX_QUERIES)

    async def cache_content(self, address):
        """Return what an engine says of its cache; see the base class."""
        leaving = False
        url = f"http://{join_address(*address)}/-/kv-list"
        try:
            async with self._get(url) as response:
                leaving = _is_leaving(response)
                data = json.loads(await read_body(response, MAX_BODY_BYTES))
            # An entry is a list: an empty field, the part's id, its number of
            # tokens, and the model.
            parts = [entry[1] for entry in data["held"]]
            return CacheContent(parts, leaving)
        except QUERY_ERRORS as exc:
            log_event(
                Event.CACHE_CONTENT_UNAVAILABLE, source=url, error=repr(exc)
            )
            return CacheContent([], leaving)

    async def report(self, address):
        """Return what an engine reports of itself; see the base class."""
        url = f"http://{join_address(*address)}/-/report"
        try:
            async with self._get(url) as response:
                if response.status != OK_STATUS:
                    return None
                data = json.loads(await read_body(response, MAX_BODY_BYTES))
            started_ms = data.get("born", 0)
            limit = response.headers.get(HEADER_NAMES.limit)
            return EngineReport(started_ms, limit, _is_leaving(response))
        except QUERY_ERRORS:
            return None

    @contextlib.asynccontextmanager
    async def _get(self, url):
        """Send a query; yields the open response."""
        timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
        async with self.queries:
            async with self.session.get(url, timeout=timeout) as response:
                yield response


def _is_leaving(response):
    """Return whether the engine says in a response that it leaves."""
    return response.headers.get(HEADER_NAMES.leaving) == "1"
