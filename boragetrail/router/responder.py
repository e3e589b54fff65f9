"""HTTP responses to callers: streamed answers and problem details."""

import contextlib
import math

import aiohttp.web

from boragetrail.errors import Failure, Refusal
from boragetrail.reasons import Reason
from boragetrail.utils.responseheads import head_error
from boragetrail.wire.messages import Data, End, Start

__all__ = ["problem_response", "write_answer"]


def problem_response(context, failure, ticket=""):
    """Return a refusal as RFC 9457 problem details.

    :param context: :class:`~boragetrail.router.context.RequestContext`
    :param failure: :class:`~boragetrail.errors.Failure`
    :param ticket: ticket that the caller may use to retry an order, or empty
    """
    reason = failure.reason
    headers = _router_headers(context)
    body = {
        "type": f"urn:boragetrail:reason:{reason.code}",
        "title": reason.text,
        "status": reason.status,
        "detail": failure.detail,
        "code": reason.code,
        "request_id": context.request_id,
        "ran": failure.ran.value,
    }
    if failure.retry_after_s > 0:
        body["retry_after_ms"] = math.ceil(1000 * failure.retry_after_s)
        headers["Retry-After"] = str(math.ceil(failure.retry_after_s))
    if ticket:
        body["ticket"] = ticket
    return aiohttp.web.json_response(
        body,
        status=reason.status,
        headers=headers,
        content_type="application/problem+json",
    )


async def write_answer(context, messages):
    """Stream an answer to the caller.

    :param messages: asynchronous generator of messages and failures
    :returns: (response, failure or ``None``); the response is ``None`` if
        the attempt failed before the answer started
    """
    response = None
    async with contextlib.aclosing(messages):
        async for message in messages:
            if isinstance(message, Failure):
                if response is not None:
                    await _abort_connection(context, response)
                return response, message
            if isinstance(message, Start):
                error = _start_error(message)
                if error:
                    return None, Refusal(Reason.BACKEND_FAILED, error)
                response = await _start(context, message)
            elif isinstance(message, Data):
                await response.write(message.payload)
            elif isinstance(message, End):
                await response.write_eof()
                return response, None
    return response, None


def _start_error(message):
    """Return why a head is invalid, or an empty text.

    An agent of an earlier version may have sent or stored it unchecked.
    """
    fields = [
        (_as_received(name), _as_received(value))
        for name, value in message.headers
    ]
    return head_error(message.status, fields)


def _as_received(text):
    return text.encode("utf-8", "surrogateescape")


async def _start(context, message):
    response = aiohttp.web.StreamResponse(status=message.status)
    for name, value in message.headers:
        response.headers.add(name, value)
    response.headers.update(_router_headers(context))
    if _has_no_body(context, message.status):
        response.headers.pop("Content-Length", None)
    else:
        response.enable_chunked_encoding()
    await response.prepare(context.http_request)
    return response


def _has_no_body(context, status):
    return context.method == "HEAD" or status in (204, 304)


async def _abort_connection(context, response):
    # The missing last chunk tells the caller that the answer is incomplete.
    transport = context.http_request.transport
    if transport is not None:
        transport.abort()


def _router_headers(context):
    headers = {"X-Request-Id": context.request_id}
    if context.chat_id:
        headers["X-Chat-Id"] = context.chat_id
    if context.server:
        headers["X-Chat-Hint"] = context.server
    return headers
