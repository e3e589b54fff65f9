"""Filters that check a caller's request and complete the request context.

Filters are applied in order until one of them refuses the request.
"""

import abc
import hashlib
import json

from boragetrail.errors import Refusal
from boragetrail.reasons import Reason

__all__ = [
    "Filter",
    "AuthenticationFilter",
    "BodyFilter",
    "ChatFilter",
    "FreshnessFilter",
    "HeaderFilter",
    "OrderFilter",
    "RouteFilter",
    "run_chain",
]

CHAT_PATH = "/v1/chat/completions"
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
DEFAULT_DEADLINE_MS = 60_000
MAX_IDEMPOTENCY_KEY_CHARACTERS = 512
MAX_CHAT_ID_CHARACTERS = 200
# Header fields that are not forwarded to a backend server.
EXCLUDED_HEADERS = frozenset(
    (
        "host",
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "upgrade",
        "te",
        "trailer",
        "authorization",
        "idempotency-key",
        "proxy-authorization",
        "expect",
        "x-priority",
        "x-resume-events",
        "x-chat-id",
        "x-chat-hint",
    )
)


class Filter(abc.ABC):
    """Check a request and set attributes of the request context.

    :param router: :class:`~boragetrail.router.daemon.RouterDaemon`
    """

    def __init__(self, router):
        self.router = router

    @abc.abstractmethod
    async def apply(self, context):
        """Return ``None`` to continue with the next filter, or a refusal.

        :param context: :class:`~boragetrail.router.context.RequestContext`
        :returns: ``None`` or :class:`~boragetrail.errors.Refusal`
        """


async def run_chain(filters, context):
    """Apply filters in order and return the first refusal, or ``None``."""
    for request_filter in filters:
        refusal = await request_filter.apply(context)
        if refusal is not None:
            return refusal
    return None


class HeaderFilter(Filter):
    """Limit the size of the header fields and copy those to forward."""

    async def apply(self, context):
        """Check the size and copy the header fields."""
        raw = context.http_request.raw_headers
        size = sum(len(name) + len(value) + 4 for name, value in raw)
        limit = self.router.settings.header_bytes
        if size > limit:
            detail = f"{size} bytes of header fields, limit {limit}"
            return Refusal(Reason.HEADERS_TOO_LARGE, detail)
        context.headers = [
            (name, value)
            for name, value in context.http_request.headers.items()
            if name.lower() not in EXCLUDED_HEADERS
        ]
        return None


class AuthenticationFilter(Filter):
    """Find the customer by the API key in the Authorization header."""

    async def apply(self, context):
        """Check the API key."""
        scheme, _, key = context.http_request.headers.get(
            "Authorization", ""
        ).partition(" ")
        if scheme.lower() != "bearer" or not key:
            return Refusal(
                Reason.BAD_KEY, "an API key as bearer token is required"
            )
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        customer = self.router.customers_by_key_digest.get(digest)
        if customer is None:
            return Refusal(Reason.BAD_KEY, "the API key is not known")
        context.customer = customer
        return None


class RouteFilter(Filter):
    """Find the service and the customer's binding to the service."""

    async def apply(self, context):
        """Resolve the service of the request."""
        request = context.http_request
        doc = self.router.doc
        service = request.match_info.get("service", "")
        if service:
            prefix = f"/services/{service}"
            context.path = request.rel_url.raw_path_qs.removeprefix(prefix)
            value = doc.get("service", service)
            if value is not None and value["kind"] != "application":
                value = None
        else:
            service = request.headers.get("X-Service", "")
            service = service or self._only_model_service(context)
            context.path = CHAT_PATH
            value = doc.get("service", service)
        if value is None:
            return Refusal(Reason.NO_SERVICE, f"service {service!r}")
        binding = doc.binding(context.customer, service)
        if binding is None:
            detail = f"customer {context.customer!r}, service {service!r}"
            return Refusal(Reason.NOT_BOUND, detail)
        context.service = service
        context.service_config = value
        context.binding = binding
        context.priority = binding.get("priority", 5)
        return None

    def _only_model_service(self, context):
        names = self.router.model_services_of(context.customer)
        return names[0] if names else ""


class FreshnessFilter(Filter):
    """Refuse requests while the configuration is missing or stale."""

    async def apply(self, context):
        """Check that the configuration is loaded and fresh."""
        name = self.router.name
        if not self.router.doc.version:
            detail = f"router {name!r}"
            return Refusal(Reason.NO_CONFIG, detail, retry_after_s=1.0)
        if not self.router.configuration.is_fresh():
            detail = f"router {name!r}"
            return Refusal(Reason.CONFIG_STALE, detail, retry_after_s=1.0)
        return None


