"""HTTP calls to the platform's services, with a timeout."""

import asyncio
import json as json_library

import aiohttp

from boragetrail.errors import PlatformFailure
from boragetrail.utils.responses import read_body

__all__ = ["Response", "call"]

CALL_TIMEOUT_S = 1.0
# Objects of the store are smaller.
MAX_BODY_BYTES = 10 * 1024 * 1024
# Nested brackets exceed the depth of recursion.
JSON_ERRORS = (ValueError, RecursionError)


class Response:
    """Response of a service.

    :param status: HTTP status
    :param data: decoded JSON, or bytes if the body is not JSON
    """

    __slots__ = ("status", "data")

    def __init__(self, status, data):
        self.status = status
        self.data = data


async def call(session, method, url, timeout_s=CALL_TIMEOUT_S, **options):
    """Send an HTTP request and read the complete response.

    :param timeout_s: timeout in seconds, from the request to the end of the
        response
    :param options: further arguments of ``session.request``
    :returns: :class:`Response`, or :class:`PlatformFailure`
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(
            method, url, timeout=timeout, **options
        ) as response:
            data = await read_body(response, MAX_BODY_BYTES)
            if response.content_type == "application/json":
                data = json_library.loads(data)
            return Response(response.status, data)
    except aiohttp.ClientConnectorError as exc:
        # False: without a connection the request was not sent.
        return PlatformFailure(f"{method} {url}: {exc}", False)
    except (aiohttp.ClientError, asyncio.TimeoutError, *JSON_ERRORS) as exc:
        return PlatformFailure(f"{method} {url}: {exc!r}")
