"""Simulation of placement and admission with many servers and routers."""

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

__all__ = ["LoopSizes", "PolicyLoop", "placements"]

GOSSIP_INTERVAL_S = 0.5
LOAD_UPDATE_INTERVAL_S = 0.2
LOAD_UPDATE_FANOUT = 4
LOADS_PER_DIGEST = 12
LOADS_PER_RESPONSE = 6
MAX_ATTEMPTS = 7


class LoopSizes:
    """Hold the sizes of one run; times in seconds.

    :param rate: requests per second
    :param churn_s: interval at which a server leaves, for a third of it;
        0 for none
    :param multiple: limit of a server's load as a multiple of the mean
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
        self.long_pause_ratio = 0.1
        self.turns = 6
        self.slots = 16
        # Contexts that a cache holds, relative to the live chats per server.
        self.cache_ratio = 1.5


class Server:
    """Hold the admission, the known loads and the cache of a server."""

    def __init__(self, name, loop):
        self.name = name
        self.loop = loop
        self.alive = True
        self.cache = collections.OrderedDict()
        self.start()

    def start(self):
        """Start warm with an empty cache."""
        clock = self.loop.clock
        sizes = self.loop.sizes
        self.cache.clear()
        self.announced_load = None
        self.loads = LoadTable(clock)
        warmup = AdaptiveWarmup(sizes.slots, clock)
        warmup.raise_limit(sizes.slots)
        self.admission = BoundedAdmission(
            self.name,
            f"{self.name}@{clock()}",
            self.loop.cap(),
            warmup,
            FairQueue(clock),
            self.loads,
            clock,
        )

    def cache_context(self, chat):
        """Cache a chat's context; evict the least recently used one."""
        self.cache[chat] = True
        self.cache.move_to_end(chat)
        if len(self.cache) > self.loop.cache_limit:
            self.cache.popitem(last=False)


class Chat:
    """Hold a chat with the number of its remaining turns."""

    __slots__ = ("name", "turns", "hint", "served")

    def __init__(self, name, turns):
        self.name = name
        self.turns = turns
        self.hint = ""
        self.served = ""


