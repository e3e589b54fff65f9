"""Known load of a service, in relation to the slots of its servers."""

from boragetrail.policy.suspicion import Standing

__all__ = ["ServiceCapacity"]


class ServiceCapacity:
    """Estimate the requests per slot at the servers that take new requests.

    The servers and the load of other routers are read again after
    :attr:`MAX_AGE_S`. This router's own requests count at once.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param service: name of the service
    :param clock: function that returns monotonic seconds
    :ivar slots: slots of these servers; 0 if none is known
    """

    # Reading the loads costs as much as a selection.
    MAX_AGE_S = 0.02

    __slots__ = (
        "fleet",
        "service",
        "clock",
        "states",
        "slots",
        "others",
        "least_load",
        "read_s",
    )

    def __init__(self, fleet, service, clock):
        self.fleet = fleet
        self.service = service
        self.clock = clock
        self.states = []
        self.slots = 0
        self.others = 0.0
        self.least_load = 0.0
        self.read_s = float("-inf")

    def load(self, service, reserved=0):
        """Return the known requests per slot, or ``None`` without slots.

        :param service: :class:`~boragetrail.direct.model.Service`
        :param reserved: places that were promised to waiting requests
        """
        if self.clock() - self.read_s >= self.MAX_AGE_S:
            self._read(service)
        if not self.slots:
            return None
        own = sum(state.in_flight for state in self.states)
        return (self.others + own + reserved) / self.slots

    def _read(self, service):
        """Read the servers that take new requests, and their loads."""
        fleet = self.fleet
        self.read_s = self.clock()
        self.states, running, loads = [], 0.0, []
        for state in fleet.ready_servers(self.service):
            if not state.record.slots or not self._takes(state, service):
                continue
            view = fleet.engine_view(state)
            if view.standing is Standing.AVOIDED:
                continue
            self.states.append(state)
            running += view.running
            loads.append(view.running / state.record.slots)
        self.slots = sum(state.record.slots for state in self.states)
        self.least_load = min(loads, default=0.0)
        self.others = running - sum(state.in_flight for state in self.states)

    def _takes(self, state, service):
        """Return whether the router may send to a server at its own rate.

        The places of cold servers are limited by their rate, not their slots.
        """
        if service.cold_rate_per_s > 0 and self.fleet.is_cold(state):
            return False
        return state.accepts_requests() and not self.fleet.server_wait_s(state)
