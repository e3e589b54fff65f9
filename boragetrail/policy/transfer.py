"""Policy of KV transfers."""

import abc

__all__ = ["KvTransferPolicy", "SizeTransferPolicy"]


class KvTransferPolicy(abc.ABC):
    """Interface of policies that choose KV transfer or recomputation."""

    @abc.abstractmethod
    def try_begin(self, prompt_bytes):
        """Start a transfer if it is allowed now.

        :param prompt_bytes: size of the request, which grows with the
            context that would have to be recomputed
        :returns: whether the transfer may begin
        """

    @abc.abstractmethod
    def record_end(self):
        """Record that a transfer ended."""


class SizeTransferPolicy(KvTransferPolicy):
    """Transfer of long contexts, with a limit on concurrent transfers.

    Recomputing a short context takes less time than its transfer. The limit
    keeps network and engine capacity for the streams that are served.

    >>> transfer = SizeTransferPolicy()
    >>> transfer.try_begin(100), transfer.try_begin(100_000)
    (False, True)
    """

    MIN_PROMPT_BYTES = 1024
    MAX_CONCURRENT = 2

    def __init__(self):
        self.running = 0

    def try_begin(self, prompt_bytes):
        """Start a transfer if it is allowed; see the base class."""
        if prompt_bytes < self.MIN_PROMPT_BYTES:
            return False
        if self.running >= self.MAX_CONCURRENT:
            return False
        self.running += 1
        return True

    def record_end(self):
        """Record that a transfer ended."""
        self.running -= 1
