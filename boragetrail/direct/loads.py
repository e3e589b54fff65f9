"""Work that other routers have at servers."""

import collections
import dataclasses

__all__ = ["Load", "LoadChanges", "LoadTotals"]


@dataclasses.dataclass(slots=True)
class Load:
    """Count work at a server.

    :param requests: requests in flight
    :param pending_tokens: prompt tokens that they have to read
    :param failures: requests that the server failed in the last seconds
    :param answers: all that it answered in the last seconds
    """

    requests: int = 0
    pending_tokens: int = 0
    failures: int = 0
    answers: int = 0


class LoadTotals:
    """Sum what other routers lately told of their work at each server.

    A digest changes the sums of the servers that it names, so that a choice
    costs nothing for each router.

    :param clock: function that returns monotonic seconds
    :param age_s: age in seconds at which what was told stops to count

    >>> totals = LoadTotals(lambda: 0.0, 1.5)
    >>> totals.told("a", {"s1": (2, 100, 0, 4)})
    >>> totals.told("b", {"s1": (1, 0, 0, 3)})
    >>> totals.told("a", {"s1": (1, 0, 0, 5)})
    >>> totals.load("s1")
    Load(requests=2, pending_tokens=0, failures=0, answers=8)
    """

    __slots__ = ("clock", "age_s", "told_by_router", "order", "loads_by_id")

    def __init__(self, clock, age_s):
        self.clock = clock
        self.age_s = age_s
        self.told_by_router = {}
        self.order = collections.deque()
        self.loads_by_id = {}

    def told(self, router, loads_by_id):
        """Replace what a router told.

        :param loads_by_id: fields of a :class:`Load` by server id
        """
        self._drop(router)
        now = self.clock()
        self.told_by_router[router] = (now, loads_by_id)
        self.order.append((now, router))
        self._add(loads_by_id, 1)

    def told_changes(self, router, loads_by_id):
        """Replace some of what a router told; the rest is as it was.

        :param loads_by_id: as for :meth:`told`; servers at which the router
            has nothing any more count 0
        """
        _, loads = self.told_by_router.get(router, (None, {}))
        merged = {**loads, **loads_by_id}
        kept = {key: each for key, each in merged.items() if any(each)}
        self.told(router, kept)

    def load(self, server_id):
        """Return the :class:`Load` that others have at a server."""
        self._expire()
        return self.loads_by_id.get(server_id) or Load()

    def _expire(self):
        oldest = self.clock() - self.age_s
        while self.order and self.order[0][0] < oldest:
            told_s, router = self.order.popleft()
            if self.told_by_router.get(router, (None,))[0] == told_s:
                self._drop(router)

    def _drop(self, router):
        told = self.told_by_router.pop(router, None)
        if told is not None:
            self._add(told[1], -1)

    def _add(self, loads_by_id, sign):
        for server_id, fields in loads_by_id.items():
            total = self.loads_by_id.setdefault(server_id, Load())
            told = Load(*fields)
            total.requests += sign * told.requests
            total.pending_tokens += sign * told.pending_tokens
            total.failures += sign * told.failures
            total.answers += sign * told.answers
            if total == Load():
                del self.loads_by_id[server_id]


class LoadChanges:
    """Find out which of a router's own loads nobody was told of.

    >>> changes = LoadChanges()
    >>> changes.take({"s1": (1, 0, 0, 4), "s2": (1, 0, 0, 0)})
    {'s1': (1, 0, 0, 4), 's2': (1, 0, 0, 0)}
    >>> changes.take({"s1": (1, 0, 0, 4)})
    {'s2': (0, 0, 0, 0)}
    """

    __slots__ = ("told_by_id",)

    def __init__(self):
        self.told_by_id = {}

    def take(self, loads_by_id):
        """Return what has changed since the last call.

        :param loads_by_id: fields of a :class:`Load` by server id
        """
        told = self.told_by_id
        self.told_by_id = dict(loads_by_id)
        nothing = dataclasses.astuple(Load())
        changed = {key: nothing for key in told if key not in loads_by_id}
        for key, fields in loads_by_id.items():
            if told.get(key) != fields:
                changed[key] = fields
        return changed
