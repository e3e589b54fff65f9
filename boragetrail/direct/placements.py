"""Placements of prompt parts that are still to be sent to other routers."""

import collections

__all__ = ["PlacementQueue"]


class PlacementQueue:
    """Holds new placements of prompt parts until they are sent to peers.

    A placement says which server caches a part. Unknown placements from
    peers are queued as well, so that they spread to the whole fleet [1]_.

    :param prefix_index: :class:`~boragetrail.policy.prefix.PrefixCacheIndex`
    :param clock: function that returns monotonic seconds

    .. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database
       Maintenance", PODC 1987.

    >>> from boragetrail.policy.prefix import PrefixCacheIndex
    >>> clock = lambda: 0.0
    >>> queue = PlacementQueue(PrefixCacheIndex(clock), clock)
    >>> queue.receive("deck", "s1")
    >>> queue.take_batch(), queue.take_batch(), queue.take_batch()
    ([['deck', 's1']], [['deck', 's1']], [])
    """

    # Each placement is sent twice to tolerate the loss of a datagram.
    SEND_COUNT = 2
    # Maximum numbers of placements in one datagram and in the queue. A full
    # queue drops the oldest placements.
    MAX_PER_DATAGRAM = 40
    MAX_QUEUED = 400

    def __init__(self, prefix_index, clock):
        self.prefix_index = prefix_index
        self.clock = clock
        self.queue = collections.deque(maxlen=self.MAX_QUEUED)

    def add_prompt(self, prompt, server_id):
        """Queue the new placements that sending a prompt to a server creates.

        :param prompt: list of (part, tokens); the last part is unique to
            the request and is not sent
        :param server_id: id of the server that gets the prompt
        """
        for part, _ in prompt[:-1]:
            self._enqueue_if_new(part, server_id)

    def receive(self, part, server_id, forward=True):
        """Record a placement that a peer sent.

        :param part: id of the prompt part
        :param server_id: id of the server that caches it
        :param forward: whether to send the placement to other peers if it is
            new; needed if the sender does not reach all routers
        """
        if forward:
            self._enqueue_if_new(part, server_id)
        self.prefix_index.add_holder(part, server_id)

    def take_batch(self):
        """Return the placements of the next datagram.

        Placements that have to be sent again are put at the end of the
        queue.

        :returns: list of [part, server id]
        """
        batch = [
            self.queue.popleft()
            for _ in range(min(self.MAX_PER_DATAGRAM, len(self.queue)))
        ]
        for part, server_id, sends_left in batch:
            if sends_left > 1:
                self.queue.append((part, server_id, sends_left - 1))
        return [[part, server_id] for part, server_id, _ in batch]

    def _enqueue_if_new(self, part, server_id):
        if server_id not in self.prefix_index.holders(part):
            self.queue.append((part, server_id, self.SEND_COUNT))
