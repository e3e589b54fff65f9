"""Admission control of an agent for its backend server."""

import abc

from boragetrail.errors import Refusal
from boragetrail.policy.load import LoadEntry, LoadEntryState
from boragetrail.policy.queueing import QueuedRequest
from boragetrail.reasons import Reason

__all__ = ["Admission", "BoundedAdmission"]


class Admission(abc.ABC):
    """Interface of policies that admit or refuse requests to a server."""

    @abc.abstractmethod
    def offer(
        self, item, customer, weight, priority, wait_limit_s, last_choice
    ):
        """Admit or refuse a request.

        :param item: object that :meth:`start_next` returns when the request
            may start
        :param customer: id of the customer
        :param weight: weight of the customer's binding
        :param priority: priority class; lower is more urgent
        :param wait_limit_s: longest acceptable wait for a slot, in seconds
        :param last_choice: whether the router has no other server to try; a
            cold server then queues the request instead of refusing it
        :returns: :class:`~boragetrail.policy.queueing.QueuedRequest`, or
            :class:`Refusal`
        """

    @abc.abstractmethod
    def start_next(self):
        """Dequeue and return the next item that may start, or ``None``."""


class BoundedAdmission(Admission):
    """Admission with a load cap, a warm-up limit and a bounded queue wait.

    Admitted requests wait in a queue for a slot. Each change of the load is
    published in the load table.

    :param server: name of the backend server
    :param incarnation: incarnation of the agent
    :param cap: :class:`~boragetrail.policy.cap.LoadCap`
    :param warmup: :class:`~boragetrail.policy.warmup.Warmup`
    :param queue: :class:`~boragetrail.policy.queueing.RequestQueue`
    :param loads: :class:`~boragetrail.policy.load.LoadTable` of the service
    :param clock: function that returns monotonic seconds
    """

    # Weight of a new service time in the moving average.
    SERVICE_TIME_GAIN = 0.1
    INITIAL_SERVICE_TIME_S = 1.0

    def __init__(self, server, incarnation, cap, warmup, queue, loads, clock):
        self.server = server
        self.incarnation = incarnation
        self.cap = cap
        self.warmup = warmup
        self.queue = queue
        self.loads = loads
        self.clock = clock
        self.load = 0
        self.seq = 0
        self.service_time_s = self.INITIAL_SERVICE_TIME_S
        self.leaving = False
        self._publish()

    def offer(
        self,
        item,
        customer,
        weight,
        priority,
        wait_limit_s,
        last_choice=False,
    ):
        """Admit or refuse; see :meth:`Admission.offer`."""
        refusal = self._over_cap()
        if not last_choice:
            refusal = self._over_warmup() or refusal
        if refusal:
            return refusal
        waiting = QueuedRequest(item, customer, weight, priority)
        wait = self.expected_wait_s(waiting)
        if wait > wait_limit_s:
            detail = f"expected wait {wait:.2f} s, limit {wait_limit_s:.2f} s"
            return Refusal(Reason.OVERLOADED, detail, retry_after_s=wait)
        self.queue.push(waiting)
        self.load += 1
        self._publish()
        return waiting

    def start_next(self):
        """Dequeue and return the next item that may start, or ``None``."""
        waiting = self.queue.pop(self.warmup.limit())
        return None if waiting is None else waiting.item

    def withdraw(self, waiting):
        """Remove a request that is still queued."""
        self.queue.remove(waiting)
        self.load -= 1
        self._publish()

    def record_end(self, customer, service_time_s):
        """Record that a running request ended.

        :param service_time_s: time that the request ran, in seconds, or
            ``None`` to leave the mean service time unchanged
        """
        self.queue.record_end(customer)
        self.load -= 1
        if service_time_s is not None:
            gain = self.SERVICE_TIME_GAIN
            self.service_time_s += gain * (
                service_time_s - self.service_time_s
            )
        self._publish()

    def expected_wait_s(self, waiting):
        """Return the expected wait of a new request for a slot, in seconds.

        After the warm-up limit was lowered, more requests can run than there
        are slots. They all end within one service time, so together they add
        less than one service time to the wait.
        """
        slots = self.warmup.limit()
        if slots < 1:
            return 0.0
        count_ahead = self.queue.count_ahead(waiting)
        running = self.queue.running
        excess = max(0, running - slots)
        queued = 1 + count_ahead - max(0, slots - running)
        if queued <= 0:
            return 0.0
        concurrent_rounds = excess / max(1, running)
        return (concurrent_rounds + queued / slots) * self.service_time_s

    def set_leaving(self, leaving):
        """Set whether the server is leaving and takes no new work."""
        self.leaving = leaving
        self._publish()

    def refresh(self):
        """Publish the load again, so that its entry does not expire."""
        self._publish()

    def cap_limit(self):
        """Return the largest load that the cap allows now."""
        load, share = self.loads.totals()
        return self.cap.limit(load, share, self._capacity_share())

    def _capacity_share(self):
        return self.warmup.limit() / max(1, self.warmup.slots)

    def _over_warmup(self):
        if not self.warmup.is_cold() or self.load < self.warmup.limit():
            return None
        detail = f"server {self.server!r} is cold, limit {self.warmup.limit()}"
        retry_after_s = self.service_time_s
        return Refusal(Reason.COLD, detail, retry_after_s=retry_after_s)

    def _over_cap(self):
        limit = self.cap_limit()
        if self.load + 1 <= limit:
            return None
        detail = f"server {self.server!r} has load {self.load}, cap {limit}"
        return Refusal(Reason.OVER_CAP, detail, retry_after_s=0.2)

    def _publish(self):
        self.seq += 1
        state = LoadEntryState.WARM
        if self.warmup.is_cold():
            state = LoadEntryState.COLD
        if self.leaving:
            state = LoadEntryState.LEAVING
        entry = LoadEntry(
            self.server,
            self.incarnation,
            self.seq,
            self.load,
            self._capacity_share(),
            state,
            self.clock(),
        )
        self.loads.merge(entry)
