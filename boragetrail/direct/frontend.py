"""Take requests of callers."""

import asyncio

import aiohttp.web

from boragetrail.direct.idletracker import IdleTracker
from boragetrail.direct.model import RequestKind
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.response import CallerResponse
from boragetrail.errors import Failure
from boragetrail.events import Event, log_event
from boragetrail.reasons import Reason

__all__ = ["Frontend"]

MOST_LINE_BYTES = 16 * 1024
MOST_FIELDS = 200
# Idle connections are closed by the configured limits long before.
KEEPALIVE_S = 3600.0
LINGER_S = 2.0
BACKLOG = 1024
CLOSE_TIMEOUT_S = 0.05
# Turns of the event loop from the arrival of a request to its handler.
HANDLER_START_TURNS = 4
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Frontend:
    """Own the port for callers.

    :param chain: :class:`~boragetrail.direct.filters.FilterChain`
    :param dispatcher: :class:`~boragetrail.direct.dispatch.Dispatcher`
    :param metrics: :class:`~boragetrail.direct.metrics.DirectMetrics`
    :param clock: function that returns monotonic seconds
    :ivar busy: connections with a request that has no whole answer yet
    :ivar stopping: whether connections end after their next answer
    """

    def __init__(self, chain, dispatcher, metrics, clock):
        self.chain = chain
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.clock = clock
        self.busy = set()
        self.stopping = False
        self.server = None
        self.listener = None
        self.detached = set()
        self.idle_tracker = IdleTracker(clock)

    @property
    def active(self):
        """Return the number of requests that have no whole answer yet."""
        return len(self.busy) + len(self.detached)

    async def open(self, host, port):
        """Open the port."""
        loop = asyncio.get_running_loop()
        self.server = aiohttp.web.Server(
            self._handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MOST_LINE_BYTES,
            max_field_size=MOST_LINE_BYTES,
            max_headers=MOST_FIELDS,
            lingering_time=LINGER_S,
            auto_decompress=False,
            access_log=None,
        )
        self.listener = await loop.create_server(
            self.server, host, port, backlog=BACKLOG
        )

    def close_idle(self, limits):
        """Close connections that have been without a request too long.

        :param limits: :class:`~boragetrail.direct.model.Limits`
        """
        connections = self.server.connections
        for each in self.idle_tracker.expired(connections, self.busy, limits):
            each.force_close()

    async def stop_accepting(self):
        """Close the port and end the connections without a request."""
        self.listener.close()
        self.server.pre_shutdown()
        # Requests that were read before now start their handlers.
        for _ in range(HANDLER_START_TURNS):
            await asyncio.sleep(0)
        # pre_shutdown leaves idle connections open and unread.
        for connection in self.server.connections:
            if connection not in self.busy:
                connection.force_close()

    async def close(self):
        """End all connections."""
        if self.server is not None:
            self.listener.close()
            for connection in self.server.connections:
                connection.force_close()
            await self.server.shutdown(timeout=CLOSE_TIMEOUT_S)

    async def _handle(self, http):
        if http.transport is None:
            # The connection was closed after the request had been read.
            return aiohttp.web.Response(status=503)
        connection = http.protocol
        self.busy.add(connection)
        self.idle_tracker.request_seen(connection)
        request = DirectRequest(http, self.clock())
        caller = CallerResponse(http, self.stopping)
        try:
            return await self._answer(request, caller)
        finally:
            self.busy.discard(connection)

    async def _answer(self, request, caller):
        try:
            failure = await self._serve(request, caller)
        except asyncio.CancelledError:
            self._log(Event.REQUEST_CANCELLED, request, None)
            raise
        except ConnectionError as exc:
            # The caller's connection broke while it was written to.
            failure = Failure(Reason.CANCELLED, repr(exc))
        except Exception as exc:
            failure = Failure(Reason.PROTOCOL, repr(exc))
            log_event(
                Event.HANDLER_FAILED, request=request.id, error=repr(exc)
            )
        self._settle(request, caller, failure)
        return caller.response

    async def _serve(self, request, caller):
        http = request.http
        if "Expect" in http.headers and http.transport is not None:
            http.transport.write(CONTINUE)
        failure = await self.chain.run(request)
        if failure is not None:
            return failure
        if self._runs_without_caller(request):
            return await self._serve_detached(request, caller)
        return await self.dispatcher.run(request, caller)

    def _runs_without_caller(self, request):
        return request.route.kind is RequestKind.AT_MOST_ONCE

    async def _serve_detached(self, request, caller):
        """Serve a request that runs on if its caller leaves."""
        task = asyncio.ensure_future(self.dispatcher.run(request, caller))
        self.detached.add(task)
        task.add_done_callback(self.detached.discard)
        return await asyncio.shield(task)

    def _settle(self, request, caller, failure):
        """Make sure that the caller gets an answer, or none at all."""
        code = failure.reason.code if failure is not None else "ok"
        if failure is None:
            self._log(Event.REQUEST_DONE, request, None)
        else:
            self._log(Event.REQUEST_FAILED, request, failure)
            if caller.started:
                caller.abort()
            elif caller.response is None:
                caller.problem(failure)
        took_s = self.clock() - request.received_s
        service = request.service.name if request.service else ""
        self.metrics.record_request(code, service, took_s)

    def _log(self, event, request, failure):
        fields = {"request": request.id}
        if request.route is not None:
            fields["route"] = request.route.name
            fields["version"] = request.configuration.version
        if failure is not None:
            fields["code"] = failure.reason.code
            fields["detail"] = failure.detail
            fields["ran"] = failure.ran.value
        fields.update(request.decision)
        fields["after_s"] = round(self.clock() - request.received_s, 3)
        log_event(event, **fields)
