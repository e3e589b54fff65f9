"""Placement of requests at engines that cache parts of their prompts."""

import collections
import dataclasses

from boragetrail.policy.cap import load_bound, max_load
from boragetrail.policy.placement import rendezvous_score
from boragetrail.policy.suspicion import Standing

__all__ = [
    "EngineView",
    "PrefixCacheIndex",
    "PrefixPlacement",
    "mean_running",
]


@dataclasses.dataclass(slots=True)
class EngineView:
    """A router's view of one model engine at the time of a placement.

    :param id: id of the engine
    :param running: known number of requests at the engine, sent by all
        routers
    :param pending_tokens: prefill tokens of the requests at the engine that
        have not produced a first token
    :param standing: :class:`~boragetrail.policy.suspicion.Standing`
    :param failure_rate: expected fraction of failed requests
    :param is_limited: whether the engine limits the rate of its requests
    :param in_zone: whether it is in the router's zone
    :param slowness: time that its work takes, relative to the usual time
    :param detour_tokens: cost, in prefill tokens, of serving the request in
        the engine's zone and not in the zone that it should be served in
    """

    id: str
    running: int
    pending_tokens: int
    standing: Standing
    failure_rate: float = 0.0
    is_limited: bool = False
    in_zone: bool = True
    slowness: float = 1.0
    detour_tokens: float = 0.0


class PrefixCacheIndex:
    """Index of the engines that hold each prompt part in their KV cache.

    :param clock: function that returns monotonic seconds
    :ivar times_by_part: for each part a dictionary of engine ids and the
        times at which the engine last used the part
    """

    MAX_PARTS = 4096
    # Engines evict the least recently used parts. A part that an engine has
    # not used for this long is assumed to be evicted.
    RETENTION_S = 60.0

    def __init__(self, clock):
        self.clock = clock
        self.times_by_part = collections.OrderedDict()

    def add_holder(self, part, engine_id):
        """Record that an engine has just cached or used a part."""
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


@dataclasses.dataclass(slots=True)
class _PromptCaches:
    """Hold how many tokens of a prompt the engines cache.

    :param cached: cached tokens by id of the engine
    :param max_cached: largest number of cached tokens that counts
    :param missing: part of these that only engines at a detour cache
    :param uncached: tokens of shared parts that count as cached nowhere
    :param total: tokens of the prompt
    :param preferred: id of the engine at which the uncached ones count as
        cached, or ``None`` if there are none
    """

    cached: dict
    max_cached: int
    missing: int
    uncached: int
    total: int
    preferred: str | None


