"""Decide in which order the servers of a service are tried for a request."""

import abc

import xxhash

__all__ = [
    "Candidate",
    "Choice",
    "Placement",
    "PlacementRequest",
    "AffinityPlacement",
]


class Candidate:
    """One server as a router sees it.

    :param name: name of the backend server
    :param zone: its availability zone
    :param region: its region
    :param load: last known load; infinity if not known
    :param load_age_s: age of that knowledge in seconds
    :param limit: load up to which the router expects it to admit
    :param cold: whether it is known to be warming up
    :param suspect: whether the path to it failed a short time ago
    """

    __slots__ = (
        "name",
        "zone",
        "region",
        "load",
        "load_age_s",
        "limit",
        "cold",
        "suspect",
    )

    def __init__(
        self,
        name,
        zone="",
        region="",
        load=0,
        load_age_s=0.0,
        limit=float("inf"),
        cold=False,
        suspect=False,
    ):
        self.name = name
        self.zone = zone
        self.region = region
        self.load = load
        self.load_age_s = load_age_s
        self.limit = limit
        self.cold = cold
        self.suspect = suspect


class PlacementRequest:
    """What a placement knows of a request.

    :param key: id of the chat, or of the request if it has no chat
    :param hint: server that served the chat last, or empty
    :param region: region of the router
    :param returning: whether the chat has been served before
    """

    __slots__ = ("key", "hint", "region", "returning")

    def __init__(self, key, hint="", region="", returning=False):
        self.key = key
        self.hint = hint
        self.region = region
        self.returning = returning


class Choice:
    """One server of the order with the rule that put it there."""

    __slots__ = ("candidate", "rule", "score")

    def __init__(self, candidate, rule, score=0.0):
        self.candidate = candidate
        self.rule = rule
        self.score = score


class Placement(abc.ABC):
    """Order the candidates for a request."""

    @abc.abstractmethod
    def order(self, wanted, candidates):
        """Return choices, the best first.

        :param wanted: :class:`Wanted`
        :param candidates: list of :class:`Candidate` that can take work
        :returns: list of :class:`Choice`
        """


class AffinityPlacement(Placement):
    """Place a chat where its context lives.

    The caller's hint goes first. Then come the servers in rendezvous order
    of the chat's id [1]_, which moves only the chats of a server that joins
    or leaves. Servers that are known to be full, cold or out of reach come
    after the others, and servers of other regions last.

    .. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
       Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    >>> pool = [Candidate(name) for name in ("s1", "s2", "s3")]
    >>> order = AffinityPlacement().order(PlacementRequest("chat", "s3"), pool)
    >>> order[0].candidate.name, order[0].rule
    ('s3', 'hint')
    """

    # Seconds for which a load report counts as current.
    TRUSTED_AGE_S = 0.1

    def order(self, wanted, candidates):
        """Return choices, the best first; see :meth:`Placement.order`."""
        choices = [self._choice(wanted, each) for each in candidates]
        choices.sort(key=lambda choice: self._rank(wanted, choice))
        return choices

    def _choice(self, wanted, candidate):
        score = rendezvous_score(wanted.key, candidate.name)
        if candidate.name == wanted.hint:
            return Choice(candidate, "hint", score)
        return Choice(candidate, "home", score)

    def _rank(self, wanted, choice):
        each = choice.candidate
        if each.suspect:
            choice.rule = "suspect"
        elif self._known_full(each):
            choice.rule = "full"
        return (
            each.suspect,
            bool(wanted.region) and each.region != wanted.region,
            choice.rule == "full",
            choice.rule != "hint",
            -choice.score,
        )

    def _known_full(self, candidate):
        if candidate.load_age_s > self.TRUSTED_AGE_S:
            return False
        return candidate.load >= candidate.limit


def rendezvous_score(key, server):
    """Return the rendezvous weight of a server for a key, 0 to 2**64."""
    text = f"{key}\x00{server}"
    return xxhash.xxh3_64_intdigest(text.encode())
