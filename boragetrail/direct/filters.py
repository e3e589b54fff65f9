"""Filters that check a request before it is dispatched."""

from boragetrail.direct.buffers import (
    MAX_REQUEST_BYTES,
    BufferBudget,
    BufferShare,
)
from boragetrail.direct.request import STOP
from boragetrail.errors import Refusal
from boragetrail.reasons import Reason

__all__ = ["FilterChain"]

# Retry-After of a router that has no configuration yet.
STARTING_RETRY_AFTER_S = 0.5
# Retry-After of a request whose body did not arrive before the deadline.
BODY_RETRY_AFTER_S = 0.1
# Retry-After of a request whose body finds no memory. Others end meanwhile.
NO_ROOM_RETRY_AFTER_S = 1.0


class FilterChain:
    """Check a request and add its route, service, customer and deadline.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param random: random generator that selects among a route's services
    :ivar body_budget: :class:`~boragetrail.direct.buffers.BufferBudget` of
        the bodies of all requests
    """

    def __init__(self, directory, names, random):
        self.directory = directory
        self.names = names
        self.random = random
        self.body_budget = BufferBudget(MAX_REQUEST_BYTES)
        self.filters = (
            self._require_configuration,
            self._check_header_size,
            self._match_route,
            self._authenticate,
            self._select_service,
            self._set_deadline,
        )

    async def run(self, request):
        """Apply all filters to a request and read its body.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :returns: :class:`~boragetrail.errors.Refusal`, or ``None`` if the
            request may be dispatched
        """
        request.id = request.http_request.headers.get(
            self.names.request_id, ""
        )
        for apply_filter in self.filters:
            refusal = apply_filter(request)
            if refusal is not None:
                return refusal
        return await self._read_body(request)

    def _require_configuration(self, request):
        request.configuration = self.directory.configuration
        if request.configuration is None:
            return Refusal(
                Reason.NO_CONFIG, retry_after_s=STARTING_RETRY_AFTER_S
            )
        return None

    def _check_header_size(self, request):
        size = sum(
            len(name) + len(value) + 4
            for name, value in request.http_request.raw_headers
        )
        limit = request.configuration.limits.header_bytes
        if size > limit:
            detail = f"{size} bytes of header fields, {limit} allowed"
            return Refusal(Reason.HEADERS_TOO_LARGE, detail)
        return None

    def _match_route(self, request):
        http_request = request.http_request
        host = http_request.headers.get("Host", "").partition(":")[0].lower()
        path = http_request.raw_path.partition("?")[0]
        request.route = request.configuration.find_route(host, path)
        if request.route is None:
            return Refusal(Reason.NO_ROUTE, f"host {host!r}, path {path!r}")
        return None

    def _authenticate(self, request):
        configuration = request.configuration
        key = request.http_request.headers.get(self.names.key)
        request.customer = configuration.customers_by_key.get(key)
        if not configuration.needs_keys or request.route.public:
            return None
        if request.customer is None:
            return Refusal(Reason.BAD_KEY)
        return None

    def _select_service(self, request):
        shares = request.route.shares
        weights = [share.weight for share in shares]
        share = shares[0]
        if len(shares) > 1 and sum(weights) > 0:
            share = self.random.choices(shares, weights)[0]
        services = request.configuration.services_by_name
        request.service = services.get(share.service)
        if request.service is None:
            return Refusal(Reason.NO_SERVER, f"service {share.service!r}")
        return None

    def _set_deadline(self, request):
        left_s = request.route.timeout_s
        request.deadline_source = "route"
        text = request.http_request.headers.get(self.names.deadline_ms)
        if text is not None:
            try:
                requested_s = float(text) / 1000.0
            except ValueError:
                detail = f"{self.names.deadline_ms}: {text!r} is not a number"
                return Refusal(Reason.BAD_REQUEST, detail)
            if requested_s < left_s:
                left_s = requested_s
                request.deadline_source = "caller"
        request.deadline_s = request.received_s + left_s
        return None

    async def _read_body(self, request):
        http_request = request.http_request
        if not http_request.body_exists:
            return None
        limit = request.configuration.limits.body_bytes
        # A larger body never finds room.
        limit = min(limit, MAX_REQUEST_BYTES)
        length = http_request.content_length or 0
        if length > limit:
            return Refusal(Reason.BODY_TOO_LARGE, f"{limit} bytes allowed")
        request.body_share = BufferShare(self.body_budget)
        if not request.body_share.has_room(length):
            return _no_room()
        chunks = []
        size = 0
        try:
            async with request.until_deadline():
                async for chunk in http_request.content.iter_any():
                    chunks.append(chunk)
                    size += len(chunk)
                    if size > limit:
                        detail = f"{limit} bytes allowed"
                        return Refusal(Reason.BODY_TOO_LARGE, detail)
                    if not request.body_share.try_resize(size):
                        return _no_room()
        except TimeoutError:
            stops = request.deadline_source == STOP
            reason = Reason.STOPPING if stops else Reason.BODY_LATE
            return Refusal(reason, retry_after_s=BODY_RETRY_AFTER_S)
        request.body = b"".join(chunks)
        return None


def _no_room():
    """Return the refusal of a request whose body finds no memory."""
    return Refusal(Reason.BODY_NO_ROOM, retry_after_s=NO_ROOM_RETRY_AFTER_S)
