"""Faults of the soak in which servers crash or say what they want.

A part of a prompt crashes servers, a server says that it leaves, or a server
asks for a pause. Each fault is as described in
:mod:`tools.directfaults`.
"""

import asyncio
import dataclasses
import time

from boragetrail.platform.names import HEADER_NAMES

__all__ = [
    "SERVER_FAULTS",
    "Crash",
    "Pause",
    "ServerBehaviour",
    "part_is_deadly",
    "server_asks_for_pauses",
    "server_says_it_leaves",
]

# Time for which the part crashes servers, and ratio of the requests with it.
DEADLY_S = 9.0
DEADLY_RATIO = 0.15
CRASH_S = 1.0
UNLISTED_AFTER_S = 0.5
PREFILL_S = 0.02
# Ratio of the crashes that come after an event was sent, and how long after.
LATE_RATIO = 0.5
LATE_S = 0.005
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 5.0
PAUSE_RATIO = 0.2


@dataclasses.dataclass(slots=True)
class Crash:
    """Hold a crash of a server that a prompt part caused.

    :param part: id of the part
    :param at_s: monotonic time in seconds
    """

    part: str
    at_s: float


@dataclasses.dataclass(slots=True)
class Pause:
    """Hold a pause that a server asked a router for.

    :param server: id of the server
    :param born_ms: start of the server's run; a later run has no pause
    :param request_id: id of the request that it refused
    :param from_s: monotonic time at which it asked
    :param to_s: monotonic time at which the pause ends
    """

    server: str
    born_ms: int
    request_id: str
    from_s: float
    to_s: float


class ServerBehaviour:
    """Hold what the servers of a soak do besides serving.

    :ivar deadly_part: id of the part that crashes servers, or empty
    :ivar leaving_ids: ids of the servers that say that they leave
    :ivar pausing_ids: ids of the servers that ask for pauses
    :ivar crashes: each :class:`Crash`
    :ivar pauses: each :class:`Pause`
    :ivar down_ids: ids of the servers that have crashed
    """

    def __init__(self, soak):
        self.soak = soak
        self.deadly_part = ""
        self.part_count = 0
        self.leaving_ids = set()
        self.pausing_ids = set()
        self.crashes = []
        self.pauses = []
        self.down_ids = set()
        self.tasks = set()

    def prompt(self, number):
        """Return the parts of the prompt of a request.

        :param number: number of the request
        """
        parts = ["base", "shared"]
        if self.deadly_part and self.soak.random.random() < DEADLY_RATIO:
            parts.append(self.deadly_part)
        parts.append(f"own{number}")
        return ",".join(f"{part}:100" for part in parts)

    def pause(self, server, request):
        """Return the seconds of a pause that a server asks for, or 0."""
        random = self.soak.random
        if server.id not in self.pausing_ids or random.random() > PAUSE_RATIO:
            return 0.0
        pause_s = random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        now = time.monotonic()
        self.pauses.append(
            Pause(server.id, server.born_ms, request.id, now, now + pause_s)
        )
        return pause_s

    async def crashes_server(self, server, request, first_event):
        """Let a server crash if a request has the deadly part.

        :param first_event: bytes that it sends before some of the crashes
        :returns: whether it crashed, or had crashed before
        """
        prompt = request.headers.get(HEADER_NAMES.prompt_parts.lower(), "")
        if not self.deadly_part or self.deadly_part not in prompt:
            return server.id in self.down_ids
        await asyncio.sleep(PREFILL_S)
        if self.soak.random.random() < LATE_RATIO:
            request.writer.write(first_event)
            await asyncio.sleep(LATE_S)
        if server.id not in self.down_ids:
            self.crashes.append(Crash(self.deadly_part, time.monotonic()))
            self.down_ids.add(server.id)
            task = asyncio.ensure_future(self._restart(server))
            self.tasks.add(task)
        return True

    async def _restart(self, server):
        proxy = self.soak.proxies[self.soak.cluster.servers.index(server)]
        proxy.close()
        await asyncio.sleep(UNLISTED_AFTER_S)
        self.soak.cluster.unlist_server(server)
        await asyncio.sleep(CRASH_S - UNLISTED_AFTER_S)
        await proxy.open()
        self.down_ids.discard(server.id)
        self.start_again(server)

    def start_again(self, server):
        """List a server as a new run."""
        server.born_ms += 1
        cold_s = self.soak.cold_left_s(server)
        self.soak.cluster.list_server(server, cold_s)


async def part_is_deadly(soak):
    """Let a new part of a prompt crash servers."""
    servers = soak.servers
    servers.part_count += 1
    servers.deadly_part = f"deadly{servers.part_count}"

    async def undo():
        await asyncio.sleep(DEADLY_S)
        servers.deadly_part = ""
        await asyncio.gather(*servers.tasks)

    return undo


async def server_says_it_leaves(soak):
    """Let a server say that it leaves while the store calls it ready."""
    server = soak.random.choice(soak.cluster.servers)
    soak.servers.leaving_ids.add(server.id)

    async def undo():
        soak.servers.leaving_ids.discard(server.id)
        soak.servers.start_again(server)

    return undo


async def server_asks_for_pauses(soak):
    """Let a server refuse some requests and ask for pauses."""
    server = soak.random.choice(soak.cluster.servers)
    soak.servers.pausing_ids.add(server.id)

    async def undo():
        soak.servers.pausing_ids.discard(server.id)

    return undo


SERVER_FAULTS = [
    part_is_deadly,
    server_says_it_leaves,
    server_asks_for_pauses,
]
