"""Decide at the agent whether a request is admitted."""

import abc

from boragetrail.errors import Refusal
from boragetrail.policy.load import LoadEntry, ServerState
from boragetrail.policy.queueing import QueuedRequest
from boragetrail.reasons import Reason

__all__ = ["Admission", "BoundedAdmission"]


class Admission(abc.ABC):
    """Decide whether a server takes one more request."""

    @abc.abstractmethod
    def offer(
        self, item, customer, weight, priority, wait_limit_s, last_choice
    ):
        """Admit or refuse a request.

        :param item: what to hand back when the request may start
        :param customer: id of the customer
        :param weight: weight of its binding
        :param priority: class of service; lower is more urgent
        :param wait_limit_s: longest useful wait for a slot, in seconds
        :param last_choice: whether no other server is left to try
        :returns: the waiting request, or :class:`Refusal`
        """

    @abc.abstractmethod
    def start_next(self):
        """Return the next item that may start now, or ``None``."""


class BoundedAdmission(Admission):
    """Admit under a load cap, a warm-up limit and customers' shares.

    :param server: name of the backend server
    :param incarnation: incarnation of the agent
    :param cap: :class:`~boragetrail.policy.cap.LoadCap`
    :param warmup: :class:`~boragetrail.policy.warmup.Warmup`
    :param share: :class:`~boragetrail.policy.queueing.CustomerShare`
    :param loads: :class:`~boragetrail.policy.load.LoadTable` of the service
    :param clock: function that returns monotonic seconds
    """

    SERVICE_TIME_GAIN = 0.1
    FIRST_SERVICE_TIME_S = 1.0

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
        self.service_time_s = self.FIRST_SERVICE_TIME_S
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
            detail = f"expected wait {wait:.2f} s of {wait_limit_s:.2f} s"
            return Refusal(Reason.OVERLOADED, detail, retry_after_s=wait)
        self.queue.push(waiting)
        self.load += 1
        self._publish()
        return waiting

    def start_next(self):
        """Return the next item that may start now, or ``None``."""
        waiting = self.queue.pop(self.warmup.limit())
        return None if waiting is None else waiting.item

    def withdraw(self, waiting):
        """Take back a request that still waits."""
        self.queue.remove(waiting)
        self.load -= 1
        self._publish()

    def record_end(self, customer, service_time_s):
        """Record that a running request ended.

        :param service_time_s: seconds that it ran, or ``None`` if it
            says nothing about the time that others take
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
        """Return the expected wait of a new request for a slot.

        Work that runs beyond a limit that has fallen ends side by side, not
        one after the other.
        """
        slots = self.warmup.limit()
        if slots < 1:
            return 0.0
        ahead = self.queue.ahead(waiting)
        running = self.queue.running
        over = max(0, running - slots)
        queued = 1 + ahead - max(0, slots - running)
        if queued <= 0:
            return 0.0
        side_by_side = over / max(1, running)
        return (side_by_side + queued / slots) * self.service_time_s

    def set_leaving(self, leaving):
        """Tell whether the server takes new work."""
        self.leaving = leaving
        self._publish()

    def refresh(self):
        """Publish the load again, so that it stays known as current."""
        self._publish()

    def cap_limit(self):
        """Return the largest load under the cap now."""
        load, share = self.loads.totals()
        return self.cap.limit(load, share, self._own_share())

    def _own_share(self):
        return self.warmup.limit() / max(1, self.warmup.slots)

    def _over_warmup(self):
        if not self.warmup.is_cold() or self.load < self.warmup.limit():
            return None
        detail = f"server {self.server!r} bears {self.warmup.limit()}"
        retry_after_s = self.service_time_s
        return Refusal(Reason.COLD, detail, retry_after_s=retry_after_s)

    def _over_cap(self):
        limit = self.cap_limit()
        if self.load + 1 <= limit:
            return None
        detail = f"server {self.server!r} has load {self.load} of {limit}"
        return Refusal(Reason.OVER_CAP, detail, retry_after_s=0.2)

    def _publish(self):
        self.seq += 1
        state = ServerState.WARM
        if self.warmup.is_cold():
            state = ServerState.COLD
        if self.leaving:
            state = ServerState.LEAVING
        entry = LoadEntry(
            self.server,
            self.incarnation,
            self.seq,
            self.load,
            self._own_share(),
            state,
            self.clock(),
        )
        self.loads.merge(entry)
