"""Frontend that accepts callers' connections and serves their requests."""

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

MAX_LINE_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 200
# Longer than any configured limit, since IdleTracker closes idle connections.
KEEPALIVE_S = 3600.0
LINGER_S = 2.0
BACKLOG = 1024
CLOSE_TIMEOUT_S = 0.05
# Iterations of the event loop until a request that was read has started its
# handler.
HANDLER_START_ITERATIONS = 4
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Frontend:
    """Own the callers' port and connections.

    :param filter_chain: :class:`~boragetrail.direct.filters.FilterChain`
    :param dispatcher: :class:`~boragetrail.direct.dispatch.Dispatcher`
    :param metrics: :class:`~boragetrail.direct.metrics.DirectMetrics`
    :param clock: function that returns monotonic seconds
    :param shutdown: :class:`~boragetrail.direct.shutdown.Shutdown`
    :ivar busy_connections: connections whose request has no complete response
    :ivar detached_tasks: tasks of requests that continue after their callers
        have disconnected
    :ivar transports: transports of the connections that were open when the
        port closed
    :ivar requests: :class:`~boragetrail.direct.request.DirectRequest` in
        progress
    """

    def __init__(self, filter_chain, dispatcher, metrics, clock, shutdown):
        self.filter_chain = filter_chain
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.clock = clock
        self.shutdown = shutdown
        self.busy_connections = set()
        self.requests = set()
        self.transports = []
        self.server = None
        self.listener = None
        self.detached_tasks = set()
        self.idle_tracker = IdleTracker(clock)

    @property
    def active(self):
        """Return the number of requests without a complete response."""
        return len(self.busy_connections) + len(self.detached_tasks)

    async def open(self, host, port):
        """Listen for callers."""
        loop = asyncio.get_running_loop()
        self.server = aiohttp.web.Server(
            self._handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADER_FIELDS,
            lingering_time=LINGER_S,
            auto_decompress=False,
            access_log=None,
        )
        self.listener = await loop.create_server(
            self.server, host, port, backlog=BACKLOG
        )

    def close_idle(self, limits):
        """Close connections that were idle for too long.

        :param limits: :class:`~boragetrail.direct.model.Limits`
        """
        connections = self.server.connections
        for each in self.idle_tracker.expired(
            connections, self.busy_connections, limits
        ):
            each.force_close()

    async def stop_accepting(self):
        """Stop listening and close connections without a request.

        The others are still read, since a body may be on its way.
        """
        self.listener.close()
        # Let requests that were already read start their handlers.
        for _ in range(HANDLER_START_ITERATIONS):
            await asyncio.sleep(0)
        connections = self.server.connections
        self.transports = [
            each.transport for each in connections if each.transport
        ]
        for connection in connections:
            if connection not in self.busy_connections:
                connection.force_close()

    def has_unsent_bytes(self):
        """Return whether callers still have to read parts of responses."""
        return any(
            transport.get_write_buffer_size() for transport in self.transports
        )

    def close_connections(self):
        """Close all connections at once, so that no request can begin."""
        for connection in self.server.connections:
            connection.force_close()

    def end_requests(self):
        """Give all requests in progress their last answer."""
        for request in self.requests:
            request.end()

    async def close(self):
        """Close all connections."""
        if self.server is not None:
            self.listener.close()
            self.close_connections()
            await self.server.shutdown(timeout=CLOSE_TIMEOUT_S)

    async def _handle(self, http_request):
        if http_request.transport is None:
            # The connection closed after the request had been read.
            return aiohttp.web.Response(status=503)
        connection = http_request.protocol
        self.busy_connections.add(connection)
        self.idle_tracker.mark_used(connection)
        request = DirectRequest(http_request, self.clock())
        caller = CallerResponse(http_request, self.shutdown)
        self.requests.add(request)
        try:
            return await self._respond(request, caller)
        finally:
            self.requests.discard(request)
            self.busy_connections.discard(connection)
            if request.detached_task is None:
                request.release_body()

    async def _respond(self, request, caller):
        try:
            failure = await self._serve(request, caller)
        except asyncio.CancelledError:
            self._log(Event.REQUEST_CANCELLED, request, None)
            raise
        except ConnectionError as exc:
            # The caller's connection was lost during a write.
            failure = Failure(Reason.CANCELLED, repr(exc))
        except Exception as exc:
            failure = Failure(Reason.PROTOCOL, repr(exc))
            log_event(
                Event.HANDLER_FAILED, request=request.id, error=repr(exc)
            )
        self._finish(request, caller, failure)
        return caller.response

    async def _serve(self, request, caller):
        http_request = request.http_request
        if (
            "Expect" in http_request.headers
            and http_request.transport is not None
        ):
            http_request.transport.write(CONTINUE)
        failure = await self.filter_chain.run(request)
        if failure is None:
            failure = self.shutdown.refusal(request.deadline_s)
        if failure is not None:
            return failure
        if self._survives_disconnect(request):
            return await self._serve_detached(request, caller)
        return await self.dispatcher.run(request, caller)

    def _survives_disconnect(self, request):
        return request.route.kind is RequestKind.AT_MOST_ONCE

    async def _serve_detached(self, request, caller):
        """Serve a request that continues if its caller disconnects.

        One that waits for a place has not begun, and ends with its caller.
        """
        task = asyncio.ensure_future(self.dispatcher.run(request, caller))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if request.is_waiting:
                task.cancel()
            request.detached_task = task
            self.detached_tasks.add(task)
            task.add_done_callback(self.detached_tasks.discard)
            task.add_done_callback(lambda _: request.release_body())
            raise

    def _finish(self, request, caller, failure):
        """Log and count the result of a request.

        On a failure, set the error response, or abort a response that has
        started.
        """
        code = failure.reason.code if failure is not None else "ok"
        if failure is None:
            self._log(Event.REQUEST_DONE, request, None)
        else:
            self._log(Event.REQUEST_FAILED, request, failure)
            if caller.started:
                caller.abort()
            elif caller.response is None:
                caller.set_failure(failure)
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
        fields.update(request.selection)
        if self.shutdown.begun:
            received_s = self.shutdown.begun_for_s(request.received_s)
            fields["received_in_stop_s"] = round(received_s, 3)
        fields["after_s"] = round(self.clock() - request.received_s, 3)
        log_event(event, **fields)