class PolicyLoop:
    """Hold the state of a run of placement and admission in virtual time.

    :param sizes: :class:`LoopSizes`
    :param placement: :class:`~boragetrail.policy.Placement`
    :param seed: seed of the workload
    :param use_hint: whether callers send the placement hint
    :param sticky: whether a chat is placed at the server that served it
        last while that server is alive; an ideal for comparison, since a
        real router does not have this information
    :param counts_sent: whether routers add the requests that they send to
        the known loads
    :param capped: whether agents enforce the load cap
    """

    def __init__(
        self,
        sizes,
        placement,
        seed=1,
        use_hint=True,
        sticky=False,
        counts_sent=True,
        capped=True,
    ):
        self.sizes = sizes
        self.placement = placement
        self.use_hint = use_hint
        self.sticky = sticky
        self.counts_sent = counts_sent
        self.capped = capped
        self.now_s = 0.0
        self.random = random.Random(seed)
        live_chats = sizes.rate * (sizes.pause_s + sizes.service_s)
        per_server = live_chats / sizes.servers
        self.cache_limit = max(4, int(sizes.cache_ratio * per_server))
        names = [f"server-{n}" for n in range(sizes.servers)]
        self.servers = {name: Server(name, self) for name in names}
        self.tables = [LoadTable(self.clock) for _ in range(sizes.routers)]
        self.sequence_numbers = itertools.count()
        self.events = []
        self.counts = collections.Counter()
        self.skews = []

    def clock(self):
        """Return the virtual time in seconds."""
        return self.now_s

    def cap(self):
        """Return a new load cap for an agent."""
        return MeanMultipleCap(self.sizes.multiple) if self.capped else NoCap()

    def run(self):
        """Run to the end; return the measures as a dictionary."""
        sizes = self.sizes
        self._schedule(0.0, self._start_chat)
        self._schedule(0.0, self._gossip_round)
        self._schedule(0.0, self._send_load_updates)
        if sizes.churn_s:
            self._schedule(sizes.churn_s, self._remove_server)
        while self.events and self.now_s < sizes.seconds:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
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

    def _schedule(self, at_s, action, *arguments):
        entry = (at_s, next(self.sequence_numbers), action, arguments)
        heapq.heappush(self.events, entry)

    def _start_chat(self):
        sizes = self.sizes
        chat = Chat(f"chat-{next(self.sequence_numbers)}", sizes.turns)
        self._start_turn(chat)
        new_per_s = sizes.rate / sizes.turns
        self._schedule(
            self.now_s + self.random.expovariate(new_per_s), self._start_chat
        )

    def _start_turn(self, chat):
        self.counts["requests"] += 1
        if chat.served:
            self.counts["returns"] += 1
        router = self.random.randrange(self.sizes.routers)
        server = self._find_server(chat, self.tables[router])
        chat.turns -= 1
        if server is None:
            self.counts["refused"] += 1
        else:
            self._serve(chat, server)
        if chat.turns > 0:
            self._schedule(
                self.now_s + self._pause_s(), self._start_turn, chat
            )

    def _pause_s(self):
        sizes = self.sizes
        is_long = self.random.random() < sizes.long_pause_ratio
        mean_s = sizes.long_pause_s if is_long else sizes.pause_s
        return sizes.service_s + self.random.expovariate(1 / mean_s)

    def _find_server(self, chat, table):
        hint = chat.hint if self.use_hint else ""
        tried = set()
        for attempt in range(MAX_ATTEMPTS):
            name = self._next_server(chat, table, hint, tried)
            if name is None:
                return None
            tried.add(name)
            self.counts["attempts"] += 1
            server = self.servers[name]
            admission = server.admission
            server.loads.merge_lists(table.newest_lists(LOADS_PER_RESPONSE))
            if self.counts_sent:
                table.record_sent(name)
            result = admission.offer(chat, "customer", 1.0, 5, 5.0)
            table.merge_lists(server.loads.newest_lists(LOADS_PER_RESPONSE))
            if not isinstance(result, Refusal):
                return server
        return None

    def _next_server(self, chat, table, hint, tried):
        if self.sticky and chat.served not in tried:
            served = self.servers.get(chat.served)
            if served is not None and served.alive:
                return chat.served
        total, shares = table.totals()
        cap = MeanMultipleCap(self.sizes.multiple)
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
        candidate.load_age_s = self.now_s - entry.at_s
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
            took_s = self.random.uniform(0.5, 1.5) * self.sizes.service_s
            self._schedule(
                self.now_s + took_s, self._end_turn, chat, server, took_s
            )

    def _end_turn(self, chat, server, took_s):
        server.admission.record_end("customer", took_s)
        server.cache_context(chat.name)
        self._start_ready(server)

    def _check_cap(self, server):
        alive = [each for each in self.servers.values() if each.alive]
        total = sum(each.admission.load for each in alive)
        cap = MeanMultipleCap(self.sizes.multiple)
        limit = cap.limit(total - 1, len(alive), 1.0)
        if server.admission.load > limit:
            self.counts["over cap"] += 1

    def _gossip_round(self):
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
        if mean >= 1 and self.now_s > 0.2 * self.sizes.seconds:
            self.skews.append(max(loads) / mean)
        self._schedule(self.now_s + GOSSIP_INTERVAL_S, self._gossip_round)

    def _send_load_updates(self):
        alive = [each for each in self.servers.values() if each.alive]
        for server in alive:
            load = server.admission.load
            if load == server.announced_load:
                continue
            server.announced_load = load
            entry = server.loads.entries_by_server[server.name]
            updates = [entry.to_list(self.now_s)]
            count = min(LOAD_UPDATE_FANOUT, len(alive))
            for peer in self.random.sample(alive, count):
                peer.loads.merge_lists(updates)
        self._schedule(
            self.now_s + LOAD_UPDATE_INTERVAL_S, self._send_load_updates
        )

    def _exchange(self, first, second):
        first_loads = first.newest_lists(LOADS_PER_DIGEST)
        first.merge_lists(second.newest_lists(LOADS_PER_DIGEST))
        second.merge_lists(first_loads)

    def _remove_server(self):
        alive = [each for each in self.servers.values() if each.alive]
        server = self.random.choice(alive)
        server.alive = False
        return_s = self.now_s + self.sizes.churn_s / 3
        self._schedule(return_s, self._return_server, server)
        self._schedule(self.now_s + self.sizes.churn_s, self._remove_server)

    def _return_server(self, server):
        server.start()
        server.alive = True


def placements(seed):
    """Return the options of each run to compare, by name of the run."""
    generator = random.Random(seed)
    affinity = AffinityPlacement()
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
        "earlier default": {"placement": affinity, "counts_sent": False},
        "default": {"placement": affinity},
        "omniscient sticky": {"placement": affinity, "sticky": True},
    }
