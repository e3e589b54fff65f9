"""Placement of requests at engines that cache parts of their prompts."""

import collections
import dataclasses

from boragetrail.policy.placement import rendezvous_score

__all__ = ["EngineView", "PrefixCacheIndex", "PrefixPlacement", "load_bound"]

LOAD_MULTIPLE = 1.6
LOAD_SLACK = 2.0


@dataclasses.dataclass(slots=True)
class EngineView:
    """A router's view of one model engine at the time of a placement.

    :param id: id of the engine
    :param running: known number of requests of all routers at the engine
    :param pending_tokens: prefill tokens of its requests that have not
        produced a first token yet
    :param suspect: 1 if a connection to it failed a short time ago, else 0
    :param failure_rate: expected fraction of failed requests
    """

    id: str
    running: int
    pending_tokens: int
    suspect: int
    failure_rate: float = 0.0


class PrefixCacheIndex:
    """Index of the engines that hold each prompt part in their KV cache.

    :param clock: function that returns monotonic seconds
    """

    MAX_PARTS = 4096
    # Engines evict the least recently used parts, so a part that was not
    # used for so long is assumed to be evicted.
    RETENTION_S = 60.0

    def __init__(self, clock):
        self.clock = clock
        self.times_by_part = collections.OrderedDict()

    def add_holder(self, part, engine_id):
        """Record that an engine has cached or used a part just now."""
        times = self.times_by_part.pop(part, None)
        if times is None:
            times = {}
        times[engine_id] = self.clock()
        self.times_by_part[part] = times
        if len(self.times_by_part) > self.MAX_PARTS:
            self.times_by_part.popitem(last=False)

    def holders(self, part):
        """Return the set of ids of the engines that hold a part."""
        oldest = self.clock() - self.RETENTION_S
        times = self.times_by_part.get(part, {})
        return {key for key, used_s in times.items() if used_s >= oldest}

    def items(self):
        """Return a list of (part, sorted ids of the engines that hold it)."""
        return [
            (part, sorted(self.holders(part)))
            for part in self.times_by_part
            if self.holders(part)
        ]

    def remove_engine(self, engine_id):
        """Remove an engine that has left or has lost its cache."""
        for times in self.times_by_part.values():
            times.pop(engine_id, None)


