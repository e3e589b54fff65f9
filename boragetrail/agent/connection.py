"""Agent's side of a connection from a router."""

import asyncio
import functools
import time

import websockets

from boragetrail.agent.attempt import Attempt
from boragetrail.agent.stream import WINDOW_BYTES
from boragetrail.errors import Failure
from boragetrail.orders import OrderState
from boragetrail.utils import BackgroundTasks
from boragetrail.wire import decode, encode
from boragetrail.wire.messages import (
    Accept,
    Attach,
    Cancel,
    Credit,
    Data,
    Dispatch,
    End,
    EngineOrder,
    Fail,
    Hello,
    KvFetch,
    Outcome,
    Heartbeat,
    Query,
    Refuse,
    Start,
)

__all__ = ["RouterConnection"]

MAX_PAYLOAD_BYTES = 32 * 1024
# Minimum time between two data frames of an answer, so that several small
# events are sent in one frame.
MIN_FRAME_INTERVAL_S = 0.004
HEARTBEAT_INTERVAL_S = 0.4
MAX_LOAD_ENTRIES_PER_REPLY = 6


class RouterConnection:
    """Handle the messages from one router and send answers to the router.

    :param socket: websocket of the connection
    :param agent: :class:`~boragetrail.agent.daemon.AgentDaemon`
    """

    def __init__(self, socket, agent):
        self.socket = socket
        self.agent = agent
        self.attempts = agent.attempts
        self.tasks = BackgroundTasks()
        self.attempts_by_id = {}
        self.senders_by_id = {}
        self.last_sent_s = time.monotonic()
        self.handlers_by_class = {
            Dispatch: self._dispatch,
            Attach: self._attach,
            Cancel: self._cancel,
            Credit: self._credit,
            Query: self._query,
            EngineOrder: self._engine_order,
            KvFetch: self._kv_fetch,
        }

    async def serve(self):
        """Handle messages until the connection closes."""
        self.tasks.start(self._send_heartbeats(), "progress")
        try:
            await self.send(self.agent.hello())
            async for frame in self.socket:
                await self._handle(decode(frame))
        except websockets.ConnectionClosed:
            return
        finally:
            await self.tasks.close()

    async def send(self, message):
        """Send a message, or discard it if the connection is closed."""
        frame = encode(message)
        self.last_sent_s = time.monotonic()
        self.agent.frames_sent += 1
        try:
            await self.socket.send(frame)
        except websockets.ConnectionClosed:
            return

    async def _handle(self, message):
        if isinstance(message, Failure):
            await self.socket.close(1002, message.detail[:100])
            return
        if isinstance(message, Hello):
            return
        handler = self.handlers_by_class.get(type(message))
        if handler is None:
            await self.socket.close(1002, "unexpected message")
            return
        await handler(message)

    async def _dispatch(self, message):
        result = self.attempts.dispatch(message)
        self.agent.request_changes_if_behind(message.version)
        if not isinstance(result, Attempt):
            await self._refuse(message.attempt_id, result)
            return
        accept = Accept(
            message.attempt_id, self.agent.version(), self._loads()
        )
        self._start_sender(message.attempt_id, result, 0)
        await self.send(accept)

    async def _attach(self, message):
        result = self.attempts.find_attempt(message)
        if not isinstance(result, Attempt):
            await self._refuse(message.attempt_id, result)
            return
        self._start_sender(message.attempt_id, result, message.offset)

    async def _cancel(self, message):
        self.attempts.cancel(message.attempt_id)

    async def _credit(self, message):
        attempt = self.attempts_by_id.get(message.attempt_id)
        if attempt is not None:
            attempt.stream.acknowledge(message.offset)

    async def _query(self, message):
        ledger = self.attempts.ledger
        entry = ledger.peek(message.incarnation, message.order_id)
        state, status = "none", 0
        if isinstance(entry, Failure):
            state = OrderState.UNKNOWN.value
        elif entry is not None:
            state, status = entry.state.value, entry.status
        incarnation = self.agent.incarnation
        await self.send(Outcome(message.query_id, incarnation, state, status))

    async def _engine_order(self, message):
        # An engine order may take long and must not block other messages.
        self.tasks.start(self._run_engine_order(message), "engine order")

    async def _run_engine_order(self, message):
        await self.send(await self.agent.engine_orders.run(message))

    async def _kv_fetch(self, message):
        await self.send(await self.agent.kv_transfer.export(message))

    async def _refuse(self, attempt_id, refusal):
        await self.send(
            Refuse(
                attempt_id,
                refusal.reason.code,
                refusal.ran.value,
                refusal.detail,
                int(1000 * refusal.retry_after_s),
                self.agent.version(),
                self._loads(),
            )
        )

    def _loads(self):
        return self.agent.loads.newest_lists(MAX_LOAD_ENTRIES_PER_REPLY)

    def _start_sender(self, attempt_id, attempt, offset):
        old_sender = self.senders_by_id.get(attempt_id)
        if old_sender is not None:
            old_sender.cancel()
        attempt.reader_count += 1
        self.attempts_by_id[attempt_id] = attempt
        sending = self._send_stream(attempt_id, attempt.stream, offset)
        sender = self.tasks.start(sending, f"send answer {attempt_id}")
        self.senders_by_id[attempt_id] = sender
        sender.add_done_callback(
            functools.partial(self._on_sender_end, attempt_id, attempt)
        )

    def _on_sender_end(self, attempt_id, attempt, sender):
        self.attempts.detach(attempt)
        if self.senders_by_id.get(attempt_id) is sender:
            del self.senders_by_id[attempt_id]
            del self.attempts_by_id[attempt_id]

    async def _send_stream(self, attempt_id, stream, offset):
        started = False
        while True:
            if stream.status and not started:
                started = True
                start = Start(attempt_id, stream.status, stream.headers)
                await self.send(start)
            window_bytes = stream.acked_offset + WINDOW_BYTES - offset
            payload = stream.read(
                offset, min(MAX_PAYLOAD_BYTES, max(0, window_bytes))
            )
            if payload:
                offset += len(payload)
                events = stream.events if offset == stream.length else -1
                begin = offset - len(payload)
                await self.send(Data(attempt_id, begin, payload, events))
                if not stream.done:
                    await asyncio.sleep(MIN_FRAME_INTERVAL_S)
            elif stream.done and offset >= stream.length:
                await self._send_end(attempt_id, stream)
                return
            else:
                await stream.wait()

    async def _send_end(self, attempt_id, stream):
        failure = stream.failure
        if failure is None:
            digest = stream.digest.intdigest()
            await self.send(End(attempt_id, stream.length, digest))
        elif failure.ran.value == "no" and not stream.status:
            await self._refuse(attempt_id, failure)
        else:
            fail = Fail(
                attempt_id,
                failure.reason.code,
                failure.ran.value,
                failure.detail,
            )
            await self.send(fail)

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            idle_s = time.monotonic() - self.last_sent_s
            if self.attempts_by_id and idle_s >= HEARTBEAT_INTERVAL_S:
                await self.send(Heartbeat(int(1000 * time.monotonic())))
