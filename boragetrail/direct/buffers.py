"""Limits on the bodies that a router buffers as a whole."""

__all__ = ["MAX_BODY_BYTES", "MAX_PEER_BODY_BYTES", "BufferBudget"]

# Limits on bodies that are not streams: on one body, and on all that a router
# buffers at a time.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
# Limit on what another router sends of its rows or cached parts.
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024


class BufferBudget:
    """Limit the memory for the bodies that a router buffers.

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