class PrefixPlacement:
    """Placement by estimated prefill work.

    A request goes to the engine with the least estimated work before its
    first token: the engine's pending prefill tokens and the tokens of the
    prompt that have to be copied from another engine. Parts that no engine
    is known to hold count as cached at the first engine in rendezvous order
    [1]_, so that routers choose the same engine without knowing each other's
    placements.

    The work counts in the time that it takes: the work there and all of the
    request's own are multiplied by the engine's slowness.

    Besides that first engine, each router samples two of the engines that
    cache the most tokens of the prompt and two of the others [2]_. Engines
    out of the sample rank behind it, so that routers with the same view do
    not all choose the one engine that appears idle. Engines on trial come
    next, then those above :func:`~boragetrail.policy.cap.load_bound` of these
    engines or :func:`~boragetrail.policy.cap.max_load` of their service, and
    last those that are avoided.

    If engines of some zones cost a detour, engines are sampled from the other
    zones. Engines that cost a detour are sampled if they alone cache some
    tokens of the prompt, but not always: with a probability of the cost of the
    detour divided by that of the tokens, the request stays and its tokens are
    computed again. So a part that is used often is soon cached in each zone,
    and one that is used rarely is not, without a count of its requests [3]_.

    :param prefix_index: :class:`PrefixCacheIndex`
    :param random: random generator

    .. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
       Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    .. [2] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
       Balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.
    .. [3] A. Karlin, M. Manasse, L. McGeoch, S. Owicki, "Competitive
       Randomized Algorithms for Nonuniform Problems", Algorithmica 11(6),
       1994.

    >>> import random
    >>> prefix_index = PrefixCacheIndex(lambda: 0.0)
    >>> prefix_index.add_holder("deck", "e2")
    >>> engines = [EngineView(f"e{i}", 0, 0, 0) for i in range(4)]
    >>> prompt = [("deck", 6000), ("own", 500)]
    >>> placement = PrefixPlacement(prefix_index, random.Random(1))
    >>> placement.order(prompt, engines)[0].id
    'e2'
    """

    # Cost of copying a token from another engine, relative to the cost of
    # computing it in the prefill.
    COPY_COST_FACTOR = 1.2
    # Cost of each request at an engine, in prefill tokens.
    COST_TOKENS_PER_RUNNING_REQUEST = 60
    # Cost of a failure rate of 1, in prefill tokens.
    FAILURE_COST_TOKENS = 60000
    # Below this number of tokens, computing them again is preferred to
    # copying them.
    MIN_COPIED_TOKENS = 200
    # Number of engines sampled from those that cache most of the prompt, and
    # number of engines sampled from the others.
    SAMPLE_SIZE = 2
    # A copy from another zone takes this many times as long.
    FAR_COPY_MULTIPLE = 2.0

    def __init__(self, prefix_index, random):
        self.prefix_index = prefix_index
        self.random = random

    def order(self, prompt, engines, service_mean=None):
        """Return the engines, best first.

        :param prompt: list of (part, number of tokens)
        :param engines: list of :class:`EngineView` that may be selected
        :param service_mean: mean number of requests of all engines of the
            service; the default is that of these engines
        """
        if not engines:
            return []
        mean = mean_running(engines)
        if service_mean is None:
            service_mean = mean
        bounds = (max_load(service_mean), load_bound(mean))
        near = [each for each in engines if not each.detour_tokens] or engines
        caches = self._prompt_caches(prompt, engines, near)
        sampled = self._sampled_engines(near, caches)
        if caches.missing:
            sampled.update(self._far_holders(engines, caches))

        def rank(engine):
            excess = sum(engine.running + 1 > bound for bound in bounds)
            return (
                engine.standing is Standing.AVOIDED,
                excess,
                engine.standing,
                engine.id not in sampled,
                self._cost(engine, caches),
            )

        return sorted(engines, key=rank)

    def cached_tokens_by_engine(self, prompt):
        """Return the number of cached tokens at the prompt's start by engine.

        A part counts only if the engine also holds all parts before it.
        Engines without a cached token are left out.

        :returns: dictionary of numbers of tokens by engine id
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

    def copy_source(
        self, prompt, engine_id, usable_ids, far_ids=(), far_cost=0.0
    ):
        """Return the engine to copy parts of a prompt from, or ``None``.

        :param engine_id: id of the engine that gets the request
        :param usable_ids: ids of the engines that parts may be copied from
        :param far_ids: ids of those that are in another zone than the engine
        :param far_cost: price of copying a token from another zone, in
            prefill tokens
        :returns: id of an engine, or ``None`` if copying saves too little
        """
        cached = self.cached_tokens_by_engine(prompt)
        own = cached.get(engine_id, 0)

        def saved(key):
            tokens = cached[key] - own
            if key not in far_ids or tokens <= 0:
                return tokens
            return tokens * (1 / self.FAR_COPY_MULTIPLE - far_cost)

        best = max(
            (key for key in cached if key in usable_ids and key != engine_id),
            key=saved,
            default=None,
        )
        if best is None or saved(best) < self.MIN_COPIED_TOKENS:
            return None
        return best

    def prefill_tokens(self, prompt, engine_id, source_id, is_far=False):
        """Return an engine's work before a first token, in prefill tokens.

        Copied tokens are multiplied by :attr:`COPY_COST_FACTOR`.

        :param engine_id: id of the engine that gets the request
        :param source_id: id of the engine that parts are copied from, or
            ``None``
        :param is_far: whether that engine is in another zone
        """
        cached = self.cached_tokens_by_engine(prompt)
        own = cached.get(engine_id, 0)
        copied = max(0, cached.get(source_id, 0) - own)
        total = sum(tokens for _, tokens in prompt)
        factor = self.COPY_COST_FACTOR
        if is_far:
            factor *= self.FAR_COPY_MULTIPLE
        return int(total - own - (1 - factor) * copied)

    def record_placement(self, prompt, engine_id):
        """Record that an engine got a request and caches its prompt."""
        for part, _ in prompt:
            self.prefix_index.add_holder(part, engine_id)

    def _prompt_caches(self, prompt, engines, near):
        """Return the :class:`_PromptCaches` of a prompt.

        :param near: list of the engines that cost no detour, or of all
        """
        cached = self.cached_tokens_by_engine(prompt)
        max_cached = near_cached = max(cached.values(), default=0)
        if len(near) < len(engines):
            near_cached = max(cached.get(each.id, 0) for each in near)
        missing = max_cached - near_cached
        if missing and self._stays(engines, missing):
            max_cached, missing = near_cached, 0
        uncached = max(0, _shared_tokens(prompt) - max_cached)
        return _PromptCaches(
            cached,
            max_cached,
            missing,
            uncached,
            sum(tokens for _, tokens in prompt),
            self._rendezvous_engine(prompt, near) if uncached else None,
        )

    def _cost(self, engine, caches):
        """Return the work before the first token, in prefill tokens."""
        copied = max(0, caches.max_cached - caches.cached.get(engine.id, 0))
        cost = engine.pending_tokens + engine.detour_tokens
        if engine.detour_tokens or not caches.missing:
            cost += self.COPY_COST_FACTOR * copied
        else:
            # The tokens that no engine without a detour caches are computed.
            cost += self.COPY_COST_FACTOR * (copied - caches.missing)
            cost += caches.missing
        cost += self.COST_TOKENS_PER_RUNNING_REQUEST * engine.running
        # The request adds what no engine has cached, and itself.
        added = caches.total - caches.max_cached
        added += self.COST_TOKENS_PER_RUNNING_REQUEST
        cost += (engine.slowness - 1.0) * (cost + added)
        cost += self.FAILURE_COST_TOKENS * engine.failure_rate
        if engine.id != caches.preferred:
            cost += caches.uncached
        return cost

    def _stays(self, engines, missing):
        """Return whether tokens are computed again to avoid a detour.

        :param missing: number of tokens that are cached only in zones that
            cost a detour
        """
        costs = (each.detour_tokens for each in engines if each.detour_tokens)
        return self.random.random() * missing < min(costs)

    def _far_holders(self, engines, caches):
        """Return ids of some engines that alone cache most of a prompt."""
        cached, max_cached = caches.cached, caches.max_cached
        return self._sample(
            [
                each.id
                for each in engines
                if each.detour_tokens and cached.get(each.id, 0) >= max_cached
            ]
        )

    def _sampled_engines(self, engines, caches):
        """Return the ids of the engines that rank before all others."""
        cached, preferred = caches.cached, caches.preferred
        max_cached = caches.max_cached - caches.missing
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
        """Return the id of the prompt's first engine in rendezvous order.

        The order is that of the last part that other prompts may share, or
        of the only part.
        """
        part = prompt[-2][0] if len(prompt) > 1 else prompt[-1][0]
        return max(engines, key=lambda e: rendezvous_score(part, e.id)).id


def mean_running(engines):
    """Return the mean number of requests of the engines without a limit.

    An engine that limits its rate has few requests, however many there are.

    :param engines: list of :class:`EngineView`
    :returns: mean, or 0 without engines
    """
    counts = [each.running for each in engines if not each.is_limited]
    counts = counts or [each.running for each in engines]
    return sum(counts) / max(1, len(counts))


def _shared_tokens(prompt):
    """Return the tokens of all parts but the last, the prompt's own."""
    return sum(tokens for _, tokens in prompt[:-1])