class PrefixPlacement:
    """Placement by prefill work, including the work already queued.

    A request goes to the engine with the least estimated work before its
    first token: the engine's pending prefill tokens, and copying the parts
    that another engine holds. Parts that no engine is known to hold count as
    held by the first engine in rendezvous order [1]_, so that routers that
    do not know each other's placements choose the same engine.

    Two engines are sampled among those that hold most of the prompt and two
    among the others [2]_, so that routers with the same view do not all
    choose the one engine that appears idle. Engines above a bounded multiple
    of the mean load rank behind the others.

    :param prefix_index: :class:`PrefixCacheIndex`
    :param random: random generator

    .. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
       Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    .. [2] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
       Balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.

    >>> import random
    >>> prefix_index = PrefixCacheIndex(lambda: 0.0)
    >>> prefix_index.add_holder("deck", "e2")
    >>> engines = [EngineView(f"e{i}", 0, 0, 0) for i in range(4)]
    >>> prompt = [("deck", 6000), ("own", 500)]
    >>> placement = PrefixPlacement(prefix_index, random.Random(1))
    >>> placement.order(prompt, engines)[0].id
    'e2'
    """

    # Cost of a token copied from another engine, in units of the cost of a
    # token in the prefill.
    COPY_COST_FACTOR = 1.2
    # Cost of a running request, in tokens.
    TOKENS_PER_RUNNING_REQUEST = 60
    # Cost of an engine with a failure rate of 1, in tokens.
    FAILURE_COST_TOKENS = 60000
    # Fewer tokens are computed rather than copied.
    MIN_COPIED_TOKENS = 200

    SAMPLE_SIZE = 2

    def __init__(self, prefix_index, random):
        self.prefix_index = prefix_index
        self.random = random

    def order(self, prompt, engines):
        """Return the engines, best first.

        :param prompt: list of (part, number of tokens)
        :param engines: list of :class:`EngineView`
        """
        if not engines:
            return []
        bound = load_bound(sum(e.running for e in engines) / len(engines))
        cached = self.cached_tokens_by_engine(prompt)
        max_cached = max(cached.values(), default=0)
        uncached = max(0, _shared_tokens(prompt) - max_cached)
        preferred = (
            self._rendezvous_engine(prompt, engines) if uncached else None
        )
        sampled = self._sampled_engines(engines, cached, max_cached, preferred)

        def rank(engine):
            over_bound = engine.running + 1 > bound
            copied = max_cached - cached.get(engine.id, 0)
            cost = engine.pending_tokens + self.COPY_COST_FACTOR * copied
            cost += self.TOKENS_PER_RUNNING_REQUEST * engine.running
            cost += self.FAILURE_COST_TOKENS * engine.failure_rate
            if engine.id != preferred:
                cost += uncached
            return (engine.suspect, over_bound, engine.id not in sampled, cost)

        return sorted(engines, key=rank)

    def cached_tokens_by_engine(self, prompt):
        """Return the number of leading cached tokens by engine id.

        Engines that hold none are left out.
        """
        cached = {}
        holders = None
        for part, tokens in prompt:
            part_holders = self.prefix_index.holders(part)
            holders = (
                part_holders if holders is None else holders & part_holders
            )
            for engine_id in holders:
                cached[engine_id] = cached.get(engine_id, 0) + tokens
        return cached

    def copy_source(self, prompt, engine_id, usable_ids):
        """Return the engine to copy parts of a prompt from, or ``None``.

        :param engine_id: id of the engine that gets the request
        :param usable_ids: ids of the engines that may be copied from
        """
        cached = self.cached_tokens_by_engine(prompt)
        own = cached.get(engine_id, 0)
        best = max(
            (key for key in cached if key in usable_ids and key != engine_id),
            key=cached.get,
            default=None,
        )
        if best is None or cached[best] - own < self.MIN_COPIED_TOKENS:
            return None
        return best

    def prefill_tokens(self, prompt, engine_id, source_id):
        """Return the work before the first token, in prefill tokens.

        Copied tokens are weighted with :attr:`COPY_COST_FACTOR`.

        :param source_id: id of the engine that parts are copied from, or
            ``None``
        """
        cached = self.cached_tokens_by_engine(prompt)
        own = cached.get(engine_id, 0)
        copied = max(0, cached.get(source_id, 0) - own)
        total = sum(tokens for _, tokens in prompt)
        return int(total - own - (1 - self.COPY_COST_FACTOR) * copied)

    def record_placement(self, prompt, engine_id):
        """Record that a request was sent to an engine."""
        for part, _ in prompt:
            self.prefix_index.add_holder(part, engine_id)

    def _sampled_engines(self, engines, cached, max_cached, preferred):
        """Return the ids of the engines that rank first."""
        holders, others = [], []
        for engine in engines:
            if engine.id != preferred:
                is_holder = cached.get(engine.id, 0) >= max_cached > 0
                (holders if is_holder else others).append(engine.id)
        return {preferred, *self._sample(holders), *self._sample(others)}

    def _sample(self, ids):
        return self.random.sample(ids, min(self.SAMPLE_SIZE, len(ids)))

    @staticmethod
    def _rendezvous_engine(prompt, engines):
        """Return the id of the first engine in rendezvous order."""
        part = prompt[-2][0] if len(prompt) > 1 else prompt[-1][0]
        return max(engines, key=lambda e: rendezvous_score(part, e.id)).id


def load_bound(mean):
    """Return the largest number of requests that an engine may have.

    :param mean: mean number of requests of a service's engines
    """
    return LOAD_MULTIPLE * mean + LOAD_SLACK


def _shared_tokens(prompt):
    return sum(tokens for _, tokens in prompt[:-1])
