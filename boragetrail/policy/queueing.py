"""Share a backend server's slots between customers."""

import abc
import heapq
import itertools

__all__ = ["RequestQueue", "FairQueue", "FifoQueue", "QueuedRequest"]


class QueuedRequest:
    """One request that waits for a slot.

    :param item: what the caller of the queue wants back
    :param customer: id of the customer
    :param weight: weight of its binding
    :param priority: class of service; lower is more urgent
    """

    __slots__ = ("item", "customer", "weight", "priority", "finish", "dead")

    def __init__(self, item, customer, weight=1.0, priority=5):
        self.item = item
        self.customer = customer
        self.weight = weight
        self.priority = priority
        self.finish = 0.0
        self.dead = False


class RequestQueue(abc.ABC):
    """Decide which waiting request gets the next free slot."""

    @abc.abstractmethod
    def push(self, waiting):
        """Add a waiting request."""

    @abc.abstractmethod
    def pop(self, slots):
        """Return the request that may start with these slots, or ``None``."""

    @abc.abstractmethod
    def ahead(self, waiting):
        """Return how many requests would start before a new one."""

    @abc.abstractmethod
    def record_end(self, customer):
        """Record that a running request of a customer ended."""


class FairQueue(RequestQueue):
    """Serve customers in proportion to their weights.

    Start-time fair queueing [1]_ over requests. A customer above its fair
    share leaves a few slots free while others were active a short time
    ago, so that a surge does not make them wait for a whole request.

    :param clock: function that returns monotonic seconds

    .. [1] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing",
       SIGCOMM 1996.

    >>> queue = FairQueue(lambda: 0.0)
    >>> for item, customer in ((1, "a"), (2, "a"), (3, "b")):
    ...     queue.push(QueuedRequest(item, customer))
    >>> [queue.pop(9).item for _ in range(3)]
    [1, 3, 2]
    """

    # Seconds that a customer counts as active after its last request.
    ACTIVE_S = 10.0
    # One slot in this many is kept for customers below their share.
    RESERVE_EVERY = 8

    def __init__(self, clock):
        self.clock = clock
        self.heap = []
        self.counter = itertools.count()
        self.virtual = 0.0
        self.finish_by_customer = {}
        self.running_by_customer = {}
        self.running = 0
        self.seen_by_customer = {}
        self.weight_by_customer = {}
        self.size = 0

    def push(self, waiting):
        """Add a waiting request."""
        customer = waiting.customer
        self._see(customer, waiting.weight)
        waiting.finish = self._finish(waiting)
        self.finish_by_customer[customer] = waiting.finish
        entry = (waiting.priority, waiting.finish, next(self.counter), waiting)
        heapq.heappush(self.heap, entry)
        self.size += 1

    def pop(self, slots):
        """Return the next request that may start, or ``None``."""
        self._drop_dead()
        skipped, found = [], None
        while self.heap:
            entry = heapq.heappop(self.heap)
            waiting = entry[-1]
            if waiting.dead:
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
        self._started(found)
        return found

    def may_run(self, customer, slots):
        """Return whether a customer may take one more of these slots."""
        if self.running >= slots:
            return False
        if self._running(customer) < self.fair_slots(customer, slots):
            return True
        return self.running < slots - self._reserve(customer, slots)

    def fair_slots(self, customer, slots):
        """Return a customer's share of the slots by its weight."""
        self._forget_idle()
        weights = self.weight_by_customer
        total = sum(weights.values()) or 1.0
        return slots * weights.get(customer, 1.0) / total

    def ahead(self, waiting):
        """Return how many waiting requests would start before a new one."""
        finish = self._finish(waiting)
        place = (waiting.priority, finish)
        return sum(
            1
            for entry in self.heap
            if not entry[-1].dead and entry[:2] <= place
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
        waiting.dead = True

    def _drop_dead(self):
        while self.heap and self.heap[0][-1].dead:
            heapq.heappop(self.heap)
            self.size -= 1

    def _running(self, customer):
        return self.running_by_customer.get(customer, 0)

    def _finish(self, waiting):
        last = self.finish_by_customer.get(waiting.customer, 0.0)
        return max(self.virtual, last) + 1.0 / waiting.weight

    def _started(self, waiting):
        start = waiting.finish - 1.0 / waiting.weight
        self.virtual = max(self.virtual, start)
        customer = waiting.customer
        self.running += 1
        self.running_by_customer[customer] = self._running(customer) + 1

    def _see(self, customer, weight):
        self.seen_by_customer.pop(customer, None)
        self.seen_by_customer[customer] = self.clock()
        self.weight_by_customer[customer] = weight

    def _forget_idle(self):
        # Customers stand in order of their last request, oldest first.
        oldest = self.clock() - self.ACTIVE_S
        for customer in list(self.seen_by_customer):
            if self.seen_by_customer[customer] >= oldest:
                return
            if self._running(customer):
                continue
            del self.seen_by_customer[customer]
            del self.weight_by_customer[customer]
            self.finish_by_customer.pop(customer, None)

    def _reserve(self, customer, slots):
        others = len(self.weight_by_customer)
        if customer in self.weight_by_customer:
            others -= 1
        if not others or slots < 2:
            return 0
        return max(1, slots // self.RESERVE_EVERY)


class FifoQueue(RequestQueue):
    """Serve requests in the order of their arrival; the baseline."""

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
        """Return the oldest request if a slot is free."""
        if self.running >= slots or not self.waiting:
            return None
        self.running += 1
        return self.waiting.pop(0)

    def ahead(self, waiting):
        """Return how many requests wait."""
        return len(self.waiting)

    def record_end(self, customer):
        """Record that a running request ended."""
        self.running -= 1

    def remove(self, waiting):
        """Take a waiting request out of the queue."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)
