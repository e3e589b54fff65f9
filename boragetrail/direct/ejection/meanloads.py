"""Mean known load of services."""

__all__ = ["MeanLoads"]


class MeanLoads:
    """Average the known requests at the servers of each service.

    With short requests, what routers know of each other's load varies from one
    moment to the next by more than the load itself.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    """

    INTERVAL_S = 0.3
    # Weight of a new sample; the mean follows a change within 2 s.
    WEIGHT = 0.15

    def __init__(self, fleet):
        self.fleet = fleet
        self.means_by_service = {}
        self.sampled_s = float("-inf")
        self.samples = 0

    def sample_if_due(self):
        """Add a sample, if the last is ``INTERVAL_S`` old."""
        now_s = self.fleet.clock()
        if now_s - self.sampled_s < self.INTERVAL_S:
            return
        self.sampled_s = now_s
        self.samples += 1
        states = self.fleet.states_by_id.values()
        means = {}
        for service in {state.record.service for state in states}:
            load = self._load(service)
            mean = self.means_by_service.get(service, load)
            weight = max(self.WEIGHT, 1.0 / self.samples)
            means[service] = mean + weight * (load - mean)
        self.means_by_service = means

    def mean(self, service):
        """Return the mean number of known requests of a service."""
        mean = self.means_by_service.get(service)
        return self._load(service) if mean is None else mean

    def _load(self, service):
        states = self.fleet.listed_servers(service)
        return sum(self.fleet.engine_view(each).running for each in states)
