"""Failures that functions return in place of a result.

Each layer has its own class of failures. A layer converts the failures of the
layer below into its own.
"""

__all__ = [
    "Failure",
    "PlatformFailure",
    "LinkFailure",
    "BackendFailure",
    "Refusal",
    "ChangeFailure",
    "is_failure",
]


class Failure:
    """Reason why an operation has no result.

    :param reason: :class:`~boragetrail.reasons.Reason`
    :param detail: text that names the object that the operation was for, such
        as a server
    :param ran: whether the request was executed, as
        :class:`~boragetrail.reasons.Executed`; ``None`` stands for
        ``reason.ran``
    :param retry_after_s: seconds that a caller should wait before a retry, or
        0 if there is no such advice
    """

    __slots__ = ("reason", "detail", "ran", "retry_after_s")

    def __init__(self, reason, detail="", ran=None, retry_after_s=0.0):
        self.reason = reason
        self.detail = detail
        self.ran = reason.ran if ran is None else ran
        self.retry_after_s = retry_after_s

    def __repr__(self):
        name = type(self).__name__
        return f"{name}({self.reason.code}, {self.detail!r}, {self.ran.value})"


class PlatformFailure:
    """Reason why a call to the platform has no usable response.

    :param detail: text that names the call
    :param took_effect: ``False`` if a write certainly had no effect, ``None``
        if that is unknown
    :param conflicts_by_key: rows by key that violated a transaction's
        conditions, or ``None`` if there are none
    """

    __slots__ = ("detail", "took_effect", "conflicts_by_key")

    def __init__(self, detail, took_effect=None, conflicts_by_key=None):
        self.detail = detail
        self.took_effect = took_effect
        self.conflicts_by_key = conflicts_by_key or {}

    def __repr__(self):
        return f"PlatformFailure({self.detail!r})"


class LinkFailure(Failure):
    """Failure of the connection between a router and an agent."""

    __slots__ = ()


class BackendFailure(Failure):
    """Failure of a backend server, as seen by its agent."""

    __slots__ = ()


class Refusal(Failure):
    """Failure of a request as it is reported to the caller.

    The attribute ``ran`` says whether the request was executed all the same.
    """

    __slots__ = ()

    @classmethod
    def from_failure(cls, failure):
        """Return a refusal with the attributes of another layer's failure."""
        return cls(
            failure.reason,
            failure.detail,
            failure.ran,
            failure.retry_after_s,
        )


class ChangeFailure:
    """Reason why a configuration change was not accepted.

    :param kind: ``conflict``, ``invalid`` or ``unavailable``
    :param detail: text that names the entity
    :param version: for a conflict, the version of the change that was accepted
        before this one, else 0
    """

    __slots__ = ("kind", "detail", "version")

    def __init__(self, kind, detail, version=0):
        self.kind = kind
        self.detail = detail
        self.version = version

    def __repr__(self):
        return f"ChangeFailure({self.kind}, {self.detail!r})"


def is_failure(value):
    """Return whether a value is an instance of a failure class.

    >>> from boragetrail.reasons import Executed, Reason
    >>> is_failure(Refusal(Reason.LEAVING))
    True
    >>> is_failure(Executed.NO)
    False
    """
    return isinstance(value, (Failure, PlatformFailure, ChangeFailure))
