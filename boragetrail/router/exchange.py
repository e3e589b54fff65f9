"""One attempt on one agent, continued after connection failures."""

import asyncio

import xxhash

from boragetrail.errors import LinkFailure
from boragetrail.reasons import REASONS_BY_CODE, Executed, Reason
from boragetrail.router.link import ConnectionLost
from boragetrail.wire.messages import (
    Attach,
    Cancel,
    Credit,
    Data,
    End,
    Fail,
    Heartbeat,
    Refuse,
    Start,
)

__all__ = ["Exchange"]

# Longest wait for the agent to acknowledge the first message of an attempt.
# After that the connection counts as lost.
ACK_TIMEOUT_S = 0.25
# Longest wait for each further message of an acknowledged attempt. After that
# the connection counts as lost. Must exceed the agents' heartbeat interval of
# 0.4 s.
MAX_SILENCE_S = 1.0
# Seconds for which an attempt tries to open a new connection.
REATTACH_TIMEOUT_S = 2.0
REATTACH_PAUSE_S = 0.05
CREDIT_INTERVAL_BYTES = 32 * 1024


class Exchange:
    """Run one attempt and yield its answer without gaps or duplicates.

    :param link: :class:`~boragetrail.router.link.AgentLink`
    :param first_message: :class:`~boragetrail.wire.messages.Dispatch` or
        :class:`~boragetrail.wire.messages.Attach` that begins the attempt
    :param deadline_s: monotonic time at which the answer must be complete
    :param clock: function that returns monotonic seconds

    :ivar offset: number of bytes of the answer received without gaps
    :ivar credited_offset: number of bytes acknowledged to the agent
    :ivar accepted: whether the agent has acknowledged the attempt
    :ivar started: whether status and header fields were received
    :ivar finished: whether the attempt ended, so that no ``Cancel`` is sent
    :ivar was_sent: whether the first message was sent
    :ivar at_event_end: whether the received bytes end with a complete event
    :ivar events: number of complete server-sent events received
    :ivar waiting_since_s: monotonic time at which the wait for the next
        message began, or ``None`` while a message is handled
    """

    def __init__(self, link, first_message, deadline_s, clock):
        self.link = link
        self.first_message = first_message
        self.attempt_id = first_message.attempt_id
        self.deadline_s = deadline_s
        self.clock = clock
        self.offset = 0
        self.credited_offset = 0
        self.digest = xxhash.xxh3_64()
        self.accepted = False
        self.started = False
        self.finished = False
        self.was_sent = False
        self.at_event_end = True
        self.events = 0
        self.inbox = None
        self.watchdog = None
        self.waiting_since_s = None

    async def messages(self):
        """Yield the messages Start, Data and End of the answer.

        If the attempt fails, a failure is yielded as the last item.
        """
        self.inbox = self.link.open_inbox(self.attempt_id)
        loop = asyncio.get_running_loop()
        self.watchdog = loop.call_later(ACK_TIMEOUT_S, self._check_silence)
        try:
            failure = await self._open()
            while failure is None:
                message = await self._receive()
                failure = await self._process(message)
                if failure is not None or not self._accept_new(message):
                    continue
                yield message
                if self.finished:
                    return
                await self._send_credit(message)
            self.finished = failure.ran != Executed.UNKNOWN
            yield failure
        finally:
            self.watchdog.cancel()
            self.watchdog = None
            self.link.close_inbox(self.attempt_id)
            if not self.finished and not self.first_message.order_id:
                self.link.send_in_background(Cancel(self.attempt_id))

    async def _open(self):
        connection = await self.link.connection()
        if isinstance(connection, LinkFailure):
            return connection
        return await self._send_first_message(connection)

    async def _send_first_message(self, connection):
        if connection.incarnation != self.first_message.incarnation:
            ran = Executed.UNKNOWN if self.was_sent else Executed.NO
            detail = f"agent of {self.link.name!r} has restarted"
            if self._is_attach():
                ran = Executed.UNKNOWN
            return LinkFailure(Reason.WRONG_INCARNATION, detail, ran)
        self.inbox.connection = connection
        first_message = self.first_message
        if self.accepted:
            first_message = Attach(
                self.attempt_id,
                first_message.incarnation,
                first_message.order_id,
                self.offset,
            )
        self.was_sent = True
        await self.link.send(connection, first_message)
        return None

    def _is_attach(self):
        return isinstance(self.first_message, Attach)

    async def _receive(self):
        """Return the next message of the attempt.

        :class:`ConnectionLost` is returned if the connection failed or timed
        out.

        One watchdog timer serves the whole attempt, because a timer for each
        message would cost more than the handling of the message.
        """
        self.waiting_since_s = self.clock()
        message = await self.inbox.queue.get()
        self.waiting_since_s = None
        return message

    def _check_silence(self):
        if self.watchdog is None:
            return
        now = self.clock()
        pause_s = MAX_SILENCE_S if self.accepted else ACK_TIMEOUT_S
        since_s = self.waiting_since_s
        if since_s is not None:
            if now >= min(since_s + pause_s, self.deadline_s):
                self.inbox.queue.put_nowait(ConnectionLost())
            else:
                pause_s = min(since_s + pause_s, self.deadline_s) - now
        loop = asyncio.get_running_loop()
        self.watchdog = loop.call_later(pause_s, self._check_silence)

    async def _process(self, message):
        """Reattach after a lost connection, and check for the attempt's end.

        :returns: failure that ends the attempt, or ``None``
        """
        if self.clock() >= self.deadline_s:
            detail = f"{self.offset} bytes received before the deadline"
            return LinkFailure(Reason.DEADLINE, detail)
        if isinstance(message, ConnectionLost):
            return await self._reattach()
        if isinstance(message, Refuse):
            return _failure_from_refuse(message)
        if isinstance(message, Fail):
            return _failure_from_fail(message)
        if not isinstance(message, Heartbeat):
            self.accepted = True
        if isinstance(message, Data) and message.offset > self.offset:
            return await self._reattach()
        if isinstance(message, End):
            return self._check_end(message)
        return None

    def _accept_new(self, message):
        if isinstance(message, Start):
            first = not self.started
            self.started = True
            return first
        if isinstance(message, Data):
            return self._accept_data(message)
        return isinstance(message, End)

    def _accept_data(self, message):
        if not self.started:
            return False
        overlap_bytes = self.offset - message.offset
        if overlap_bytes < 0 or overlap_bytes >= len(message.payload):
            return False
        if overlap_bytes:
            message.payload = message.payload[overlap_bytes:]
            message.offset = self.offset
        self.offset += len(message.payload)
        self.digest.update(message.payload)
        self.at_event_end = message.events >= 0
        if self.at_event_end:
            self.events = message.events
        return True

    def _check_end(self, message):
        is_complete = message.length == self.offset
        if not is_complete or message.digest != self.digest.intdigest():
            detail = f"{self.offset} of {message.length} bytes received"
            return LinkFailure(Reason.TRUNCATED, detail)
        self.finished = True
        return None

    async def _send_credit(self, message):
        if not isinstance(message, Data):
            return
        if self.offset - self.credited_offset >= CREDIT_INTERVAL_BYTES:
            self.credited_offset = self.offset
            connection = self.inbox.connection
            if connection is not None:
                credit = Credit(self.attempt_id, self.offset)
                await self.link.send(connection, credit)

    async def _reattach(self):
        old_connection = self.inbox.connection or self.link.current
        limit_s = min(self.clock() + REATTACH_TIMEOUT_S, self.deadline_s)
        while True:
            connection = await self.link.reconnect(old_connection)
            if not isinstance(connection, LinkFailure):
                return await self._send_first_message(connection)
            if self.clock() >= limit_s:
                return LinkFailure(Reason.LINK_LOST, connection.detail)
            await asyncio.sleep(REATTACH_PAUSE_S)


def _failure_from_refuse(message):
    reason = REASONS_BY_CODE.get(message.reason, Reason.PROTOCOL)
    retry_after_s = message.retry_after_ms / 1000
    return LinkFailure(
        reason, message.detail, Executed(message.ran), retry_after_s
    )


def _failure_from_fail(message):
    reason = REASONS_BY_CODE.get(message.reason, Reason.PROTOCOL)
    return LinkFailure(reason, message.detail, Executed(message.ran))
