"""State of the admission of requests to one service."""

from boragetrail.direct.admission.capacity import ServiceCapacity
from boragetrail.direct.admission.demand import RecentDemand
from boragetrail.direct.admission.waiting import WaitingQueue
from boragetrail.policy.prioritygate import (
    AdmittedShare,
    ReturnSchedule,
    admission_probability,
    allocate,
    floor_probability,
    load_band,
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
    :ivar schedule:
        :class:`~boragetrail.policy.prioritygate.ReturnSchedule`
    :ivar last_service: :class:`~boragetrail.direct.model.Service` as it was
        last configured
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
    # Part of the capacity that is left for callers that return, at least.
    MIN_SPARE = 0.25
    # Callers return more slowly than places become free by this factor, since
    # they compete with new requests of their class.
    RETURN_PACE = 1.3
    # Delay of the first callers of each less urgent class.
    RETURN_STEP_S = 0.15

    def __init__(self, fleet, name, clock, random):
        self.name = name
        self.clock = clock
        self.random = random
        self.capacity = ServiceCapacity(fleet, name, clock)
        self.demand = RecentDemand(clock, random)
        self.queue = WaitingQueue()
        self.share = AdmittedShare(clock())
        self.schedule = ReturnSchedule()
        self.last_service = None
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
        self.last_service = service
        self.load = self.capacity.load(service, self.reserved)
        if self.load is not None:
            demand = self.demand
            self.band = load_band(demand.work_s, demand.goal_s())
            self.share.update(self.clock(), self.load, self.band)
        return self.load

    def admits_all(self):
        """Return whether each request is admitted."""
        return self.share.value >= 1.0 and self.load <= self.band.start

    def admits(self, ticket):
        """Return whether a request is admitted at the present load.

        A request does not overtake a more urgent one that waits, except by
        its floor.

        :param ticket: :class:`AdmissionTicket`
        """
        first = self.queue.first()
        if first is None and self.admits_all():
            return True
        place = self._place(ticket.key)
        if self.demand.is_starved(ticket.key):
            floor = floor_probability(self.load, self.band, place[1])
            if ticket.draw < floor:
                return True
        if first is not None and first.key < ticket.key:
            return False
        return ticket.draw < admission_probability(
            self.load,
            self.band,
            place,
            self.allocated(ticket.key),
            self.share,
        )

    def allocated(self, key):
        """Return the part of a class's requests that the share allows."""
        shares = allocate(self.demand.offered(), self.share.value)
        return shares.get(key, self.share.value)

    def retry_after_s(self, key):
        """Return the time after which a refused caller should return.

        :param key: :class:`~boragetrail.policy.prioritygate.RequestClass`
        """
        work_s = self.demand.work_s or self.demand.goal_s()
        rank, _ = self._place(key)
        over = (self.load or 0.0) - self.band.start
        # Other routers refuse about as many callers.
        place_s = work_s * self.capacity.fleet.peers.size()
        place_s /= max(1, self.capacity.slots)
        busy = place_s * self.demand.rate_ahead_per_s(key)
        return self.schedule.next_s(
            self.clock(),
            key,
            max(0.0, over) * work_s + rank * self.RETURN_STEP_S,
            self.RETURN_PACE * place_s / max(self.MIN_SPARE, 1.0 - busy),
            self.random.random(),
        )

    def _place(self, key):
        """Return (number of more urgent classes, number of classes)."""
        keys = {*self.demand.offered(), key}
        return sum(each < key for each in keys), len(keys)
