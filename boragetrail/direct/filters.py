"""The filters that a request passes before it is dispatched."""

import asyncio

from boragetrail.errors import Refusal
from boragetrail.reasons import Reason

__all__ = ["FilterChain"]

# Seconds after which a caller may try a router that is starting.
START_RETRY_S = 0.5
BODY_RETRY_S = 0.1


class FilterChain:
    """Check a request and fill in what it is dispatched by.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param random: random generator for split routes
    """

    def __init__(self, directory, names, random):
        self.directory = directory
        self.names = names
        self.random = random
        self.steps = (
            self._known_configuration,
            self._header_size,
            self._route,
            self._customer,
            self._service,
            self._deadline,
        )

    async def run(self, request):
        """Return a :class:`~boragetrail.errors.Refusal` or ``None``.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        """
        request.id = request.http.headers.get(self.names.request_id, "")
        for step in self.steps:
            refusal = step(request)
            if refusal is not None:
                return refusal
        return await self._body(request)

    def _known_configuration(self, request):
        request.configuration = self.directory.configuration
        if request.configuration is None:
            return Refusal(Reason.NO_CONFIG, retry_after_s=START_RETRY_S)
        return None

    def _header_size(self, request):
        size = sum(
            len(name) + len(value) + 4
            for name, value in request.http.raw_headers
        )
        most = request.configuration.limits.header_bytes
        if size > most:
            detail = f"{size} bytes of header fields, {most} allowed"
            return Refusal(Reason.HEADERS_TOO_LARGE, detail)
        return None

    def _route(self, request):
        http = request.http
        host = http.headers.get("Host", "").partition(":")[0].lower()
        path = http.raw_path.partition("?")[0]
        request.route = request.configuration.find_route(host, path)
        if request.route is None:
            return Refusal(Reason.NO_ROUTE, f"host {host!r}, path {path!r}")
        return None

    def _customer(self, request):
        configuration = request.configuration
        key = request.http.headers.get(self.names.key)
        request.customer = configuration.customers_by_key.get(key)
        if not configuration.needs_keys or request.route.public:
            return None
        if request.customer is None:
            return Refusal(Reason.BAD_KEY)
        return None

    def _service(self, request):
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

    def _deadline(self, request):
        left_s = request.route.timeout_s
        request.deadline_from = "route"
        text = request.http.headers.get(self.names.deadline_ms)
        if text is not None:
            try:
                asked_s = float(text) / 1000.0
            except ValueError:
                detail = f"{self.names.deadline_ms}: {text!r} is no number"
                return Refusal(Reason.BAD_REQUEST, detail)
            if asked_s < left_s:
                left_s = asked_s
                request.deadline_from = "caller"
        request.deadline_s = request.received_s + left_s
        return None

    async def _body(self, request):
        http = request.http
        if not http.body_exists:
            return None
        most = request.configuration.limits.body_bytes
        if (http.content_length or 0) > most:
            return Refusal(Reason.BODY_TOO_LARGE, f"{most} bytes allowed")
        parts = []
        size = 0
        try:
            async with asyncio.timeout_at(request.deadline_s):
                async for part in http.content.iter_any():
                    parts.append(part)
                    size += len(part)
                    if size > most:
                        detail = f"{most} bytes allowed"
                        return Refusal(Reason.BODY_TOO_LARGE, detail)
        except TimeoutError:
            return Refusal(Reason.BODY_LATE, retry_after_s=BODY_RETRY_S)
        request.body = b"".join(parts)
        return None
