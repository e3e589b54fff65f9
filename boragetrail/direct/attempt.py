"""One attempt of a request at one backend server."""

import enum

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from boragetrail.reasons import Executed

__all__ = ["ServerResponse", "Attempt", "AttemptState", "ExchangeOutcome"]

# What reading from a broken connection raises.
CHANNEL_ERRORS = (OSError, ClientError, HttpProcessingError, EOFError)
STATUS_OK = range(200, 300)
# Statuses that say that a request has not run, if the server marks them so.
REFUSING = frozenset((408, 421, 429, 503))
MISDIRECTED = 421
MOST_STRAY_ANSWERS = 4
SERVER_IS_GONE = "the server is gone and says nothing"


class AttemptState(enum.Enum):
    """Say how far an attempt has come."""

    NOT_SENT = "not sent"
    SENT = "sent"
    REFUSED = "refused by the server"
    ANSWERING = "answering"
    COMPLETE = "complete"
    BROKEN = "broken"


class ExchangeOutcome(enum.Enum):
    """Say what came of waiting for the head of an answer."""

    ANSWER = "answer"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"


class ServerResponse:
    """Hold the head of a server's answer and the reader of its body."""

    __slots__ = ("status", "headers", "raw_headers", "payload")

    def __init__(self, message, payload):
        self.status = message.code
        self.headers = message.headers
        self.raw_headers = message.raw_headers
        self.payload = payload

    @property
    def ok(self):
        """Return whether it is a success."""
        return self.status in STATUS_OK


class Attempt:
    """Send a request to one server and read its answer.

    What may be claimed of the attempt follows from its state alone: only
    an attempt that was never sent, or that the server itself marked as not
    run, has not run.

    :param server: :class:`~boragetrail.direct.fleet.ServerState`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param request_id: id that the server repeats in its answer
    :param clock: function that returns monotonic seconds
    :ivar waits_since_s: time since which the server owes the next bytes, or
        ``None`` while the caller or this router holds them up
    """

    def __init__(self, server, names, request_id, clock):
        self.server = server
        self.names = names
        self.request_id = request_id
        self.clock = clock
        self.waits_since_s = None
        self.state = AttemptState.NOT_SENT
        self.channel = None
        self.answer = None
        self.error = ""

    def ran(self):
        """Return whether the request ran, as far as that is known."""
        if self.state in (AttemptState.NOT_SENT, AttemptState.REFUSED):
            return Executed.NO
        if self.state in (AttemptState.ANSWERING, AttemptState.COMPLETE):
            return Executed.YES
        return Executed.UNKNOWN

    async def open(self, newest_s):
        """Get a connection.

        :param newest_s: longest time in seconds that it may have been idle
        :returns: whether there is one
        """
        pool = self.server.pool
        self.channel = pool.take(newest_s)
        if self.channel is not None:
            return True
        try:
            self.channel = await pool.open()
        except OSError as exc:
            self.error = f"connect: {exc!r}"
            return False
        return True

    async def exchange(self, data):
        """Send the request and wait for the head of its answer.

        :param data: head and body as bytes
        :returns: :class:`Verdict`
        """
        if not self.channel.is_connected():
            self.error = "connection was lost before the request"
            return ExchangeOutcome.UNREACHABLE
        self.state = AttemptState.SENT
        self.waits_since_s = self.clock()
        try:
            self.channel.start(data)
            self.answer = await self._own_answer()
        except CHANNEL_ERRORS as exc:
            return self._broken(f"waiting for the answer: {exc!r}")
        if self.answer is None:
            return self._broken("answers of other requests only")
        return self._judge()

    async def chunks(self):
        """Yield the body as it arrives.

        The state is ``COMPLETE`` afterwards only if the whole body came.
        """
        payload = self.answer.payload
        try:
            while True:
                self.waits_since_s = self.clock()
                data = await payload.readany()
                self.waits_since_s = None
                if not data:
                    break
                yield data
        except CHANNEL_ERRORS as exc:
            self._broken(f"reading the answer: {exc!r}")
            return
        self.state = AttemptState.COMPLETE
        self._release()

    async def body(self):
        """Return the whole body, or ``None`` if it broke off."""
        parts = [data async for data in self.chunks()]
        if self.state is not AttemptState.COMPLETE:
            return None
        return b"".join(parts)

    def silent_s(self):
        """Return for how long the server has said nothing, in seconds."""
        if self.waits_since_s is None:
            return 0.0
        return self.clock() - self.waits_since_s

    def reset(self):
        """Break the connection to a server that is gone.

        Whoever waits for the answer finds it broken.
        """
        if self.channel is not None:
            self.channel.reset(ConnectionResetError(SERVER_IS_GONE))

    def abort(self):
        """End the attempt; the server sees its connection close."""
        if self.channel is not None:
            self.channel.abort()
            self.channel = None

    async def _own_answer(self):
        """Return the answer that bears the request's id, or ``None``."""
        for _ in range(MOST_STRAY_ANSWERS):
            message, payload = await self.channel.read()
            answer = ServerResponse(message, payload)
            named = answer.headers.get(self.names.request_id)
            if named is None or named == self.request_id:
                return answer
            await payload.read()
        return None

    def _judge(self):
        self.waits_since_s = None
        answer = self.answer
        headers = answer.headers
        if answer.status == MISDIRECTED:
            self.state = AttemptState.REFUSED
            self._discard()
            return ExchangeOutcome.MISDIRECTED
        if self.names.not_executed in headers and not answer.ok:
            self.state = AttemptState.REFUSED
            self._discard()
            return ExchangeOutcome.REFUSED
        self.state = AttemptState.ANSWERING
        problem = self._problem()
        if problem:
            return self._broken(problem)
        return ExchangeOutcome.ANSWER

    def _problem(self):
        """Return why an answer cannot be passed on, or nothing."""
        answer = self.answer
        if answer.status in REFUSING:
            return f"status {answer.status} without a mark"
        if "Content-Encoding" in answer.headers:
            return "an encoded body"
        if not answer.ok:
            return ""
        if self.names.seal not in answer.headers:
            return "success without a seal"
        if self.names.request_id not in answer.headers:
            return "success without the request's id"
        return ""

    def _broken(self, error):
        self.state = AttemptState.BROKEN
        self.waits_since_s = None
        self.error = error
        self.abort()
        return ExchangeOutcome.BROKEN

    def _discard(self):
        """Keep the connection if the rest of a refusal is already here."""
        if self.answer.payload.is_eof():
            self._release()
        else:
            self.abort()

    def _release(self):
        if self.channel is not None:
            self.server.pool.put_back(self.channel)
            self.channel = None
