"""Catalogue of the reasons why requests are refused or fail.

The code of a reason is the same in responses, log events, metrics and state
dumps.
"""

import enum

__all__ = ["Executed", "Reason", "REASONS_BY_CODE", "reasons_markdown"]


class Executed(str, enum.Enum):
    """Whether a request was executed by a backend server."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Reason(enum.Enum):
    """Reason of a refusal or failure.

    :ivar code: code in responses, log events, metrics and state dumps
    :ivar status: HTTP status of the response to the caller
    :ivar ran: :class:`Executed`, whether a request that fails for this reason
        was executed; the attribute ``ran`` of a failure takes precedence
    :ivar text: sentence that explains the reason
    """

    BAD_KEY = ("bad-key", 401, Executed.NO, "The API key is not known.")
    NOT_BOUND = (
        "not-bound",
        403,
        Executed.NO,
        "The customer has no binding to this service.",
    )
    NO_SERVICE = (
        "no-service",
        404,
        Executed.NO,
        "The service does not exist.",
    )
    NO_ROUTE = (
        "no-route",
        404,
        Executed.NO,
        "No route matches the host and path.",
    )
    BODY_LATE = (
        "body-late",
        408,
        Executed.NO,
        "The body did not arrive in time.",
    )
    BAD_REQUEST = (
        "bad-request",
        400,
        Executed.NO,
        "The request is malformed.",
    )
    BODY_TOO_LARGE = (
        "body-too-large",
        413,
        Executed.NO,
        "The body exceeds the service's limit.",
    )
    HEADERS_TOO_LARGE = (
        "headers-too-large",
        431,
        Executed.NO,
        "The header fields exceed the size limit.",
    )
    ANSWER_TOO_LARGE = (
        "answer-too-large",
        502,
        Executed.YES,
        "The response exceeds the stream size limit.",
    )
    OVER_CAP = (
        "over-cap",
        503,
        Executed.NO,
        "The backend server is at its load limit, a multiple of the mean.",
    )
    COLD = (
        "cold",
        503,
        Executed.NO,
        "The backend server is warming up and at its reduced load limit.",
    )
    OVERLOADED = (
        "overloaded",
        503,
        Executed.NO,
        "The request could not start before its deadline.",
    )
    BODY_NO_ROOM = (
        "body-no-room",
        503,
        Executed.NO,
        "The bodies of other requests take the memory for bodies.",
    )
    PROMPT_TOO_LARGE = (
        "prompt-too-large",
        503,
        Executed.NO,
        "The request needs more memory than any backend server has.",
    )
    QUARANTINED = (
        "quarantined",
        503,
        Executed.NO,
        "A part of the prompt has crashed servers.",
    )
    PAUSED = (
        "paused",
        503,
        Executed.NO,
        "All backend servers have asked for a pause.",
    )
    STREAM_UNKNOWN = (
        "stream-unknown",
        503,
        Executed.NO,
        "It is not known which software version began the stream.",
    )
    VERSION_GONE = (
        "version-gone",
        503,
        Executed.NO,
        "No backend server has the software version that began the stream.",
    )
    LIMITED = (
        "limited",
        503,
        Executed.NO,
        "All backend servers limit the rate of their requests.",
    )
    DEADLINE = (
        "deadline",
        504,
        Executed.UNKNOWN,
        "The deadline passed before the response was complete.",
    )
    ZONE_OUT = (
        "zone-out",
        503,
        Executed.NO,
        "The availability zone is out of service.",
    )
    LEAVING = (
        "leaving",
        503,
        Executed.NO,
        "The backend server is shutting down.",
    )
    DRAINED = (
        "drained",
        503,
        Executed.NO,
        "An operator drained the backend server.",
    )
    STOPPING = ("stopping", 503, Executed.NO, "The router is shutting down.")
    CONFIG_STALE = (
        "config-stale",
        503,
        Executed.NO,
        "The configuration could not be confirmed as current.",
    )
    NO_CONFIG = (
        "no-config",
        503,
        Executed.NO,
        "The process has no configuration yet.",
    )
    WRONG_INCARNATION = (
        "wrong-incarnation",
        502,
        Executed.UNKNOWN,
        "The agent restarted after the request was addressed to it.",
    )
    TOMBSTONED = (
        "tombstoned",
        503,
        Executed.NO,
        "The attempt was declared not executed before it arrived.",
    )
    NO_SERVER = (
        "no-server",
        503,
        Executed.NO,
        "No backend server of the service accepts requests.",
    )
    UNREACHABLE = (
        "unreachable",
        503,
        Executed.NO,
        "The backend server could not be reached.",
    )
    LINK_LOST = (
        "link-lost",
        502,
        Executed.UNKNOWN,
        "The connection to the agent was lost after dispatch.",
    )
    BACKEND_FAILED = (
        "backend-failed",
        502,
        Executed.UNKNOWN,
        "The backend server failed while it executed the request.",
    )
    TRUNCATED = (
        "truncated",
        502,
        Executed.UNKNOWN,
        "The response ended before its end marker.",
    )
    CANCELLED = (
        "cancelled",
        499,
        Executed.UNKNOWN,
        "The caller disconnected.",
    )
    STORE_DOWN = (
        "store-down",
        503,
        Executed.NO,
        "The order could not be claimed; retry it with the ticket.",
    )
    KEY_REUSED = (
        "key-reused",
        422,
        Executed.NO,
        "The idempotency key was used with another request.",
    )
    ORDER_UNKNOWN = (
        "order-unknown",
        502,
        Executed.UNKNOWN,
        "The order may have been executed; its agent lost the outcome.",
    )
    BAD_TICKET = ("bad-ticket", 400, Executed.NO, "The ticket is malformed.")
    TICKET_EXPIRED = (
        "ticket-expired",
        409,
        Executed.UNKNOWN,
        "The ticket is older than the retention time of responses.",
    )
    LEDGER_FULL = (
        "ledger-full",
        503,
        Executed.NO,
        "The agent has no space to keep another order's response.",
    )
    FENCED = (
        "fenced",
        409,
        Executed.NO,
        "The fencing token is older than one already seen.",
    )
    PROTOCOL = (
        "protocol",
        502,
        Executed.UNKNOWN,
        "A peer violated the protocol between processes.",
    )

    def __init__(self, code, status, ran, text):
        self.code = code
        self.status = status
        self.ran = ran
        self.text = text


REASONS_BY_CODE = {reason.code: reason for reason in Reason}


def reasons_markdown():
    """Return the catalogue of reason codes as a Markdown page."""
    lines = ["# Reason codes", "", "| code | status | ran | meaning |"]
    lines.append("|---|---|---|---|")
    for reason in Reason:
        ran = reason.ran.value
        row = f"| `{reason.code}` | {reason.status} | {ran} | {reason.text} |"
        lines.append(row)
    return "\n".join(lines) + "\n"
