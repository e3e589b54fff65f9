"""State of the admission of requests to one service."""

from boragetrail.direct.admission.capacity import ServiceCapacity
from boragetrail.direct.admission.demand import RecentDemand
from boragetrail.direct.admission.waiting import WaitingQueue
from boragetrail.policy.prioritygate import (
    AdmittedShare,
    admission_probability,
    allocate,
    floor_probability,
    load_band,
    retry_after_s,
)

__all__ = ["ServiceAdmission"]


class ServiceAdmission:
    """Hold what a router knows of one service's load and requests.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param name: name of the service
    :param clock: function that returns monotonic seconds
    :param random: random generator
    :ivar capacity: :class:`ServiceCapacity`
    :ivar demand: :class:`RecentDemand`
    :ivar queue: :class:`WaitingQueue`
    :ivar share: :class:`~boragetrail.policy.prioritygate.AdmittedShare`
    :ivar load: known requests per slot when the load was last read, or
        ``None`` if there is no server with slots
    :ivar band: :class:`~boragetrail.policy.prioritygate.LoadBand`
    :ivar reserved: places that were promised to waiting requests which have
        not yet taken them
    :ivar place_budget: free places that waiting requests may still take; a
        fraction is kept for the next time
    :ivar refused_s: monotonic time of the last refusal
    :ivar overloaded: whether requests are being refused
    """

    # Time without a refusal after which a service is no longer overloaded.
    RELIEF_S = 2.0

    def __init__(self, fleet, name, clock, random):
        self.name = name
        self.clock = clock
        self.random = random
        self.capacity = ServiceCapacity(fleet, name, clock)
        self.demand = RecentDemand(clock, random)
        self.queue = WaitingQueue()
        self.share = AdmittedShare(clock())
        self.load = None
        self.band = load_band(0.0, 0.0)
        self.reserved = 0
        self.place_budget = 0.0
        self.polled_s = clock()
        self.refused_s = float("-inf")
        self.overloaded = False

    def update(self, service):
        """Read the load and adjust the share.

        :param service: :class:`~boragetrail.direct.model.Service`
        :returns: known requests per slot, or ``None``
        """
        self.load = self.capacity.load(service, self.reserved)
        if self.load is not None:
            demand = self.demand
            self.band = load_band(demand.work_s, demand.goal_s())
            self.share.update(self.clock(), self.load, self.band)
        return self.load

    def is_calm(self):
        """Return whether each request is admitted."""
        return self.share.value >= 1.0 and self.load <= self.band.start

    def admits(self, ticket):
        """Return whether a request is admitted at the present load.

        A request does not overtake a more urgent one that waits, except by
        its floor.

        :param ticket: :class:`AdmissionTicket`
        """
        first = self.queue.first()
        if first is None and self.is_calm():
            return True
        rank, ranks = place = self._place(ticket.key)
        if first is not None and first.key < ticket.key:
            probability = floor_probability(
                self.load, self.band, ranks, self.share
            )
        else:
            probability = admission_probability(
                self.load,
                self.band,
                place,
                self.allocated(ticket.key),
                self.share,
            )
        return ticket.draw < probability

    def allocated(self, key):
        """Return the part of a class's requests that the share allows."""
        shares = allocate(self.demand.offered(), self.share.value)
        return shares.get(key, self.share.value)

    def retry_after_s(self, key):
        """Return the time after which a refused caller should return."""
        load = self.band.start if self.load is None else self.load
        return retry_after_s(
            load,
            self.band,
            self.demand.work_s,
            self.share.value,
            self._place(key)[0],
            self.random.random(),
        )

    def _place(self, key):
        """Return (number of more urgent classes, number of classes)."""
        keys = {*self.demand.offered(), key}
        return sum(each < key for each in keys), len(keys)
