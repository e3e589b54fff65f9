"""Client that sends each request at most once to a backend server."""

import asyncio
import json
import time

import aiohttp

from boragetrail.errors import BackendFailure
from boragetrail.reasons import Executed, Reason
from boragetrail.utils.responses import BoundedConnector, read_body

__all__ = ["BackendClient", "StepTimeMeter"]

CONNECT_TIMEOUT_S = 1.0
# Limit on the time between two reads of an answer.
READ_TIMEOUT_S = 30.0
MAX_READ_BYTES = 64 * 1024
MAX_STATE_BYTES = 1024 * 1024
# Whatever may be wrong with a state; nested brackets exceed the depth of
# recursion.
STATE_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    ValueError,
    TypeError,
    RecursionError,
)
# Limit on an event of a stream, as long as it is not complete.
MAX_EVENT_BYTES = 1024 * 1024
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    )
)


class StepTimeMeter:
    """Measure the step time, the time between events, of one stream.

    :param on_step_time: called with the mean step time in seconds each time
        that ``EVENTS_PER_REPORT`` or more further events have arrived
    :param stall_gate: :class:`~boragetrail.policy.StallGate` of the server
    :param clock: function that returns monotonic seconds
    """

    EVENTS_PER_REPORT = 2

    def __init__(self, on_step_time, stall_gate, clock=time.monotonic):
        self.on_step_time = on_step_time
        self.stall_gate = stall_gate
        self.clock = clock
        self.since_s = None
        self.last_s = None
        self.count = 0

    def record_events(self, events):
        """Record the arrival of events.

        :param events: number of events that arrived together
        """
        now = self.clock()
        if self.since_s is None:
            self.since_s = self.last_s = now
            return
        self.stall_gate.record_event((now - self.last_s) / events)
        self.last_s = now
        self.count += events
        if self.count >= self.EVENTS_PER_REPORT:
            self.on_step_time((now - self.since_s) / self.count)
            self.since_s = now
            self.count = 0


class BackendClient:
    """Send requests to one backend server.

    Each request has its own connection, because aiohttp may resend a request
    on its own if a reused connection fails.

    :param url: base URL of the backend server
    """

    def __init__(self, url):
        self.url = url
        self.session = None

    async def open(self):
        """Open the client session."""
        connector = BoundedConnector(force_close=True, limit=0)
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=READ_TIMEOUT_S,
        )
        self.session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            skip_auto_headers=("Accept", "User-Agent", "Content-Type"),
        )

    async def close(self):
        """Close the client session."""
        await self.session.close()

    async def run(self, dispatch, stream, meter, max_answer_bytes):
        """Send a request and append its answer to a stream.

        :param dispatch: :class:`~boragetrail.wire.messages.Dispatch`
        :param stream: :class:`~boragetrail.agent.stream.AnswerStream`
        :param meter: :class:`StepTimeMeter` for a model engine, else ``None``
        :param max_answer_bytes: size limit of the answer in bytes
        :returns: ``None`` or :class:`BackendFailure`
        """
        headers = list(dispatch.headers)
        headers.append(("X-Priority", str(dispatch.priority)))
        if dispatch.resume_events:
            headers.append(("X-Resume-Events", str(dispatch.resume_events)))
        try:
            async with self.session.request(
                dispatch.method,
                self.url + dispatch.path,
                headers=headers,
                data=dispatch.body,
                allow_redirects=False,
            ) as response:
                stream.start(
                    response.status, _end_to_end_headers(response.headers)
                )
                return await _copy(response, stream, meter, max_answer_bytes)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            return BackendFailure(Reason.UNREACHABLE, str(exc), Executed.NO)
        except aiohttp.ClientPayloadError as exc:
            return BackendFailure(Reason.TRUNCATED, str(exc))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as exc:
            return BackendFailure(Reason.BACKEND_FAILED, repr(exc))

    async def get_json(self, path, timeout_s=0.5):
        """Get JSON from the server.

        :returns: JSON object of the answer and its ``status``, or ``None``
            on failure
        """
        return await self._json("GET", path, timeout_s)

    async def post_json(self, path, body, timeout_s=5.0):
        """Post JSON to the server.

        :returns: JSON object of the answer and its ``status``, or ``None``
            on failure
        """
        return await self._json("POST", path, timeout_s, json=body)

    async def _json(self, method, path, timeout_s, **options):
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.request(
                method, self.url + path, timeout=timeout, **options
            ) as response:
                body = await read_body(response, MAX_STATE_BYTES)
                data = json.loads(body)
                return {"status": response.status, **data}
        except STATE_ERRORS:
            return None


def _end_to_end_headers(headers):
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


async def _copy(response, stream, meter, max_answer_bytes):
    if meter is None or response.content_type != "text/event-stream":
        return await _copy_bytes(response, stream, max_answer_bytes)
    meter.stall_gate.stream_opened()
    try:
        return await _copy_events(response, stream, meter, max_answer_bytes)
    finally:
        meter.stall_gate.stream_closed()


async def _copy_bytes(response, stream, max_answer_bytes):
    async for data in response.content.iter_chunked(MAX_READ_BYTES):
        if stream.length + len(data) > max_answer_bytes:
            return BackendFailure(Reason.ANSWER_TOO_LARGE)
        await stream.append(data)
    return None


async def _copy_events(response, stream, meter, max_answer_bytes):
    # Only complete events are forwarded, so that a router can resume the
    # stream on another server at the next event.
    remainder = b""
    ended = False
    async for data in response.content.iter_chunked(MAX_READ_BYTES):
        data = remainder + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            remainder = data
            if len(remainder) > MAX_EVENT_BYTES:
                return BackendFailure(Reason.ANSWER_TOO_LARGE)
            continue
        complete, remainder = data[:end], data[end:]
        if stream.length + len(complete) > max_answer_bytes:
            return BackendFailure(Reason.ANSWER_TOO_LARGE)
        events = complete.count(b"\n\n")
        ended = ended or b"data: [DONE]" in complete
        if not ended:
            # The last events of an answer are sent without an engine step
            # and would distort the step time.
            meter.record_events(events)
        await stream.append(complete, events)
    if remainder or not ended:
        return BackendFailure(Reason.TRUNCATED, "incomplete event stream")
    return None
