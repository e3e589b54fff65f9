"""Requests of one service that wait at the router for a place."""

__all__ = ["WaitingQueue", "WaitingRequest"]


class WaitingRequest:
    """Hold one request that waits for a place.

    :param key: :class:`~boragetrail.policy.prioritygate.RequestClass`
    :param until_s: monotonic time until which it may wait
    :param size: memory that it holds, in bytes
    :param wake: function that is called once with whether it has a place
    :ivar has_place: whether it was promised a place
    :ivar sequence: number of the request in its queue; newer ones are larger
    """

    __slots__ = ("key", "until_s", "size", "wake", "has_place", "sequence")

    def __init__(self, key, until_s, size, wake):
        self.key = key
        self.until_s = until_s
        self.size = size
        self.wake = wake
        self.has_place = False
        self.sequence = 0

    def rank(self):
        """Return the sort key; the request with the smallest goes first."""
        return (self.key, -self.sequence)


class WaitingQueue:
    """Queue of the requests that wait for a place, bounded.

    The most urgent class goes first, and its newest request before older
    ones: an older one has less time left in which it can meet its goal.

    >>> queue = WaitingQueue()
    >>> woken = []
    >>> for key in (2, 1, 1):
    ...     wake = lambda granted, key=key: woken.append((key, granted))
    ...     _ = queue.try_add(WaitingRequest(key, 1.0, 0, wake))
    >>> queue.pop().key, queue.pop().sequence, len(queue)
    (1, 2, 1)
    >>> queue.expire(1.0), woken, len(queue)
    (None, [(2, False)], 0)
    """

    MAX_REQUESTS = 64
    MAX_BYTES = 2 * 1024 * 1024

    __slots__ = ("requests", "size", "last_sequence")

    def __init__(self):
        self.requests = set()
        self.size = 0
        self.last_sequence = 0

    def __len__(self):
        return len(self.requests)

    def try_add(self, waiting):
        """Add a request; less urgent ones leave if there is no space.

        :param waiting: :class:`WaitingRequest`
        :returns: whether it was added
        """
        if not self._make_space(waiting):
            return False
        self.last_sequence += 1
        waiting.sequence = self.last_sequence
        self.requests.add(waiting)
        self.size += waiting.size
        return True

    def first(self):
        """Return the request that goes first, or ``None``."""
        return min(self.requests, key=WaitingRequest.rank, default=None)

    def pop(self):
        """Remove and return the request that goes first, or ``None``."""
        found = self.first()
        if found is not None:
            self.discard(found)
        return found

    def discard(self, waiting):
        """Remove a request, if it is in the queue."""
        if waiting in self.requests:
            self.requests.discard(waiting)
            self.size -= waiting.size

    def expire(self, now_s):
        """Remove and wake the requests that may wait no longer.

        :param now_s: current monotonic time
        """
        for waiting in [w for w in self.requests if w.until_s <= now_s]:
            self._refuse(waiting)

    def _make_space(self, waiting):
        """Refuse less urgent requests until a request fits."""
        left = sorted(self.requests, key=WaitingRequest.rank)
        size, removed = self.size, []
        while (
            len(left) >= self.MAX_REQUESTS
            or size + waiting.size > self.MAX_BYTES
        ):
            if not left or left[-1].key <= waiting.key:
                return False
            removed.append(left.pop())
            size -= removed[-1].size
        for each in removed:
            self._refuse(each)
        return True

    def _refuse(self, waiting):
        self.discard(waiting)
        waiting.wake(False)
