"""Placement: the order in which servers are tried for a request."""

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
    """A router's view of one server.

    :param name: name of the backend server
    :param zone: its availability zone
    :param region: its region
    :param load: last known load; infinity if not known
    :param load_age_s: age of that load in seconds
    :param limit: load at which the server is expected to refuse requests
    :param cold: whether the server is known to be cold
    :param suspect: whether a connection to it failed a short time ago
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
    """What a placement needs to know of a request.

    :param key: id of the chat, or of the request if it has no chat
    :param hint: name of the server that last served the chat, as the caller
        states it, or empty
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
    """A candidate in the order of a placement.

    :param candidate: :class:`Candidate`
    :param rule: name of the rule that determined its rank
    :param score: rendezvous score, or 0 if the placement uses none
    """

    __slots__ = ("candidate", "rule", "score")

    def __init__(self, candidate, rule, score=0.0):
        self.candidate = candidate
        self.rule = rule
        self.score = score


class Placement(abc.ABC):
    """Interface of policies that order the servers for a request."""

    @abc.abstractmethod
    def order(self, request, candidates):
        """Return choices, best first.

        :param request: :class:`PlacementRequest`
        :param candidates: list of :class:`Candidate` that accept work
        :returns: list of :class:`Choice`
        """


class AffinityPlacement(Placement):
    """Placement of a chat at the server that holds its context.

    The server of the caller's hint comes first. The others follow in
    rendezvous order of the chat's id [1]_, so that only the chats of a
    server that joins or leaves move. Next come servers at their limit, which
    is lower for a cold server, then servers of other regions, and finally
    suspect servers.

    .. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
       Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    >>> pool = [Candidate(name) for name in ("s1", "s2", "s3")]
    >>> order = AffinityPlacement().order(PlacementRequest("chat", "s3"), pool)
    >>> order[0].candidate.name, order[0].rule
    ('s3', 'hint')
    """

    # A load older than this does not show that a server is at its limit.
    MAX_LOAD_AGE_S = 0.1

    def order(self, request, candidates):
        """Return choices, best first; see :meth:`Placement.order`."""
        choices = [self._choice(request, each) for each in candidates]
        choices.sort(key=lambda choice: self._rank(request, choice))
        return choices

    def _choice(self, request, candidate):
        score = rendezvous_score(request.key, candidate.name)
        if candidate.name == request.hint:
            return Choice(candidate, "hint", score)
        return Choice(candidate, "home", score)

    def _rank(self, request, choice):
        each = choice.candidate
        if each.suspect:
            choice.rule = "suspect"
        elif self._is_known_full(each):
            choice.rule = "full"
        return (
            each.suspect,
            bool(request.region) and each.region != request.region,
            choice.rule == "full",
            choice.rule != "hint",
            -choice.score,
        )

    def _is_known_full(self, candidate):
        if candidate.load_age_s > self.MAX_LOAD_AGE_S:
            return False
        return candidate.load >= candidate.limit


def rendezvous_score(key, server):
    """Return the rendezvous score of a server for a key, 0 to 2**64 - 1.

    The server with the highest score is the first in rendezvous order.
    """
    text = f"{key}\x00{server}"
    return xxhash.xxh3_64_intdigest(text.encode())
