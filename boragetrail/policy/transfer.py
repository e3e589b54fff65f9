"""Policies that decide when a KV cache is transferred between engines."""

import abc

__all__ = ["KvTransferPolicy", "SizeTransferPolicy"]


class KvTransferPolicy(abc.ABC):
    """Interface of policies that choose KV transfer or recomputation.

    A KV transfer copies a chat's KV cache from the engine that served the
    chat before. Without it, the new engine recomputes the context.
    """

    @abc.abstractmethod
    def try_begin(self, prompt_bytes):
        """Decide whether a transfer may begin, and count it if so.

        The caller performs the transfer and calls :meth:`record_end` after
        it.

        :param prompt_bytes: size of the request in bytes, as an estimate of
            the context that would be recomputed without the transfer
        :returns: whether the transfer may begin
        """

    @abc.abstractmethod
    def record_end(self):
        """Record that a transfer ended."""


class SizeTransferPolicy(KvTransferPolicy):
    """Policy that transfers long contexts, a limited number at a time.

    Recomputing a short context takes less time than transferring it. The
    limit on concurrent transfers keeps network and engine capacity for the
    streams that engines serve meanwhile.

    >>> transfer = SizeTransferPolicy()
    >>> transfer.try_begin(100), transfer.try_begin(100_000)
    (False, True)
    """

    MIN_PROMPT_BYTES = 1024
    MAX_CONCURRENT = 2

    def __init__(self):
        self.running = 0

    def try_begin(self, prompt_bytes):
        """Decide and count; see :meth:`KvTransferPolicy.try_begin`."""
        if prompt_bytes < self.MIN_PROMPT_BYTES:
            return False
        if self.running >= self.MAX_CONCURRENT:
            return False
        self.running += 1
        return True

    def record_end(self):
        """Record that a transfer ended."""
        self.running -= 1
