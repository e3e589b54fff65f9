"""One attempt of a request at one backend server."""

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from boragetrail.direct.buffers import MAX_BODY_BYTES, BufferShare
from boragetrail.direct.phases import (
    AttemptState,
    ExchangeOutcome,
    ResponsePhase,
)
from boragetrail.direct.serverresponse import ServerResponse
from boragetrail.reasons import Executed

__all__ = ["Attempt"]

# Exceptions that a read raises if the connection was lost or the response is
# invalid.
CONNECTION_ERRORS = (OSError, ClientError, HttpProcessingError, EOFError)
# A response with one of these statuses and the not-executed header says that
# the request was not executed. Without the header it may have been executed,
# and the caller must not get a status that says otherwise.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Maximum number of responses that are read to find the response to a request.
MAX_STRAY_RESPONSES = 4
INFORMATIONAL_STATUSES = range(100, 200)
BODY_TOO_LONG = f"body larger than {MAX_BODY_BYTES} bytes, or no memory left"


class Attempt:
    """Send a request to one server and read its response.

    The state alone determines what is reported about execution. The request
    is reported as not executed if it was never sent or if the server refused
    it. In all other cases it was or may have been executed.

    :param server: :class:`~boragetrail.direct.serverstate.ServerState`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param request_id: id that the server repeats in its response
    :param clock: function that returns monotonic seconds
    :param parts: ids of the prompt parts that other prompts may contain
    :param retryable: whether the request may be executed more than once
    :ivar began_s: monotonic time at which the attempt began
    :ivar sent_s: monotonic time at which the request was sent
    :ivar carrier: :class:`~boragetrail.direct.connection.ServerConnection`
        that carries the response, also after its end, or ``None``
    :ivar waiting_since_s: monotonic time since which the router waits for
        bytes of the server, or ``None`` while it does not wait, for example
        because the caller reads slowly
    :ivar progressed_s: monotonic time at which the first event, or all of the
        body, had arrived, or ``None`` before
    :ivar longest_pause_s: longest time in seconds between two pieces of the
        body
    :ivar survived: whether the server has survived the begin of the response
    :ivar lost_s: monotonic time at which the connection was lost, or the
        server sent invalid bytes, before the response was complete, else
        ``None``
    :ivar was_reset: whether this router ended the attempt
    """

    def __init__(
        self, server, names, request_id, clock, parts, retryable=False
    ):
        self.server = server
        self.retryable = retryable
        self.parts = parts
        self.names = names
        self.request_id = request_id
        self.clock = clock
        self.began_s = clock()
        self.sent_s = 0.0
        self.waiting_since_s = None
        self.progressed_s = None
        self.longest_pause_s = 0.0
        self.survived = False
        self.lost_s = None
        self.was_reset = False
        self.state = AttemptState.NOT_SENT
        self.connection = None
        self.carrier = None
        self.response = None
        self.error = ""

    @property
    def phase(self):
        """Return the :class:`ResponsePhase` that the response has reached."""
        if self.survived:
            return ResponsePhase.SURVIVED
        if self.progressed_s is not None:
            return ResponsePhase.PROGRESSED
        if self.response is not None:
            return ResponsePhase.BEGUN
        return ResponsePhase.NO_HEAD

    @property
    def connection_lost(self):
        """Return whether the connection was lost before its response ended."""
        return self.lost_s is not None

    def progressed_for_s(self):
        """Return how long the response had progressed when it was lost.

        After the end of the response the loss of its connection counts.

        :returns: seconds until now if it was not lost, or ``None`` if it has
            not progressed
        """
        if self.progressed_s is None:
            return None
        lost_s = (
            self.lost_s if self.lost_s is not None else self.carrier.lost_s
        )
        until_s = self.clock() if lost_s is None else lost_s
        return round(until_s - self.progressed_s, 3)

    def executed(self):
        """Return whether the request was executed, as far as is known."""
        if self.state in (AttemptState.NOT_SENT, AttemptState.REFUSED):
            return Executed.NO
        if self.state in (AttemptState.RESPONDING, AttemptState.COMPLETE):
            return Executed.YES
        return Executed.UNKNOWN

    async def open(self, max_idle_s):
        """Take a connection from the pool, or open a new one.

        :param max_idle_s: longest idle time in seconds of a pooled connection
        :returns: whether a connection is available
        """
        pool = self.server.pool
        self.connection = pool.acquire(max_idle_s)
        if self.connection is not None:
            return True
        try:
            self.connection = await pool.open()
        except OSError as exc:
            self.error = f"connect: {exc!r}"
            self.server.record_connection_failure(exc, self.began_s)
            return False
        self.server.record_life()
        return True

    async def exchange(self, data):
        """Send the request and wait for the head of its response.

        :param data: head and body as bytes
        :returns: :class:`ExchangeOutcome`
        """
        if not self.connection.is_connected():
            self.error = "connection was lost before the request was sent"
            return ExchangeOutcome.UNREACHABLE
        self.state = AttemptState.SENT
        self.carrier = self.connection
        self.sent_s = self.waiting_since_s = self.clock()
        is_first = not self.connection.used
        try:
            self.connection.send_request(data)
            self.response = await self._read_response(is_first)
        except CONNECTION_ERRORS as exc:
            self._record_loss()
            return self._fail(f"waiting for the response: {exc!r}")
        if self.response is None:
            return self._fail("only responses to other requests arrived")
        return self._classify_response()

    async def chunks(self):
        """Yield the body as it arrives.

        The state is ``COMPLETE`` afterwards only if the body is complete.
        """
        payload = self.response.payload
        try:
            while True:
                self.waiting_since_s = self.clock()
                data = await payload.readany()
                self._record_pause_between_pieces()
                self.waiting_since_s = None
                if not data:
                    break
                yield data
        except CONNECTION_ERRORS as exc:
            self._record_loss()
            self._fail(f"reading the response: {exc!r}")
            return
        self.state = AttemptState.COMPLETE
        self._release()

    async def body(self, budget):
        """Return the complete body.

        :param budget: :class:`~boragetrail.direct.buffers.BufferBudget` of
            the router
        :returns: bytes, or ``None`` if the body was truncated or too long
        """
        chunks, size = [], 0
        share = BufferShare(budget)
        try:
            async for data in self.chunks():
                size += len(data)
                if size > MAX_BODY_BYTES or not share.try_resize(size):
                    self._fail(BODY_TOO_LONG)
                    return None
                chunks.append(data)
            if self.state is not AttemptState.COMPLETE:
                return None
            self.progressed_s = self.clock()
            return b"".join(chunks)
        finally:
            share.try_resize(0)

    def fail_truncated(self, error):
        """Mark a response that ended with its connection as truncated.

        :param error: text that says how it was recognized
        """
        self._record_loss()
        self._fail(error)

    def silent_s(self):
        """Return for how many seconds the router has waited for bytes."""
        if self.waiting_since_s is None:
            return 0.0
        return self.clock() - self.waiting_since_s

    def reset(self, reason):
        """Reset the connection to the server.

        Readers of the response get a ``ConnectionResetError``.

        :param reason: text that says why
        """
        self.was_reset = True
        if self.connection is not None:
            self.connection.reset(ConnectionResetError(reason))

    def abort(self):
        """End the attempt and close its connection to the server."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None

    async def _read_response(self, is_first):
        """Return the response that carries the request's id, or ``None``.

        A server may send late copies of earlier responses first. If the
        first ``MAX_STRAY_RESPONSES`` responses are copies or informational,
        the result is ``None``. A response without an id may be a copy as well
        unless the connection has had no other request.

        :param is_first: whether the request is the first of its connection
        """
        for _ in range(MAX_STRAY_RESPONSES):
            message, payload = await self.connection.read()
            if message.headers.get(self.names.leaving) == "1":
                self.server.record_leaving()
            if message.code in INFORMATIONAL_STATUSES:
                continue
            response = ServerResponse(message, payload)
            if response.status == UNAVAILABLE_STATUS:
                self._record_pause(response.headers)
            response_id = response.headers.get(self.names.request_id)
            if response_id is None and not is_first:
                return None
            if response_id in (None, self.request_id):
                self._record_limit(response)
                return response
            if not await _skip(payload):
                return None
        return None

    def _record_pause(self, headers):
        pause = headers.get("Retry-After")
        if pause is not None:
            self.server.record_pause(pause)

    def _record_limit(self, response):
        if response.status != MISDIRECTED_STATUS:
            limit = response.headers.get(self.names.limit)
            self.server.record_limit(limit, self.sent_s)

    def _classify_response(self):
        self.waiting_since_s = None
        response = self.response
        headers = response.headers
        if response.status == MISDIRECTED_STATUS:
            self.state = AttemptState.REFUSED
            self._discard_body()
            return ExchangeOutcome.MISDIRECTED
        if self.names.not_executed in headers and not response.ok:
            self.state = AttemptState.REFUSED
            self._discard_body()
            return ExchangeOutcome.REFUSED
        self.state = AttemptState.RESPONDING
        error = self._response_error()
        if error:
            return self._fail(error)
        return ExchangeOutcome.RESPONSE

    def _response_error(self):
        """Return why a response cannot be forwarded, or an empty text."""
        response = self.response
        if response.status in NOT_EXECUTED_STATUSES:
            return f"status {response.status} without the not-executed header"
        if "Content-Encoding" in response.headers:
            return "unsupported content encoding"
        if not response.ok:
            return ""
        if self.names.seal not in response.headers:
            return "success without a response seal"
        if self.names.request_id not in response.headers:
            return "success without the request id"
        return ""

    def _record_pause_between_pieces(self):
        if self.progressed_s is not None and self.waiting_since_s is not None:
            pause_s = self.clock() - self.waiting_since_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)

    def _record_loss(self):
        self.lost_s = self.clock()

    def _fail(self, error):
        self.state = AttemptState.FAILED
        self.waiting_since_s = None
        self.error = error
        self.abort()
        return ExchangeOutcome.FAILED

    def _discard_body(self):
        """Discard the body, and the connection unless all has arrived."""
        if self.response.payload.is_eof():
            self._release()
        else:
            self.abort()

    def _release(self):
        if self.connection is not None:
            self.server.pool.release(self.connection)
            self.connection = None


async def _skip(payload):
    """Read a body to its end; returns whether it ends within the limit."""
    size = 0
    while data := await payload.readany():
        size += len(data)
        if size > MAX_BODY_BYTES:
            return False
    return True
