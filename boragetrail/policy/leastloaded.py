"""Order of servers by load, least loaded first."""

import dataclasses

from boragetrail.policy.cap import load_bound
from boragetrail.policy.suspicion import Standing

__all__ = ["LeastLoadedOrder", "ServerView"]


@dataclasses.dataclass(slots=True)
class ServerView:
    """A router's view of one server when it selects a server.

    :param id: id of the server
    :param load: known number of requests at the server, sent by all routers
    :param in_zone: whether it is in the router's zone
    :param standing: :class:`~boragetrail.policy.suspicion.Standing`
    :param failure_rate: expected fraction of failed requests
    :param slowness: time that its work takes, relative to the usual time
    :param detour: rank of its zone for the request, 0 for the first; 0 for
        all servers if zones do not matter
    """

    id: str
    load: float
    in_zone: bool
    standing: Standing
    failure_rate: float = 0.0
    slowness: float = 1.0
    detour: int = 0


class LeastLoadedOrder:
    """Order of servers for requests that need no cached context.

    Servers on trial come before those above the load bound. The zone that
    the request should be served in comes next, unless its servers are
    expected to fail often. The load of a slow server, with the request to be
    placed, counts as many times as its work takes longer. Among equally loaded
    servers, those in the router's own zone come first. Remaining ties are
    broken at random, so that routers with the same view do not all choose the
    same server.

    :param random: random generator
    """

    # Load that a failure rate of 1 counts as, in requests.
    FAILURE_COST_REQUESTS = 4.0

    def __init__(self, random):
        self.random = random

    def order(self, views):
        """Return the views, best first.

        :param views: list of :class:`ServerView`
        """
        mean = sum(view.load for view in views) / max(1, len(views))
        bound = load_bound(mean)
        has_detours = any(view.detour for view in views)
        return sorted(
            views,
            key=lambda view: (
                view.standing is Standing.AVOIDED,
                view.load + 1 > bound,
                view.standing,
                has_detours and self._detour_rank(view),
                self._cost(view),
                not view.in_zone,
                self.random.random(),
            ),
        )

    def _cost(self, view):
        """Return the load with the time that the request itself would add.

        At a server of the usual speed it is the load alone.
        """
        delay = (view.slowness - 1.0) * (view.load + 1)
        failure_cost = self.FAILURE_COST_REQUESTS * view.failure_rate
        return view.load + delay + failure_cost

    def _detour_rank(self, view):
        """Return the rank of a zone, with failures of its server as detours.

        A zone ranks behind the next if a quarter of its requests fail.
        """
        return view.detour + int(
            self.FAILURE_COST_REQUESTS * view.failure_rate
        )
