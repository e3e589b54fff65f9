"""Client of the platform's model engines."""

import asyncio
import json

import aiohttp

from boragetrail.direct.interfaces import EngineClient
from boragetrail.events import Event, log_event
from boragetrail.utils import join_address

__all__ = ["PlatformEngineClient"]

QUERY_TIMEOUT_S = 1.0


class PlatformEngineClient(EngineClient):
    """Client that queries engines for the prompt parts that they cache.

    :param session: ``aiohttp.ClientSession``
    """

    def __init__(self, session):
        self.session = session

    async def cached_parts(self, address):
        """Return the ids of cached prompt parts; see the base class."""
        url = f"http://{join_address(*address)}/-/kv-list"
        timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                data = json.loads(await response.read())
            # An entry is a list: an empty field, the part's id, its number of
            # tokens, and the model.
            return [entry[1] for entry in data["held"]]
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
            return []
