"""Baselines that :class:`AffinityPlacement` is compared with."""

import bisect

from boragetrail.policy.placement import Choice, Placement, rendezvous_score

__all__ = [
    "BoundedHashPlacement",
    "ConsistentHashPlacement",
    "LeastLoadedPlacement",
    "RandomPlacement",
    "RoundRobinPlacement",
]

# Positions of each server on the hash ring.
POINTS_PER_SERVER = 64


class RandomPlacement(Placement):
    """Order the servers at random.

    :param random: random generator
    """

    def __init__(self, random):
        self.random = random

    def order(self, request, candidates):
        """Return choices in random order."""
        shuffled = list(candidates)
        self.random.shuffle(shuffled)
        return [Choice(each, "random") for each in shuffled]


class RoundRobinPlacement(Placement):
    """Order the servers round-robin."""

    def __init__(self):
        self.turn = 0

    def order(self, request, candidates):
        """Return choices that start one server further than the last call."""
        self.turn += 1
        begin = self.turn % max(1, len(candidates))
        turned = candidates[begin:] + candidates[:begin]
        return [Choice(each, "turn") for each in turned]


class LeastLoadedPlacement(Placement):
    """Order the servers by their last known load.

    :param random: random generator that breaks ties
    """

    def __init__(self, random):
        self.random = random

    def order(self, request, candidates):
        """Return choices, least loaded first."""
        ranked = [(c.load, self.random.random(), c) for c in candidates]
        ranked.sort(key=lambda each: each[:2])
        return [Choice(each, "least") for _, _, each in ranked]


class ConsistentHashPlacement(Placement):
    """Order the servers on a consistent hash ring [1]_.

    .. [1] D. Karger et al., "Consistent Hashing and Random Trees", STOC
       1997.
    """

    def __init__(self):
        self.names = ()
        self.points = []

    def order(self, request, candidates):
        """Return choices in ring order, from the position of the key on."""
        by_name = {each.name: each for each in candidates}
        self._build(tuple(sorted(by_name)))
        begin = bisect.bisect(
            self.points, (rendezvous_score(request.key, ""),)
        )
        ordered = []
        seen = set()
        for at in range(len(self.points)):
            name = self.points[(begin + at) % len(self.points)][1]
            if name not in seen:
                seen.add(name)
                ordered.append(Choice(by_name[name], "ring"))
                if len(seen) == len(by_name):
                    break
        return ordered

    def _build(self, names):
        if names == self.names:
            return
        self.names = names
        self.points = sorted(
            (rendezvous_score(name, str(number)), name)
            for name in names
            for number in range(POINTS_PER_SERVER)
        )


class BoundedHashPlacement(ConsistentHashPlacement):
    """Order on a consistent hash ring, with full servers last."""

    def order(self, request, candidates):
        """Return choices in ring order, with servers at their limit last."""
        ordered = super().order(request, candidates)
        ordered.sort(key=lambda choice: self._is_full(choice.candidate))
        return ordered

    def _is_full(self, candidate):
        return candidate.load >= candidate.limit
