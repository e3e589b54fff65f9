"""Names of the states of an attempt and of the response to it."""

import enum

__all__ = ["AttemptState", "ExchangeOutcome", "ResponsePhase"]


class AttemptState(enum.Enum):
    """Name the states of an attempt."""

    NOT_SENT = "not sent"
    SENT = "sent"
    REFUSED = "refused by the server"
    RESPONDING = "answering"
    COMPLETE = "complete"
    FAILED = "broken"


class ExchangeOutcome(enum.Enum):
    """Name the results of waiting for the head of a response."""

    RESPONSE = "answer"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    FAILED = "broken"


class ResponsePhase(str, enum.Enum):
    """Name how far the response to an attempt has come.

    A response has begun when its head has arrived, and has progressed when
    one of its events, or all of its body, has arrived. It is survived once its
    server still runs some time later, see
    :class:`~boragetrail.direct.begunresponses.BegunResponses`.
    """

    NO_HEAD = "no head"
    BEGUN = "begun"
    PROGRESSED = "progressed"
    SURVIVED = "survived"
