"""Call the platform's model engines."""

import asyncio
import json

import aiohttp

from boragetrail.direct.interfaces import EngineClient
from boragetrail.events import Event, log_event
from boragetrail.utils import join_address

__all__ = ["PlatformEngineClient"]

CALL_TIMEOUT_S = 1.0


class PlatformEngineClient(EngineClient):
    """Ask engines what they keep.

    :param session: ``aiohttp.ClientSession``
    """

    def __init__(self, session):
        self.session = session

    async def cached_parts(self, address):
        """Return the ids of cached parts; see the base class."""
        url = f"http://{join_address(*address)}/-/kv-list"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as answer:
                data = json.loads(await answer.read())
            # Each entry is [empty, id, tokens, model].
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
