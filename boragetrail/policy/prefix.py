"""Place requests where the parts of their prompts are cached."""

import collections
import dataclasses

from boragetrail.policy.placement import rendezvous_score

__all__ = ["EngineView", "PrefixCacheIndex", "PrefixPlacement", "load_bound"]

LOAD_MULTIPLE = 1.6
LOAD_SLACK = 2.0


@dataclasses.dataclass(slots=True)
class EngineView:
    """One model engine as a router sees it when it places a request.

    :param id: id of the engine
    :param running: requests that all routers are known to have there
    :param pending_tokens: prompt tokens of requests there that have not
        answered yet, as far as they are not cached
    :param doubt: 0 if it can be reached, 1 if that failed lately
    :param failure_rate: part of requests that it is expected to fail
    """

    id: str
    running: int
    pending_tokens: int
    suspect: int
    failure_rate: float = 0.0


class PrefixCacheIndex:
    """Remember which engines have read which part of a prompt.

    :param clock: function that returns monotonic seconds
    """

    MOST_PARTS = 4096
    # Engines drop the parts that were not used for the longest time.
    KEEP_S = 60.0

    def __init__(self, clock):
        self.clock = clock
        self.times_by_part = collections.OrderedDict()

    def add_holder(self, part, engine_id):
        """Note that an engine reads a part, or has used it."""
        times = self.times_by_part.pop(part, None)
        if times is None:
            times = {}
        times[engine_id] = self.clock()
        self.times_by_part[part] = times
        if len(self.times_by_part) > self.MOST_PARTS:
            self.times_by_part.popitem(last=False)

    def holders(self, part):
        """Return the ids of engines that have a part, as a set."""
        oldest = self.clock() - self.KEEP_S
        times = self.times_by_part.get(part, {})
        return {key for key, used_s in times.items() if used_s >= oldest}

    def items(self):
        """Return a list of (part, ids of the engines that keep it)."""
        return [
            (part, sorted(self.holders(part)))
            for part in self.times_by_part
            if self.holders(part)
        ]

    def remove_engine(self, engine_id):
        """Note that an engine is gone or has lost its cache."""
        for times in self.times_by_part.values():
            times.pop(engine_id, None)


class PrefixPlacement:
    """Weigh what an engine has to read against what waits there already.

    A request goes to the engine where the least work is done before its
    first token, that for the requests before it included. Parts that another
    engine keeps are copied from there, which costs less than reading them.
    Parts that no engine is known to have count as if the first engine in
    rendezvous order [1]_ had them, so that routers which have not heard of
    each other's choices make the same one.

    Of the engines that keep most of the prompt, and of the others, two each
    are weighed [2]_, so that routers with the same news do not all choose the
    one that seems idle. No engine gets more than a bounded multiple of the
    mean load.

    :param parts: :class:`PartMap`
    :param random: random generator

    .. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
       Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    .. [2] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
       Balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.

    >>> import random
    >>> parts = PrefixCacheIndex(lambda: 0.0)
    >>> parts.add_holder("deck", "e2")
    >>> engines = [EngineView(f"e{i}", 0, 0, 0) for i in range(4)]
    >>> prompt = [("deck", 6000), ("own", 500)]
    >>> placement = PrefixPlacement(parts, random.Random(1))
    >>> placement.order(prompt, engines)[0].id
    'e2'
    """

    # What one token counts that is copied from another engine, against one
    # that is read.
    COPY_WEIGHT = 1.2
    # Tokens that one running request counts like.
    RUNNING_TOKENS = 60
    # Tokens that a certain failure counts like.
    FAILURE_TOKENS = 60000
    # Fewer tokens than this are read rather than copied.
    LEAST_COPIED = 200

    SAMPLE = 2

    def __init__(self, parts, random):
        self.parts = parts
        self.random = random

    def order(self, prompt, engines):
        """Return the engines, the best first.

        :param prompt: list of (part, tokens)
        :param engines: list of :class:`EngineView`
        """
        if not engines:
            return []
        bound = load_bound(sum(e.running for e in engines) / len(engines))
        kept = self.kept_by_engine(prompt)
        most_kept = max(kept.values(), default=0)
        unknown = max(0, _shared_tokens(prompt) - most_kept)
        home = self._home(prompt, engines) if unknown else None
        weighed = self._weighed(engines, kept, most_kept, home)

        def rank(engine):
            over = engine.running + 1 > bound
            copied = most_kept - kept.get(engine.id, 0)
            waits = engine.pending_tokens + self.COPY_WEIGHT * copied
            waits += self.RUNNING_TOKENS * engine.running
            waits += self.FAILURE_TOKENS * engine.failure_rate
            if engine.id != home:
                waits += unknown
            return (engine.suspect, over, engine.id not in weighed, waits)

        return sorted(engines, key=rank)

    def kept_by_engine(self, prompt):
        """Return the leading tokens of a prompt that engines keep, by id.

        Engines that keep none are left out.
        """
        kept = {}
        holders = None
        for part, tokens in prompt:
            found = self.parts.holders(part)
            holders = found if holders is None else holders & found
            for engine_id in holders:
                kept[engine_id] = kept.get(engine_id, 0) + tokens
        return kept

    def copy_source(self, prompt, engine_id, usable_ids):
        """Return the engine to copy parts of a prompt from, or ``None``.

        :param engine_id: engine that gets the request
        :param usable_ids: engines that may be copied from
        """
        kept = self.kept_by_engine(prompt)
        own = kept.get(engine_id, 0)
        best = max(
            (key for key in kept if key in usable_ids and key != engine_id),
            key=kept.get,
            default=None,
        )
        if best is None or kept[best] - own < self.LEAST_COPIED:
            return None
        return best

    def prefill_tokens(self, prompt, engine_id, source_id):
        """Return the work before the first token, in tokens read.

        :param source_id: engine that parts are copied from, or ``None``
        """
        kept = self.kept_by_engine(prompt)
        own = kept.get(engine_id, 0)
        copied = max(0, kept.get(source_id, 0) - own)
        total = sum(tokens for _, tokens in prompt)
        return int(total - own - (1 - self.COPY_WEIGHT) * copied)

    def record_placement(self, prompt, engine_id):
        """Note that an engine got a request."""
        for part, _ in prompt:
            self.parts.add_holder(part, engine_id)

    def _weighed(self, engines, kept, most_kept, home):
        """Return the ids of the engines to choose from."""
        holders, others = [], []
        for engine in engines:
            if engine.id != home:
                keeps = kept.get(engine.id, 0) >= most_kept > 0
                (holders if keeps else others).append(engine.id)
        return {home, *self._sample(holders), *self._sample(others)}

    def _sample(self, ids):
        return self.random.sample(ids, min(self.SAMPLE, len(ids)))

    @staticmethod
    def _home(prompt, engines):
        """Return the engine for parts that none is known to keep."""
        part = prompt[-2][0] if len(prompt) > 1 else prompt[-1][0]
        return max(engines, key=lambda e: rendezvous_score(part, e.id)).id


def load_bound(mean):
    """Return the most requests that an engine may get to have.

    :param mean: mean number of requests of the engines of a service
    """
    return LOAD_MULTIPLE * mean + LOAD_SLACK


def _shared_tokens(prompt):
    return sum(tokens for _, tokens in prompt[:-1])
