"""Choose a server where the parts of a prompt are cached."""

import dataclasses

from boragetrail.policy.placement import rendezvous_score

__all__ = ["AffinePlacement", "LeastLoaded", "ServerView"]


@dataclasses.dataclass(slots=True)
class ServerView:
    """One server as a router sees it when it places a request.

    :param id: id of the server
    :param load: requests that all routers are known to have there
    :param slots: requests that it works on at once
    :param in_zone: whether it is in the router's zone
    :param doubt: 0 if it answers well, more if it failed lately
    """

    id: str
    load: float
    slots: int
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

    def order(self, key, views):
        """Return the views, the best first.

        :param key: unused
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


class AffinePlacement:
    """Place requests with a common part of the prompt together.

    Servers go in rendezvous order of the part. One that has more than a
    bounded multiple of the mean load goes behind the others [1]_.

    .. [1] V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing
       with Bounded Loads", SODA 2018.

    >>> views = [ServerView(f"s{i}", 0, 64, True, 0) for i in range(4)]
    >>> views[2].load = 9
    >>> [view.id for view in AffinePlacement().order("deck", views)][-1]
    's2'
    """

    MULTIPLE = 1.25
    SLACK = 1.0

    def order(self, key, views):
        """Return the views, the best first.

        :param key: what the requests have in common
        :param views: list of :class:`ServerView`
        """
        mean = sum(view.load for view in views) / max(1, len(views))
        bound = self.MULTIPLE * mean + self.SLACK

        def rank(view):
            over = view.load > bound
            score = rendezvous_score(key, view.id)
            return (view.doubt, over, view.load if over else 0, -score)

        return sorted(views, key=rank)
