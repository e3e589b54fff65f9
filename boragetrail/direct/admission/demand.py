"""What a router has seen lately of the requests for one service."""

from boragetrail.policy.customershare import CustomerShares, DecayingCount
from boragetrail.policy.prioritygate import RequestClass, is_below_floor

__all__ = ["RecentDemand"]


class RecentDemand:
    """Count recent requests by class, and the work of requests without a wait.

    :param clock: function that returns monotonic seconds
    :param random: random generator
    :ivar customers: :class:`~boragetrail.policy.customershare.CustomerShares`
    :ivar work_s_by_route: mean work of a request in seconds by route
    :ivar work_s: mean work of all requests in seconds; 0 if unknown
    """

    # Shares and floors follow a surge within this time. It is long enough for
    # a router of a large fleet to see some requests of each class.
    RECENT_S = 4.0
    # Classes with a smaller recent count reserve no share.
    MIN_COUNT = 0.2
    WORK_GAIN = 0.1

    __slots__ = (
        "clock",
        "random",
        "customers",
        "offered_by_key",
        "admitted_by_key",
        "work_s_by_route",
        "work_s",
        "goal_s_by_route",
    )

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.customers = CustomerShares(clock)
        self.offered_by_key = {}
        self.admitted_by_key = {}
        self.work_s_by_route = {}
        self.work_s = 0.0
        self.goal_s_by_route = {}

    def record(self, request, is_usual):
        """Count a caller's request.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param is_usual: whether the service refuses nothing at present
        :returns: its :class:`~boragetrail.policy.prioritygate.RequestClass`
        """
        self.goal_s_by_route[request.route.name] = request.route.goal_s
        key = RequestClass(self._is_above(request, is_usual), request.priority)
        if key not in self.offered_by_key:
            self.offered_by_key[key] = DecayingCount(self.RECENT_S)
        self.offered_by_key[key].add(self.clock())
        return key

    def _is_above(self, request, is_usual):
        """Count the customer and draw whether it is above its fair part.

        Requests without a key have no customer, and no fair part.
        """
        if request.customer is None:
            return False
        self.customers.record(request.customer.name, is_usual)
        if is_usual:
            return False
        above = self.customers.part_above(request.customer.name)
        return above > 0.0 and self.random.random() < above

    def offered(self):
        """Return the recent number of requests by class."""
        now_s = self.clock()
        counts = {
            key: count.value(now_s)
            for key, count in self.offered_by_key.items()
        }
        return {
            key: count
            for key, count in counts.items()
            if count >= self.MIN_COUNT
        }

    def record_admitted(self, key):
        """Count an admitted request, also one that has waited.

        :param key: its :class:`~boragetrail.policy.prioritygate.RequestClass`
        """
        if key not in self.admitted_by_key:
            self.admitted_by_key[key] = DecayingCount(self.RECENT_S)
        self.admitted_by_key[key].add(self.clock())

    def is_starved(self, key):
        """Return whether a class is served less often than its floor.

        :param key: :class:`~boragetrail.policy.prioritygate.RequestClass`
        """
        now_s = self.clock()
        offered = self.offered()
        admitted = {
            each: count.value(now_s)
            for each, count in self.admitted_by_key.items()
        }
        return is_below_floor(
            admitted.get(key, 0.0),
            offered.get(key, 0.0),
            sum(admitted.values()),
            sum(offered.values()),
        )

    def rate_ahead_per_s(self, key):
        """Return the recent requests per second of more urgent classes."""
        offered = self.offered()
        ahead = sum(count for each, count in offered.items() if each < key)
        return ahead / self.RECENT_S

    def record_work(self, route, work_s):
        """Record how long a request took that did not wait for a slot.

        :param route: :class:`~boragetrail.direct.model.Route`
        :param work_s: seconds from its start to the end of the response
        """
        known_s = self.work_s_by_route.get(route.name, work_s)
        known_s += self.WORK_GAIN * (work_s - known_s)
        self.work_s_by_route[route.name] = known_s
        if not self.work_s:
            self.work_s = work_s
        self.work_s += self.WORK_GAIN * (work_s - self.work_s)

    def remove_other_routes(self, routes):
        """Remove what is known of routes that do not exist any more.

        :param routes: set of the names of all routes
        """
        for values_by_route in (self.goal_s_by_route, self.work_s_by_route):
            for name in values_by_route.keys() - routes:
                del values_by_route[name]

    def goal_s(self):
        """Return the shortest goal of the routes that were used."""
        return min(self.goal_s_by_route.values(), default=0.0)
