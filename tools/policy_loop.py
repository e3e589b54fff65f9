"""Run the decisions alone over many servers and routers, without sockets."""

import collections
import heapq
import itertools
import random

from boragetrail.errors import Refusal
from boragetrail.policy import (
    BoundedAdmission,
    Candidate,
    AdaptiveWarmup,
    FairQueue,
    AffinityPlacement,
    LoadTable,
    MeanMultipleCap,
    NoCap,
    PlacementRequest,
)
from boragetrail.policy import baselines

__all__ = ["LoopShape", "PolicyLoop", "placements"]

ROUND_S = 0.5
NEWS_S = 0.2
NEWS_FANOUT = 4
LOADS_PER_DIGEST = 12
LOADS_PER_REPLY = 6
MOST_ATTEMPTS = 7


class LoopShape:
    """Sizes of one run; times in seconds.

    :param churn_s: a server leaves this often, for a third of the time;
        0 for none
    """

    def __init__(self, servers, routers, rate, seconds, churn_s, multiple):
        self.servers = servers
        self.routers = routers
        self.rate = rate
        self.seconds = seconds
        self.churn_s = churn_s
        self.multiple = multiple
        self.service_s = 1.0
        self.pause_s = 15.0
        self.long_pause_s = 90.0
        self.long_part = 0.1
        self.turns = 6
        self.slots = 16
        # Contexts that one cache holds, over those that live at a time.
        self.cache_part = 1.5


class Server:
    """One backend server with its agent's decisions and its cache."""

    def __init__(self, name, loop):
        self.name = name
        self.loop = loop
        self.alive = True
        self.cache = collections.OrderedDict()
        self.start()

    def start(self):
        """Begin with an empty cache and a warm server."""
        clock = self.loop.clock
        shape = self.loop.shape
        self.cache.clear()
        self.told_load = None
        self.loads = LoadTable(clock)
        ramp = AdaptiveWarmup(shape.slots, clock)
        ramp.raise_limit(shape.slots)
        self.admission = BoundedAdmission(
            self.name,
            f"{self.name}@{clock()}",
            self.loop.cap(),
            ramp,
            FairQueue(clock),
            self.loads,
            clock,
        )

    def remember(self, chat):
        """Put a chat's context into the cache."""
        self.cache[chat] = True
        self.cache.move_to_end(chat)
        if len(self.cache) > self.loop.cache_limit:
            self.cache.popitem(last=False)


class Chat:
    """One chat with the turns that it still makes."""

    __slots__ = ("name", "turns", "hint", "served")

    def __init__(self, name, turns):
        self.name = name
        self.turns = turns
        self.hint = ""
        self.served = ""


