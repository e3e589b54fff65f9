"""Limits on the bodies that a router buffers as a whole."""

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_PEER_BODY_BYTES",
    "MAX_REQUEST_BYTES",
    "BufferBudget",
    "BufferShare",
]

# Limits on bodies that are not streams: on one body, and on all that a router
# buffers at a time, with incomplete events of streams.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
# Limit on the bodies of all requests in progress. A connection to a server
# that reads slowly holds a second copy of a body.
MAX_REQUEST_BYTES = 32 * 1024 * 1024
# Limit on what another router sends of its rows or cached parts.
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024


class BufferBudget:
    """Limit the memory for what a router buffers.

    >>> budget = BufferBudget(100)
    >>> budget.try_take(80), budget.try_take(30)
    (True, False)
    >>> budget.give_back(80)
    >>> budget.try_take(30)
    True
    """

    __slots__ = ("left_bytes",)

    def __init__(self, limit_bytes=MAX_BUFFERED_BYTES):
        self.left_bytes = limit_bytes

    def try_take(self, size):
        """Take a number of bytes; returns whether as many were left."""
        if size > self.left_bytes:
            return False
        self.left_bytes -= size
        return True

    def give_back(self, size):
        """Give back bytes that were taken."""
        self.left_bytes += size


class BufferShare:
    """Hold what one request or response has taken of a budget.

    >>> budget = BufferBudget(100_000)
    >>> share = BufferShare(budget)
    >>> share.try_resize(100_000), budget.left_bytes
    (True, 16384)
    >>> share.try_resize(200_000), share.try_resize(0), budget.left_bytes
    (False, True, 100000)
    """

    # Each request or response may buffer this much besides.
    FREE_BYTES = 16 * 1024

    __slots__ = ("budget", "taken_bytes")

    def __init__(self, budget):
        self.budget = budget
        self.taken_bytes = 0

    def has_room(self, size):
        """Return whether a buffer may grow to a size now.

        :param size: bytes in the buffer
        """
        needed = max(0, size - self.FREE_BYTES) - self.taken_bytes
        return needed <= self.budget.left_bytes

    def try_resize(self, size):
        """Take or give back bytes, so that a buffer may have a size.

        :param size: bytes in the buffer
        :returns: whether as many were left
        """
        needed = max(0, size - self.FREE_BYTES)
        if needed > self.taken_bytes:
            if not self.budget.try_take(needed - self.taken_bytes):
                return False
        else:
            self.budget.give_back(self.taken_bytes - needed)
        self.taken_bytes = needed
        return True
