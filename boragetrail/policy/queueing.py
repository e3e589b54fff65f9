"""Queues of requests that wait for a slot of a backend server."""

import abc
import heapq
import itertools

__all__ = ["RequestQueue", "FairQueue", "FifoQueue", "QueuedRequest"]


class QueuedRequest:
    """A request that waits for a slot.

    :param item: object that the caller of the queue needs when the request
        starts
    :param customer: id of the customer
    :param weight: weight of the customer's binding
    :param priority: priority class; lower is more urgent
    :ivar finish_time: virtual finish time of fair queueing
    :ivar cancelled: whether the request was removed from the queue
    """

    __slots__ = (
        "item",
        "customer",
        "weight",
        "priority",
        "finish_time",
        "cancelled",
    )

    def __init__(self, item, customer, weight=1.0, priority=5):
        self.item = item
        self.customer = customer
        self.weight = weight
        self.priority = priority
        self.finish_time = 0.0
        self.cancelled = False


class RequestQueue(abc.ABC):
    """Interface of queues that assign free slots to waiting requests.

    A slot is the right to have one running request at the server.
    """

    @abc.abstractmethod
    def push(self, waiting):
        """Add a waiting request."""

    @abc.abstractmethod
    def pop(self, slots):
        """Dequeue the next request that may start, or return ``None``.

        :param slots: number of requests that may run at the same time
        """

    @abc.abstractmethod
    def count_ahead(self, waiting):
        """Return the number of queued requests that would start earlier.

        :param waiting: :class:`QueuedRequest` that is not in the queue
        """

    @abc.abstractmethod
    def record_end(self, customer):
        """Record that a running request of a customer ended."""


class FairQueue(RequestQueue):
    """Start-time fair queue in which customers are weighted flows [1]_.

    While several customers are active, a few slots are reserved: a customer
    that uses its fair share may not take them. Without reserved slots, a
    surge of one customer would make the others wait until a running request
    ends.

    :param clock: function that returns monotonic seconds
    :ivar running: number of running requests
    :ivar size: number of queued requests

    .. [1] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing",
       SIGCOMM 1996.

    >>> queue = FairQueue(lambda: 0.0)
    >>> for item, customer in ((1, "a"), (2, "a"), (3, "b")):
    ...     queue.push(QueuedRequest(item, customer))
    >>> [queue.pop(9).item for _ in range(3)]
    [1, 3, 2]
    """

    # A customer counts as active for this time after its last request.
    ACTIVE_S = 10.0
    # One in this many slots is reserved for customers below their fair share.
    SLOTS_PER_RESERVED_SLOT = 8

    def __init__(self, clock):
        self.clock = clock
        self.heap = []
        self.counter = itertools.count()
        self.virtual_time = 0.0
        self.finish_time_by_customer = {}
        self.running_by_customer = {}
        self.running = 0
        self.last_request_s_by_customer = {}
        self.weight_by_customer = {}
        self.size = 0

    def push(self, waiting):
        """Add a waiting request."""
        customer = waiting.customer
        self._record_request(customer, waiting.weight)
        waiting.finish_time = self._finish_time(waiting)
        self.finish_time_by_customer[customer] = waiting.finish_time
        entry = (
            waiting.priority,
            waiting.finish_time,
            next(self.counter),
            waiting,
        )
        heapq.heappush(self.heap, entry)
        self.size += 1

    def pop(self, slots):
        """Dequeue the next request that may start, or return ``None``."""
        self._drop_cancelled()
        skipped, found = [], None
        while self.heap:
            entry = heapq.heappop(self.heap)
            waiting = entry[-1]
            if waiting.cancelled:
                self.size -= 1
                continue
            if self.may_run(waiting.customer, slots):
                found = waiting
                break
            skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self.heap, entry)
        if found is None:
            return None
        self.size -= 1
        self._record_start(found)
        return found

    def may_run(self, customer, slots):
        """Return whether a customer may start one more request.

        :param slots: number of requests that may run at the same time
        """
        if self.running >= slots:
            return False
        if self._running(customer) < self.fair_slots(customer, slots):
            return True
        return self.running < slots - self._reserved_slots(customer, slots)

    def fair_slots(self, customer, slots):
        """Return a customer's fair share of the slots, by weight.

        :returns: number of slots, not rounded
        """
        self._remove_idle_customers()
        weights = self.weight_by_customer
        total = sum(weights.values()) or 1.0
        return slots * weights.get(customer, 1.0) / total

    def count_ahead(self, waiting):
        """Return the count; see :meth:`RequestQueue.count_ahead`."""
        finish_time = self._finish_time(waiting)
        place = (waiting.priority, finish_time)
        return sum(
            1
            for entry in self.heap
            if not entry[-1].cancelled and entry[:2] <= place
        )

    def record_end(self, customer):
        """Record that a running request of a customer ended."""
        self.running -= 1
        left = self._running(customer) - 1
        if left > 0:
            self.running_by_customer[customer] = left
        else:
            self.running_by_customer.pop(customer, None)

    def remove(self, waiting):
        """Take a waiting request out of the queue."""
        waiting.cancelled = True

    def _drop_cancelled(self):
        while self.heap and self.heap[0][-1].cancelled:
            heapq.heappop(self.heap)
            self.size -= 1

    def _running(self, customer):
        return self.running_by_customer.get(customer, 0)

    def _finish_time(self, waiting):
        last = self.finish_time_by_customer.get(waiting.customer, 0.0)
        return max(self.virtual_time, last) + 1.0 / waiting.weight

    def _record_start(self, waiting):
        start = waiting.finish_time - 1.0 / waiting.weight
        self.virtual_time = max(self.virtual_time, start)
        customer = waiting.customer
        self.running += 1
        self.running_by_customer[customer] = self._running(customer) + 1

    def _record_request(self, customer, weight):
        self.last_request_s_by_customer.pop(customer, None)
        self.last_request_s_by_customer[customer] = self.clock()
        self.weight_by_customer[customer] = weight

    def _remove_idle_customers(self):
        # The dictionary is ordered by last request, oldest first.
        oldest = self.clock() - self.ACTIVE_S
        for customer in list(self.last_request_s_by_customer):
            if self.last_request_s_by_customer[customer] >= oldest:
                return
            if self._running(customer):
                continue
            del self.last_request_s_by_customer[customer]
            del self.weight_by_customer[customer]
            self.finish_time_by_customer.pop(customer, None)

    def _reserved_slots(self, customer, slots):
        others = len(self.weight_by_customer)
        if customer in self.weight_by_customer:
            others -= 1
        if not others or slots < 2:
            return 0
        return max(1, slots // self.SLOTS_PER_RESERVED_SLOT)


class FifoQueue(RequestQueue):
    """Baseline queue in order of arrival, whatever the customer."""

    def __init__(self, clock):
        self.waiting = []
        self.running = 0

    @property
    def size(self):
        """Return how many requests wait."""
        return len(self.waiting)

    def push(self, waiting):
        """Add a waiting request."""
        self.waiting.append(waiting)

    def pop(self, slots):
        """Dequeue the oldest request if a slot is free."""
        if self.running >= slots or not self.waiting:
            return None
        self.running += 1
        return self.waiting.pop(0)

    def count_ahead(self, waiting):
        """Return how many requests wait."""
        return len(self.waiting)

    def record_end(self, customer):
        """Record that a running request ended."""
        self.running -= 1

    def remove(self, waiting):
        """Take a waiting request out of the queue."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)
