"""A caller's request and the data that filters and dispatcher add."""

import asyncio
import contextlib

__all__ = ["STOP", "DirectRequest"]

# Source of a deadline that is the end of the grace period of a stop.
STOP = "stop"
LOWEST_PRIORITY = 9


class DirectRequest:
    """Hold a caller's request and the data that filters and dispatcher add.

    :param http_request: ``aiohttp.web.BaseRequest`` of the caller
    :param received_s: monotonic time at which its head was read
    :ivar body_share: :class:`~boragetrail.direct.buffers.BufferShare` of its
        body, or ``None`` without one
    :ivar detached_task: task that serves it though its caller has
        disconnected, or ``None``
    :ivar configuration:
        :class:`~boragetrail.direct.model.Configuration` by which the request
        is served
    :ivar route: :class:`~boragetrail.direct.model.Route`
    :ivar customer: :class:`~boragetrail.direct.model.Customer` or ``None``
    :ivar selection: log fields of the last selection of a server
    :ivar deadline_s: monotonic time at which the response must be complete
    :ivar deadline_source: whose limit the deadline is: ``"route"``,
        ``"caller"`` or ``STOP``
    :ivar is_waiting: whether it waits for a place, so that no server has it
    :ivar timeout: ``asyncio.Timeout`` of the work in progress, or ``None``
    """

    __slots__ = (
        "http_request",
        "received_s",
        "id",
        "configuration",
        "route",
        "service",
        "customer",
        "body",
        "body_share",
        "detached_task",
        "deadline_s",
        "deadline_source",
        "is_waiting",
        "timeout",
        "selection",
    )

    def __init__(self, http_request, received_s):
        self.http_request = http_request
        self.received_s = received_s
        self.id = ""
        self.configuration = None
        self.route = None
        self.service = None
        self.customer = None
        self.body = b""
        self.body_share = None
        self.detached_task = None
        self.deadline_s = 0.0
        self.deadline_source = ""
        self.is_waiting = False
        self.timeout = None
        self.selection = {}

    @property
    def priority(self):
        """Return the customer's priority, or else that of the route."""
        priority = self.route.priority
        customer = self.customer
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return max(0, min(LOWEST_PRIORITY, priority))

    @contextlib.asynccontextmanager
    async def until_deadline(self):
        """Limit the work of a block by the deadline, as it is at any time.

        :raises TimeoutError: once the deadline has passed
        """
        try:
            async with asyncio.timeout_at(self.deadline_s) as self.timeout:
                yield
        finally:
            self.timeout = None

    def release_body(self):
        """Give back the memory of the body, which is not used any more."""
        if self.body_share is not None:
            self.body_share.try_resize(0)

    def end(self):
        """Let the deadline pass now, since the router stops."""
        now_s = asyncio.get_running_loop().time()
        if self.deadline_s <= now_s:
            return
        self.deadline_source = STOP
        self.deadline_s = now_s
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(now_s)
