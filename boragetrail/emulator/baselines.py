"""Baseline placements that experiments compare with the product's."""

from boragetrail.policy.placement import rendezvous_score
from boragetrail.policy.prefix import PrefixPlacement

__all__ = ["PLACEMENTS_BY_NAME"]


class LeastLoadedPlacement(PrefixPlacement):
    """Choose the engine with the fewest requests; copy no cached parts."""

    def order(self, prompt, engines):
        """Return the engines, the one with the fewest requests first."""
        return sorted(
            engines, key=lambda each: (each.running, self.random.random())
        )

    def copy_source(self, prompt, engine_id, usable_ids):
        """Return ``None``: no cached parts are copied."""
        return None


class RandomPlacement(LeastLoadedPlacement):
    """Choose a random engine; copy no cached parts."""

    def order(self, prompt, engines):
        """Return the engines in a random order."""
        return self.random.sample(engines, len(engines))


class RendezvousPlacement(LeastLoadedPlacement):
    """Choose by a hash of the last shared part, with bounded loads [1]_.

    .. [1] V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing
       with Bounded Loads", SODA 2018.
    """

    MULTIPLE = 1.25

    def order(self, prompt, engines):
        """Return the engines by score, those above the load bound last."""
        part = prompt[-2][0] if len(prompt) > 1 else prompt[-1][0]
        mean = sum(each.running for each in engines) / max(1, len(engines))
        bound = self.MULTIPLE * mean + 1
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
