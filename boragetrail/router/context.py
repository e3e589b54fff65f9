"""What the filters of the chain know about one request."""

__all__ = ["RequestContext", "Explanation"]


class Explanation:
    """Record how a request was decided, for the ``explain`` command.

    :ivar steps: one dictionary for each server tried
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
        """Return the explanation for a dump."""
        return {name: getattr(self, name) for name in self.__slots__}


class RequestContext:
    """Hold one request of a caller while the filters work on it.

    :ivar http: the request as ``aiohttp`` gives it
    :ivar service: name of the service
    :ivar service_value: its configuration
    :ivar protected: whether the request runs at most once
    :ivar idempotent: whether the request may be repeated
    :ivar deadline_s: monotonic time at which the answer must be whole
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
        "key",
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
        self.key = ""
        self.protected = False
        self.idempotent = False
        self.deadline_s = 0.0
        self.priority = 5
        self.explanation = Explanation(request_id)
        self.server = ""