class BodyFilter(Filter):
    """Read the body up to the size limit and set the deadline."""

    async def apply(self, context):
        """Read the body and the deadline."""
        limit = min(
            self.router.settings.body_bytes,
            context.service_config.get("body_bytes", 1 << 62),
        )
        length = context.http_request.content_length
        if length is not None and length > limit:
            return self._too_large(limit)
        parts, size = [], 0
        async for part in context.http_request.content.iter_any():
            size += len(part)
            if size > limit:
                return self._too_large(limit)
            parts.append(part)
        context.body = b"".join(parts)
        return self._set_deadline(context)

    def _too_large(self, limit):
        return Refusal(Reason.BODY_TOO_LARGE, f"the limit is {limit} bytes")

    def _set_deadline(self, context):
        max_deadline_ms = context.service_config.get(
            "deadline_ms", DEFAULT_DEADLINE_MS
        )
        text = context.http_request.headers.get(
            "X-Deadline-Ms", str(max_deadline_ms)
        )
        if not text.isdigit() or not int(text):
            detail = f"X-Deadline-Ms {text!r}: must be a positive integer"
            return Refusal(Reason.BAD_REQUEST, detail)
        deadline_ms = min(int(text), max_deadline_ms)
        context.deadline_s = context.received_s + deadline_ms / 1000
        return None


class ChatFilter(Filter):
    """Check a chat request and read the chat's id and the caller's hint.

    The hint is the name of the server that last served the chat and may still
    hold the chat's KV cache.
    """

    async def apply(self, context):
        """Check the ids and, for a model service, the body."""
        headers = context.http_request.headers
        context.chat_id = headers.get("X-Chat-Id", "")
        context.hint = headers.get("X-Chat-Hint", "")
        if context.service_config["kind"] != "model":
            return self._check_ids(context)
        try:
            body = json.loads(context.body)
        except ValueError as exc:
            return Refusal(Reason.BAD_REQUEST, f"the body is not JSON: {exc}")
        detail = _chat_error(body)
        if detail:
            return Refusal(Reason.BAD_REQUEST, detail)
        context.chat_id = context.chat_id or body.get("chat_id", "")
        context.hint = context.hint or body.get("chat_hint", "")
        context.chat_id = context.chat_id or f"chat-{context.request_id}"
        context.idempotent = True
        if not body.get("stream"):
            # Users read streams as they arrive, so streams are served first.
            context.priority = min(9, context.priority + 2)
        return self._check_ids(context)

    def _check_ids(self, context):
        for value in (context.chat_id, context.hint):
            if (
                not isinstance(value, str)
                or len(value) > MAX_CHAT_ID_CHARACTERS
            ):
                detail = (
                    "chat id and hint: must be strings of up to 200 characters"
                )
                return Refusal(Reason.BAD_REQUEST, detail)
        if context.chat_id:
            # The engine stores the KV cache under the chat id.
            context.headers.append(("X-Chat-Id", context.chat_id))
        context.explanation.chat_id = context.chat_id
        return None


class OrderFilter(Filter):
    """Determine whether a request runs at most once or is idempotent."""

    async def apply(self, context):
        """Check the idempotency key and match the protected routes."""
        context.explanation.service = context.service
        key = context.http_request.headers.get("Idempotency-Key", "")
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
            detail = "Idempotency-Key: must have up to 512 characters"
            return Refusal(Reason.BAD_REQUEST, detail)
        context.idempotency_key = key
        routes = context.service_config.get("protected", [])
        is_listed = any(_route_matches(route, context) for route in routes)
        context.protected = bool(key) or is_listed
        if context.service_config["kind"] == "application":
            context.idempotent = context.method in SAFE_METHODS
        return None


def _route_matches(route, context):
    if route["method"] not in ("*", context.method):
        return False
    return context.path.startswith(route["prefix"])


def _chat_error(body):
    if not isinstance(body, dict):
        return "the body must be a JSON object"
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return "messages: must be a list with at least one message"
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or "role" not in message:
            return f"messages[{number}]: must be an object with a role"
        if not isinstance(message.get("content"), (str, list)):
            return f"messages[{number}].content: must be a string or a list"
    return ""
