"""One request of a caller on its way through the filters."""

__all__ = ["DirectRequest"]


class DirectRequest:
    """Hold what the filters and the dispatcher know of a request.

    :param http: the request as ``aiohttp`` gives it
    :param received_s: monotonic time at which its head was read
    :ivar configuration: version that it is handled by
    :ivar route: :class:`~boragetrail.direct.model.Route`
    :ivar customer: :class:`~boragetrail.direct.model.Customer` or ``None``
    :ivar decision: inputs of the last choice of a server, for the log
    :ivar deadline_s: monotonic time at which the answer must be whole
    :ivar deadline_from: what sets it: ``"route"`` or ``"caller"``
    """

    __slots__ = (
        "http",
        "received_s",
        "id",
        "configuration",
        "route",
        "service",
        "customer",
        "body",
        "deadline_s",
        "deadline_from",
        "decision",
    )

    def __init__(self, http, received_s):
        self.http = http
        self.received_s = received_s
        self.id = ""
        self.configuration = None
        self.route = None
        self.service = None
        self.customer = None
        self.body = b""
        self.deadline_s = 0.0
        self.deadline_from = ""
        self.decision = {}