class PolicyLoop:
    """Drive placement and admission with a virtual clock.

    :param shape: :class:`LoopShape`
    :param placement: :class:`~boragetrail.policy.Placement`
    :param seed: seed of the workload
    :param use_hint: whether callers carry the hint
    :param sticky: whether placement is omniscient: a chat goes where it
        was served last while that server takes work
    :param counts_sent: whether routers count what they send
    :param capped: whether agents enforce the cap
    """

    def __init__(
        self,
        shape,
        placement,
        seed=1,
        use_hint=True,
        sticky=False,
        counts_sent=True,
        capped=True,
    ):
        self.shape = shape
        self.placement = placement
        self.use_hint = use_hint
        self.sticky = sticky
        self.counts_sent = counts_sent
        self.capped = capped
        self.now = 0.0
        self.random = random.Random(seed)
        live = shape.rate * (shape.pause_s + shape.service_s)
        per_server = live / shape.servers
        self.cache_limit = max(4, int(shape.cache_part * per_server))
        names = [f"server-{n}" for n in range(shape.servers)]
        self.servers = {name: Server(name, self) for name in names}
        self.tables = [LoadTable(self.clock) for _ in range(shape.routers)]
        self.counter = itertools.count()
        self.events = []
        self.counts = collections.Counter()
        self.skews = []

    def clock(self):
        """Return the virtual time in seconds."""
        return self.now

    def cap(self):
        """Return a new cap for an agent."""
        return MeanMultipleCap(self.shape.multiple) if self.capped else NoCap()

    def run(self):
        """Run to the end; returns the measures as a dictionary."""
        shape = self.shape
        self._at(0.0, self._arrive)
        self._at(0.0, self._round)
        self._at(0.0, self._news)
        if shape.churn_s:
            self._at(shape.churn_s, self._churn)
        while self.events and self.now < shape.seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        returns = max(1, self.counts["returns"])
        requests = max(1, self.counts["requests"])
        skews = sorted(self.skews) or [0.0]
        return {
            "reuse": round(self.counts["reused"] / returns, 4),
            "skew mean": round(sum(skews) / len(skews), 3),
            "skew p99": round(skews[int(0.99 * (len(skews) - 1))], 3),
            "over cap": self.counts["over cap"],
            "attempts": round(self.counts["attempts"] / requests, 3),
            "refused": round(self.counts["refused"] / requests, 5),
            "requests": requests,
        }

    def _at(self, at_s, action, *arguments):
        entry = (at_s, next(self.counter), action, arguments)
        heapq.heappush(self.events, entry)

    def _arrive(self):
        shape = self.shape
        chat = Chat(f"chat-{next(self.counter)}", shape.turns)
        self._turn(chat)
        new_per_s = shape.rate / shape.turns
        self._at(self.now + self.random.expovariate(new_per_s), self._arrive)

    def _turn(self, chat):
        self.counts["requests"] += 1
        if chat.served:
            self.counts["returns"] += 1
        router = self.random.randrange(self.shape.routers)
        server = self._place(chat, self.tables[router])
        chat.turns -= 1
        if server is None:
            self.counts["refused"] += 1
        else:
            self._serve(chat, server)
        if chat.turns > 0:
            self._at(self.now + self._pause_s(), self._turn, chat)

    def _pause_s(self):
        shape = self.shape
        is_long = self.random.random() < shape.long_part
        mean_s = shape.long_pause_s if is_long else shape.pause_s
        return shape.service_s + self.random.expovariate(1 / mean_s)

    def _place(self, chat, table):
        hint = chat.hint if self.use_hint else ""
        tried = set()
        for attempt in range(MOST_ATTEMPTS):
            name = self._next_server(chat, table, hint, tried)
            if name is None:
                return None
            tried.add(name)
            self.counts["attempts"] += 1
            server = self.servers[name]
            admission = server.admission
            server.loads.merge_lists(table.newest_lists(LOADS_PER_REPLY))
            if self.counts_sent:
                table.record_sent(name)
            waiting = admission.offer(chat, "customer", 1.0, 5, 5.0)
            table.merge_lists(server.loads.newest_lists(LOADS_PER_REPLY))
            if not isinstance(waiting, Refusal):
                return server
        return None

    def _next_server(self, chat, table, hint, tried):
        if self.sticky and chat.served not in tried:
            served = self.servers.get(chat.served)
            if served is not None and served.alive:
                return chat.served
        total, shares = table.totals()
        cap = MeanMultipleCap(self.shape.multiple)
        candidates = [
            self._candidate(name, table, cap, total, shares)
            for name, server in self.servers.items()
            if server.alive and name not in tried
        ]
        if not candidates:
            return None
        order = self.placement.order(
            PlacementRequest(chat.name, hint), candidates
        )
        return order[0].candidate.name

    def _candidate(self, name, table, cap, total, shares):
        candidate = Candidate(name)
        entry = table.entries_by_server.get(name)
        if entry is None:
            candidate.load_age_s = float("inf")
            return candidate
        candidate.load = entry.load
        candidate.load_age_s = self.now - entry.at_s
        candidate.limit = cap.limit(total, shares, entry.share)
        return candidate

    def _serve(self, chat, server):
        if chat.served and chat.name in server.cache:
            self.counts["reused"] += 1
        chat.hint = chat.served = server.name
        self._check_cap(server)
        self._start_ready(server)

    def _start_ready(self, server):
        while True:
            chat = server.admission.start_next()
            if chat is None:
                return
            took_s = self.random.uniform(0.5, 1.5) * self.shape.service_s
            self._at(self.now + took_s, self._end, chat, server, took_s)

    def _end(self, chat, server, took_s):
        server.admission.record_end("customer", took_s)
        server.remember(chat.name)
        self._start_ready(server)

    def _check_cap(self, server):
        alive = [each for each in self.servers.values() if each.alive]
        total = sum(each.admission.load for each in alive)
        cap = MeanMultipleCap(self.shape.multiple)
        limit = cap.limit(total - 1, len(alive), 1.0)
        if server.admission.load > limit:
            self.counts["over cap"] += 1

    def _round(self):
        alive = [each for each in self.servers.values() if each.alive]
        for server in alive:
            server.admission.refresh()
            partner = self.random.choice(alive)
            self._exchange(server.loads, partner.loads)
        for table in self.tables:
            partner = self.random.choice(alive)
            table.merge_lists(partner.loads.newest_lists(LOADS_PER_DIGEST))
        loads = [each.admission.load for each in alive]
        mean = sum(loads) / len(loads)
        if mean >= 1 and self.now > 0.2 * self.shape.seconds:
            self.skews.append(max(loads) / mean)
        self._at(self.now + ROUND_S, self._round)

    def _news(self):
        alive = [each for each in self.servers.values() if each.alive]
        for server in alive:
            load = server.admission.load
            if load == server.told_load:
                continue
            server.told_load = load
            entry = server.loads.entries_by_server[server.name]
            news = [entry.to_list(self.now)]
            count = min(NEWS_FANOUT, len(alive))
            for peer in self.random.sample(alive, count):
                peer.loads.merge_lists(news)
        self._at(self.now + NEWS_S, self._news)

    def _exchange(self, one, two):
        there = one.newest_lists(LOADS_PER_DIGEST)
        one.merge_lists(two.newest_lists(LOADS_PER_DIGEST))
        two.merge_lists(there)

    def _churn(self):
        alive = [each for each in self.servers.values() if each.alive]
        server = self.random.choice(alive)
        server.alive = False
        back_s = self.now + self.shape.churn_s / 3
        self._at(back_s, self._come_back, server)
        self._at(self.now + self.shape.churn_s, self._churn)

    def _come_back(self, server):
        server.start()
        server.alive = True


def placements(seed):
    """Return the runs to compare: name to options of the loop."""
    generator = random.Random(seed)
    home = AffinityPlacement()
    return {
        "random": {
            "placement": baselines.RandomPlacement(generator),
            "use_hint": False,
        },
        "round robin": {
            "placement": baselines.RoundRobinPlacement(),
            "use_hint": False,
        },
        "least load": {
            "placement": baselines.LeastLoadedPlacement(generator),
            "use_hint": False,
        },
        "consistent hash": {
            "placement": baselines.ConsistentHashPlacement(),
            "use_hint": False,
            "capped": False,
        },
        "bounded hash": {
            "placement": baselines.BoundedHashPlacement(),
            "use_hint": False,
        },
        "earlier default": {"placement": home, "counts_sent": False},
        "default": {"placement": home},
        "omniscient sticky": {"placement": home, "sticky": True},
    }
