"""Forwarding of the responses of servers to callers."""

import asyncio
import contextlib

from boragetrail.direct.buffers import BufferBudget, BufferShare
from boragetrail.direct.eventstream import MAX_EVENT_BYTES
from boragetrail.direct.headers import HeaderRewriter
from boragetrail.direct.model import RequestKind
from boragetrail.direct.phases import AttemptState
from boragetrail.direct.readahead import ReadAhead
from boragetrail.errors import Failure
from boragetrail.reasons import Executed, Reason

__all__ = ["ResponseForwarder", "record_failure"]

# A server returns this status after the deadline of a request. It does not
# count as a failure of the server.
GATEWAY_TIMEOUT = 504
OTHER_CONTENT = "the stream does not go on with the same type of content"
ENDED_WITHIN_EVENT = "the connection ended within an event"
# A write that takes longer waits for a caller that reads slowly.
READ_AHEAD_DELAY_S = 0.02
EVENT_TOO_LONG = (
    f"event larger than {MAX_EVENT_BYTES} bytes, or no memory left"
)


def record_failure(attempt):
    """Record a failure of the server, unless this router caused it.

    :param attempt: :class:`~boragetrail.direct.attempt.Attempt`
    """
    if not attempt.was_reset:
        attempt.server.record_failure(attempt.began_s, attempt.retryable)


class ResponseForwarder:
    """Forward responses, as a whole or event by event.

    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param crash_monitor: :class:`~boragetrail.direct.crashes.CrashMonitor`
    :param stream_versions:
        :class:`~boragetrail.direct.resumption.StreamVersions`
    :param request_log: :class:`~boragetrail.direct.requestlog.RequestLog`
    :ivar reads_ahead: whether streams are read ahead of callers that read
        slowly
    """

    def __init__(self, names, crash_monitor, stream_versions, request_log):
        self.rewriter = HeaderRewriter(names)
        self.crash_monitor = crash_monitor
        self.stream_versions = stream_versions
        self.request_log = request_log
        self.buffer_budget = BufferBudget()
        self.reads_ahead = False

    async def forward(self, request, caller, progress, attempt):
        """Forward the response of an attempt.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param caller: :class:`~boragetrail.direct.response.CallerResponse`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :param attempt: :class:`~boragetrail.direct.attempt.Attempt`
        :returns: :class:`~boragetrail.errors.Failure`, or ``None`` if the
            caller has its response
        """
        response = attempt.response
        if request.route.kind is RequestKind.STREAM and response.ok:
            if caller.started and response.media_type != progress.media_type:
                record_failure(attempt)
                return Failure(Reason.BACKEND_FAILED, OTHER_CONTENT)
            return await self._forward_stream(
                request, caller, progress, attempt
            )
        body = await attempt.body(self.buffer_budget)
        if body is None:
            record_failure(attempt)
            return Failure(Reason.TRUNCATED, attempt.error)
        fields = self.rewriter.response_fields(response.raw_headers)
        if response.ok:
            self.crash_monitor.response_progressed(attempt)
            attempt.server.record_response(retryable=attempt.retryable)
            caller.set_response(response.status, fields, body)
            return None
        error = (response.status, fields, body)
        return self._record_server_error(caller, progress, attempt, error)

    def _record_server_error(self, caller, progress, attempt, error):
        """Record an error response; it is sent later if no retry succeeds.

        :param error: (status, fields, body)
        :returns: :class:`~boragetrail.errors.Failure`
        """
        status = error[0]
        attempt.server.record_response(
            failed=status >= 500 and status != GATEWAY_TIMEOUT,
            retryable=attempt.retryable,
        )
        if caller.started:
            return Failure(
                Reason.BACKEND_FAILED, f"the server returned status {status}"
            )
        progress.server_error = error
        detail = f"the server answered {status}"
        return Failure(Reason.BACKEND_FAILED, detail, Executed.YES)

    async def _forward_stream(self, request, caller, progress, attempt):
        share = BufferShare(self.buffer_budget)
        ahead = ReadAhead(
            attempt.chunks(),
            self.buffer_budget,
            attempt.clock,
            progress.pending_work.end,
        )
        try:
            return await self._forward_events(
                request, caller, progress, attempt, share, ahead
            )
        finally:
            await ahead.close()
            share.try_resize(0)

    @contextlib.contextmanager
    def _reading_ahead(self, ahead, stream_started):
        """Read ahead if a block of code takes long.

        The caller has to have the first event before, since what follows it
        tells how far the response had come if its connection is lost.
        """
        if not self.reads_ahead or not stream_started:
            yield
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(READ_AHEAD_DELAY_S, ahead.start)
        try:
            yield
        finally:
            timer.cancel()

    async def _forward_events(
        self, request, caller, progress, attempt, share, ahead
    ):
        """Forward the events of a stream.

        :param share: :class:`~boragetrail.direct.buffers.BufferShare` of the
            incomplete event
        :param ahead: :class:`~boragetrail.direct.readahead.ReadAhead`
        """
        response = attempt.response
        if not caller.started:
            fields = self.rewriter.response_fields(response.raw_headers)
            progress.media_type = response.media_type
            await caller.start(response.status, fields)
        splitter = progress.splitter
        splitter.remainder = b""
        stream_started = False
        while data := await ahead.next():
            complete = splitter.feed(data)
            size = len(splitter.remainder)
            if splitter.exceeds_limit() or not share.try_resize(size):
                record_failure(attempt)
                return Failure(Reason.TRUNCATED, EVENT_TOO_LONG)
            if complete and not progress.stream_begun:
                progress.stream_begun = True
                await self.stream_versions.begun(request, progress, attempt)
            if complete:
                with self._reading_ahead(ahead, stream_started):
                    await caller.write(complete)
            if complete and not stream_started:
                stream_started = True
                attempt.progressed_s = attempt.clock()
                self.crash_monitor.response_progressed(attempt)
                self.request_log.stream_started(request, attempt)
        if not response.is_framed and not (
            stream_started and splitter.at_event_end()
        ):
            attempt.fail_truncated(ENDED_WITHIN_EVENT)
        if attempt.state is not AttemptState.COMPLETE:
            if not ahead.blames_caller():
                record_failure(attempt)
            return Failure(Reason.TRUNCATED, attempt.error)
        if splitter.remainder:
            await caller.write(splitter.remainder)
        attempt.server.record_response(retryable=attempt.retryable)
        await caller.finish()
        return None
