"""One HTTP call to a service of the platform."""

import asyncio
import json as json_library

import aiohttp

from boragetrail.errors import PlatformFailure

__all__ = ["Answer", "call"]

CALL_TIMEOUT_S = 1.0


class Answer:
    """Hold the status and the content of an answer."""

    __slots__ = ("status", "data")

    def __init__(self, status, data):
        self.status = status
        self.data = data


async def call(session, method, url, timeout_s=CALL_TIMEOUT_S, **options):
    """Make one call and read its answer whole.

    :param timeout_s: seconds for the whole call
    :param options: passed on to ``session.request``
    :returns: :class:`Answer` with JSON decoded, or bytes, or a failure
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(
            method, url, timeout=timeout, **options
        ) as response:
            data = await response.read()
            if response.content_type == "application/json":
                data = json_library.loads(data)
            return Answer(response.status, data)
    except aiohttp.ClientConnectorError as exc:
        return PlatformFailure(f"{method} {url}: {exc}", False)
    except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as exc:
        return PlatformFailure(f"{method} {url}: {exc!r}")
