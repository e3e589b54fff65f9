"""A caller's request and the data that filters and dispatcher add."""

__all__ = ["DirectRequest"]


class DirectRequest:
    """Hold a caller's request and the data that filters and dispatcher add.

    :param http_request: ``aiohttp.web.BaseRequest`` of the caller
    :param received_s: monotonic time at which its head was read
    :ivar configuration:
        :class:`~boragetrail.direct.model.Configuration` by which the request
        is served
    :ivar route: :class:`~boragetrail.direct.model.Route`
    :ivar customer: :class:`~boragetrail.direct.model.Customer` or ``None``
    :ivar selection: log fields of the last selection of a server
    :ivar deadline_s: monotonic time at which the response must be complete
    :ivar deadline_source: whose limit the deadline is: ``"route"`` or
        ``"caller"``
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
        "deadline_s",
        "deadline_source",
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
        self.deadline_s = 0.0
        self.deadline_source = ""
        self.selection = {}
