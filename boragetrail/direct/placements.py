"""Places of parts of prompts that other routers may not know of yet."""

import collections

__all__ = ["PlacementQueue"]


class PlacementQueue:
    """Keep which parts went to which servers until they were told.

    What other routers told is told on as well, if it was not known, so that
    it reaches all [1]_.

    :param parts: :class:`~boragetrail.policy.prefix.PartMap`
    :param clock: function that returns monotonic seconds

    .. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database
       Maintenance", PODC 1987.

    >>> from boragetrail.policy.prefix import PrefixCacheIndex
    >>> clock = lambda: 0.0
    >>> news = PlacementQueue(PrefixCacheIndex(clock), clock)
    >>> news.receive("deck", "s1")
    >>> news.take_batch(), news.take_batch(), news.take_batch()
    ([['deck', 's1']], [['deck', 's1']], [])
    """

    # How often a place is told, so that a lost datagram does no harm.
    SEND_COUNT = 2
    # Most places of one datagram, and of those that wait.
    MAX_PER_DATAGRAM = 40
    MAX_QUEUED = 400

    def __init__(self, parts, clock):
        self.parts = parts
        self.clock = clock
        self.queue = collections.deque(maxlen=self.MAX_QUEUED)

    def add_prompt(self, prompt, server_id):
        """Note that a server gets a prompt, and keep what is new in it.

        :param prompt: list of (part, tokens); the last part is the
            request's own and no news
        """
        for part, _ in prompt[:-1]:
            self._keep(part, server_id)

    def receive(self, part, server_id, forward=True):
        """Note what another router told of a part.

        :param passes_on: whether other routers may not have heard it
        """
        if forward:
            self._keep(part, server_id)
        self.parts.add_holder(part, server_id)

    def take_batch(self):
        """Return what the next datagram tells, as [part, server id] each."""
        told = [
            self.queue.popleft()
            for _ in range(min(self.MAX_PER_DATAGRAM, len(self.queue)))
        ]
        for part, server_id, times in told:
            if times > 1:
                self.queue.append((part, server_id, times - 1))
        return [[part, server_id] for part, server_id, _ in told]

    def _keep(self, part, server_id):
        if server_id not in self.parts.holders(part):
            self.queue.append((part, server_id, self.SEND_COUNT))
