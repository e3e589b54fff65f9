"""Baseline policies that experiments compare with prefix placement."""

from boragetrail.policy.placement import rendezvous_score
from boragetrail.policy.prefix import PrefixPlacement

__all__ = ["PLACEMENTS_BY_NAME"]


class LeastLoadedPlacement(PrefixPlacement):
    """Choose the engine with the fewest requests.

    The baselines copy no cached prompt parts between engines.
    """

    def order(self, prompt, engines, service_mean=None):
        """Return the engines, the one with the fewest requests first."""
        return sorted(
            engines, key=lambda each: (each.running, self.random.random())
        )

    def copy_source(
        self, prompt, engine_id, usable_ids, far_ids=(), far_cost=0.0
    ):
        """Return ``None``: baselines copy no cached prompt parts."""
        return None


class RandomPlacement(LeastLoadedPlacement):
    """Choose a random engine."""

    def order(self, prompt, engines, service_mean=None):
        """Return the engines in a random order."""
        return self.random.sample(engines, len(engines))


class RendezvousPlacement(LeastLoadedPlacement):
    """Choose by rendezvous hashing with bounded loads [1]_.

    An engine's score is a hash of its id and the last shared part of the
    prompt. The load bound is a multiple of the mean number of requests plus 1.

    .. [1] V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing
       with Bounded Loads", SODA 2018.
    """

    LOAD_BOUND_MULTIPLE = 1.25

    def order(self, prompt, engines, service_mean=None):
        """Return the engines by descending score.

        Engines that one more request would put above the load bound come last.
        """
        part = prompt[-2][0] if len(prompt) > 1 else prompt[-1][0]
        mean = sum(each.running for each in engines) / max(1, len(engines))
        bound = self.LOAD_BOUND_MULTIPLE * mean + 1
        return sorted(
            engines,
            key=lambda each: (
                each.running + 1 > bound,
                -rendezvous_score(part, each.id),
            ),
        )


PLACEMENTS_BY_NAME = {
    "prefix": PrefixPlacement,
    "least-loaded": LeastLoadedPlacement,
    "rendezvous": RendezvousPlacement,
    "random": RandomPlacement,
}
