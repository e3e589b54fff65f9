"""Choose the least loaded server."""

import dataclasses

__all__ = ["LeastLoadedOrder", "ServerView"]


@dataclasses.dataclass(slots=True)
class ServerView:
    """One server as a router sees it when it places a request.

    :param id: id of the server
    :param load: requests that all routers are known to have there
    :param in_zone: whether it is in the router's zone
    :param doubt: 0 if it can be reached, 1 if that failed lately
    :param failure_rate: part of requests that it is expected to fail
    """

    id: str
    load: float
    in_zone: bool
    suspect: int
    failure_rate: float = 0.0


class LeastLoadedOrder:
    """Place requests that need no context at the least loaded server.

    Among equals the router's zone goes first, then chance decides, so that
    routers with the same view don't all choose the same server.

    :param random: random generator
    """

    # Requests that a certain failure counts like.
    FAILURE_REQUESTS = 4.0

    def __init__(self, random):
        self.random = random

    def order(self, views):
        """Return the views, the best first.

        :param views: list of :class:`ServerView`
        """
        return sorted(
            views,
            key=lambda view: (
                view.suspect,
                view.load + self.FAILURE_REQUESTS * view.failure_rate,
                not view.in_zone,
                self.random.random(),
            ),
        )
