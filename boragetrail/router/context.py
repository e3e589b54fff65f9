"""State of one request while a router handles the request."""

__all__ = ["RequestContext", "Explanation"]


class Explanation:
    """Record how a request was routed, for the ``explain`` command.

    :ivar steps: one dictionary for each attempt at a server
    :ivar outcome: reason code, or ``ok``
    """

    __slots__ = ("request_id", "service", "chat_id", "steps", "outcome")

    def __init__(self, request_id):
        self.request_id = request_id
        self.service = ""
        self.chat_id = ""
        self.steps = []
        self.outcome = ""

    def to_dict(self):
        """Return the fields by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class RequestContext:
    """Hold a caller's request and the data that filters derive from it.

    :ivar http_request: :class:`aiohttp.web.Request`
    :ivar received_s: monotonic time at which the request arrived
    :ivar binding: configuration of the customer's binding to the service
    :ivar service: name of the service
    :ivar service_config: configuration of the service
    :ivar hint: server that last served the chat, as the caller reports it,
        and may still hold the chat's KV cache; or empty
    :ivar idempotency_key: caller's key or ticket of an order, or empty
    :ivar protected: whether the request runs at most once
    :ivar idempotent: whether the request may run more than once
    :ivar deadline_s: monotonic time at which the answer must be complete
    :ivar priority: 0 to 9; requests with lower values are served first
    :ivar server: backend server that answers, or empty
    """

    __slots__ = (
        "http_request",
        "request_id",
        "received_s",
        "customer",
        "binding",
        "service",
        "service_config",
        "method",
        "path",
        "headers",
        "body",
        "chat_id",
        "hint",
        "idempotency_key",
        "protected",
        "idempotent",
        "deadline_s",
        "priority",
        "explanation",
        "server",
    )

    def __init__(self, http_request, request_id, received_s):
        self.http_request = http_request
        self.request_id = request_id
        self.received_s = received_s
        self.customer = ""
        self.binding = {}
        self.service = ""
        self.service_config = {}
        self.method = http_request.method
        self.path = ""
        self.headers = []
        self.body = b""
        self.chat_id = ""
        self.hint = ""
        self.idempotency_key = ""
        self.protected = False
        self.idempotent = False
        self.deadline_s = 0.0
        self.priority = 5
        self.explanation = Explanation(request_id)
        self.server = ""
