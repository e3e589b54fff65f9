"""Client of the platform's model engines."""

import asyncio
import json

import aiohttp

from boragetrail.direct.interfaces import CacheContent, EngineClient
from boragetrail.events import Event, log_event
from boragetrail.platform.names import HEADER_NAMES
from boragetrail.utils import join_address

__all__ = ["PlatformEngineClient"]

QUERY_TIMEOUT_S = 1.0


class PlatformEngineClient(EngineClient):
    """Client that queries engines for the prompt parts that they cache.

    :param session: ``aiohttp.ClientSession``
    """

    def __init__(self, session):
        self.session = session

    async def cache_content(self, address):
        """Return what an engine says of its cache; see the base class."""
        leaving = False
        url = f"http://{join_address(*address)}/-/kv-list"
        timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                leaving = response.headers.get(HEADER_NAMES.leaving) == "1"
                data = json.loads(await response.read())
            # An entry is a list: an empty field, the part's id, its number of
            # tokens, and the model.
            parts = [entry[1] for entry in data["held"]]
            return CacheContent(parts, leaving)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            ValueError,
            KeyError,
            IndexError,
            TypeError,
        ) as exc:
            log_event(
                Event.CACHE_CONTENT_UNAVAILABLE, source=url, error=repr(exc)
            )
            return CacheContent([], leaving)
