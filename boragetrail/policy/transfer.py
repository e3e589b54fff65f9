"""Decide whether moving a chat's KV cache pays."""

import abc

__all__ = ["KvTransferPolicy", "SizeTransferPolicy"]


class KvTransferPolicy(abc.ABC):
    """Decide between moving KV cache and computing it anew."""

    @abc.abstractmethod
    def try_begin(self, prompt_bytes):
        """Return whether a transfer may begin now.

        :param prompt_bytes: size of the request, which grows with the
            context that would be computed anew
        """

    @abc.abstractmethod
    def record_end(self):
        """Record that a transfer ended."""


class SizeTransferPolicy(KvTransferPolicy):
    """Move the cache of long chats, few at a time.

    A short context is computed anew in less time than a transfer takes. The
    limit keeps transfers from taking the network and the engine from the
    streams that they serve.

    >>> transfer = SizeTransferPolicy()
    >>> transfer.try_begin(100), transfer.try_begin(100_000)
    (False, True)
    """

    MIN_PROMPT_BYTES = 1024
    AT_ONCE = 2

    def __init__(self):
        self.running = 0

    def try_begin(self, prompt_bytes):
        """Return whether a transfer may begin; see the base class."""
        if prompt_bytes < self.MIN_PROMPT_BYTES:
            return False
        if self.running >= self.AT_ONCE:
            return False
        self.running += 1
        return True

    def record_end(self):
        """Record that a transfer ended."""
        self.running -= 1
