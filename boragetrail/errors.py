"""Sentinel values that carry a reason, one class for each layer.

Functions return these values in place of a result. A layer converts the
failures of the layer below into its own.
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
    """Describe why an operation has no result.

    :param reason: entry of the catalogue
    :param detail: text that names the thing concerned
    :param ran: whether the request ran; default from the catalogue
    :param retry_after_s: seconds after which a repeat makes sense, or 0
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
    """Describe why a call to the platform has no usable answer.

    :param detail: text that names the call
    :param took_effect: ``False`` if a write surely had no effect
    :param conflicts: rows that broke a transaction's conditions, by key
    """

    __slots__ = ("detail", "took_effect", "conflicts_by_key")

    def __init__(self, detail, took_effect=None, conflicts_by_key=None):
        self.detail = detail
        self.took_effect = took_effect
        self.conflicts_by_key = conflicts_by_key or {}

    def __repr__(self):
        return f"PlatformFailure({self.detail!r})"


class LinkFailure(Failure):
    """Describe a failure of the path between a router and an agent."""

    __slots__ = ()


class BackendFailure(Failure):
    """Describe a failure of a backend server as its agent saw it."""

    __slots__ = ()


class Refusal(Failure):
    """Describe a decision not to run a request."""

    __slots__ = ()

    @classmethod
    def from_failure(cls, failure):
        """Convert a failure of a lower layer into a refusal."""
        return cls(
            failure.reason,
            failure.detail,
            failure.ran,
            failure.retry_after_s,
        )


class ChangeFailure:
    """Describe why a change of configuration was not accepted.

    :param kind: ``conflict``, ``invalid`` or ``unavailable``
    :param detail: text that names the entity
    :param version: version that won, for a conflict
    """

    __slots__ = ("kind", "detail", "version")

    def __init__(self, kind, detail, version=0):
        self.kind = kind
        self.detail = detail
        self.version = version

    def __repr__(self):
        return f"ChangeFailure({self.kind}, {self.detail!r})"


def is_failure(value):
    """Return whether a value is a failure of any layer.

    >>> from boragetrail.reasons import Executed, Reason
    >>> is_failure(Refusal(Reason.LEAVING))
    True
    >>> is_failure(Executed.NO)
    False
    """
    return isinstance(value, (Failure, PlatformFailure, ChangeFailure))
