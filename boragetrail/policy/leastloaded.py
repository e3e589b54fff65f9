"""Choose the least loaded server."""

import dataclasses

__all__ = ["LeastLoaded", "ServerView"]


@dataclasses.dataclass(slots=True)
class ServerView:
    """One server as a router sees it when it places a request.

    :param id: id of the server
    :param load: requests that all routers are known to have there
    :param in_zone: whether it is in the router's zone
    :param doubt: 0 if it answers well, more if it failed lately
    """

    id: str
    load: float
    in_zone: bool
    doubt: int


class LeastLoaded:
    """Place requests that need no context at the least loaded server.

    Among equals the router's zone goes first, then chance decides, so that
    routers with the same view don't all choose the same server.

    :param random: random generator
    """

    def __init__(self, random):
        self.random = random

    def order(self, views):
        """Return the views, the best first.

        :param views: list of :class:`ServerView`
        """
        return sorted(
            views,
            key=lambda view: (
                view.doubt,
                view.load,
                not view.in_zone,
                self.random.random(),
            ),
        )
