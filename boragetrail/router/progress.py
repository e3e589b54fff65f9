"""Progress of a request over its attempts, and when it may be retried."""

from boragetrail.reasons import Executed, Reason

__all__ = ["RETRYABLE_REASONS", "RequestProgress", "can_retry_elsewhere"]

# Reasons after which another server may accept the request.
RETRYABLE_REASONS = frozenset(
    (
        Reason.OVER_CAP,
        Reason.COLD,
        Reason.ZONE_OUT,
        Reason.LEAVING,
        Reason.DRAINED,
        Reason.CONFIG_STALE,
        Reason.NO_CONFIG,
        Reason.WRONG_INCARNATION,
        Reason.UNREACHABLE,
        Reason.OVERLOADED,
        Reason.LEDGER_FULL,
        Reason.PROTOCOL,
        Reason.TOMBSTONED,
    )
)


class RequestProgress:
    """Hold the retry state of one request over all of its attempts.

    :ivar tried_servers: names of the servers that failed or refused
    :ivar extra_attempts: number of attempts after every server was tried
        once
    :ivar started: whether the caller has received status and header fields
    :ivar events: number of complete server-sent events forwarded to the
        caller
    :ivar events_before_attempt: value of ``events`` when the current attempt
        began, because an agent counts events from 0 in each attempt
    :ivar at_event_end: whether the forwarded bytes end with a complete event
    :ivar last_failure: failure of the latest attempt
    """

    __slots__ = (
        "tried_servers",
        "extra_attempts",
        "started",
        "events",
        "at_event_end",
        "last_failure",
        "events_before_attempt",
    )

    def __init__(self):
        self.tried_servers = set()
        self.extra_attempts = 0
        self.started = False
        self.events = 0
        self.events_before_attempt = 0
        self.at_event_end = True
        self.last_failure = None

    def record_data(self, exchange):
        """Update the number of events that the request has forwarded.

        :param exchange: :class:`~boragetrail.router.exchange.Exchange` of
            the current attempt
        """
        self.at_event_end = exchange.at_event_end
        self.events = self.events_before_attempt + exchange.events

    def record_failure(self, choice, failure):
        """Record a failed attempt."""
        self.tried_servers.add(choice.candidate.name)
        self.last_failure = failure
        self.events_before_attempt = self.events

    def is_resumable(self, context):
        """Return whether another server can continue a started answer."""
        is_model = context.service_config.get("kind") == "model"
        return is_model and self.at_event_end and self.events > 0


def can_retry_elsewhere(failure):
    """Return whether an order may be dispatched to another server."""
    return failure.ran == Executed.NO and failure.reason in RETRYABLE_REASONS
