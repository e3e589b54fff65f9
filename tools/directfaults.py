"""Faults of the soak without agents; each returns its undo or ``None``."""

import asyncio
import dataclasses
import signal
import time

from tools.sums import Span

__all__ = ["ABORTING_FAULTS", "CLOSING_FAULTS", "FAULTS", "PlannedStop"]

BALANCER_DELAY_S = 3.0
PAUSE_S = 1.2
# Faults beside which an answer may end early during a planned stop.
ABORTING_FAULTS = frozenset(
    (
        "kill_router",
        "pause_router",
        "servers_cut",
        "servers_end_streams_midway",
        "server_is_gone",
        "links_cut",
        "links_go_silent",
        "links_cut_one_way",
    )
)
# Faults in which what the operators wrote cannot be read.
UNREADABLE_STORE_FAULTS = frozenset(("store_refuses", "store_is_silent"))
# Time within which a change is in force everywhere.
CONFIGURATION_DELAY_S = 4.0
KEY_WITHDRAWAL_S = 1.5
COLD_S = 4.0
# Faults that end connections without a promise to those that cross the end.
CLOSING_FAULTS = frozenset(("stop_router",))


@dataclasses.dataclass(slots=True)
class PlannedStop:
    """A graceful stop of a router.

    :param faults: names of the faults that overlap it
    :param ended_s: time at which its process ended, or infinity
    """

    router: int
    faults: list
    began_s: float
    ended_s: float = float("inf")


def _pick_router(soak):
    """Return a router that serves, or ``None``; one always stays."""
    numbers = sorted(soak.open_to_callers)
    return soak.random.choice(numbers) if len(numbers) > 1 else None


async def kill_router(soak):
    """Kill a router at once; callers go elsewhere."""
    number = _pick_router(soak)
    if number is None:
        return None
    soak.open_to_callers.discard(number)
    _, process = soak.routers[number]
    process.kill()
    await process.wait()

    async def undo():
        await soak.start_router(number)

    return undo


async def stop_router(soak):
    """Stop a router gracefully; callers come for a while still."""
    number = _pick_router(soak)
    if number is None:
        return None
    _, process = soak.routers[number]
    stop = PlannedStop(number, soak.fault_names[-1], time.monotonic())
    soak.planned_stops.append(stop)
    process.send_signal(signal.SIGTERM)

    async def undo():
        await asyncio.sleep(max(0.0, BALANCER_DELAY_S - 2.0))
        soak.open_to_callers.discard(number)
        await process.wait()
        stop.ended_s = time.monotonic()
        await soak.start_router(number)

    return undo


async def pause_router(soak):
    """Pause a router and let it go on."""
    number = _pick_router(soak)
    if number is None:
        return None
    _, process = soak.routers[number]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    process.send_signal(signal.SIGCONT)
    return None


async def reload_router(soak):
    """Tell a router to read its settings again."""
    number = _pick_router(soak)
    if number is not None:
        soak.routers[number][1].send_signal(signal.SIGHUP)


async def store_refuses(soak):
    """Let the store refuse all calls."""
    soak.cluster.store.status = 503

    async def undo():
        soak.cluster.store.status = 0

    return undo


async def store_is_silent(soak):
    """Let the store answer nothing."""
    soak.cluster.store.silent = True

    async def undo():
        soak.cluster.store.silent = False

    return undo


async def store_forgets(soak):
    """Let the store forget its history."""
    soak.cluster.store.drop_history()


async def configuration_changes(soak):
    """Write versions of the configuration in quick succession."""
    for _ in range(3):
        soak.write_configuration()
        await asyncio.sleep(0.05)


async def key_is_withdrawn(soak):
    """Withdraw a customer's key and give it back later."""
    soak.withdraw_key(True)
    from_s = time.monotonic() + CONFIGURATION_DELAY_S
    is_readable = not UNREADABLE_STORE_FAULTS.intersection(
        soak.fault_names[-1]
    )

    async def undo():
        await asyncio.sleep(from_s + KEY_WITHDRAWAL_S - time.monotonic())
        if is_readable:
            span = Span(soak.SECOND_KEY, from_s, time.monotonic())
            soak.withdrawn_spans.append(span)
        soak.withdraw_key(False)

    return undo


async def servers_return_cold(soak):
    """Remove all servers' entries and list them again as cold servers."""
    servers = soak.cluster.servers
    for server in servers:
        soak.cluster.unlist_server(server)
    is_readable = not UNREADABLE_STORE_FAULTS.intersection(
        soak.fault_names[-1]
    )

    async def undo():
        now = time.monotonic()
        for server in servers:
            soak.cluster.list_server(server, COLD_S)
            if is_readable:
                span = Span(server.id, now, now + COLD_S)
                soak.cold_spans.append(span)

    return undo


async def server_is_gone(soak):
    """Remove a server's entry and list it again later."""
    server = soak.random.choice(soak.cluster.servers)
    soak.cluster.unlist_server(server)

    async def undo():
        soak.cluster.list_server(server, soak.cold_left_s(server))

    return undo


async def zone_is_out(soak):
    """Take a zone without servers out and back."""
    soak.cluster.take_zone_out("z9")

    async def undo():
        soak.cluster.put_zone_back("z9")

    return undo


async def links_cut(soak):
    """Reset all connections to some servers."""
    for proxy in soak.random.sample(soak.proxies, 2):
        proxy.abort_connections()


async def links_go_silent(soak):
    """Let open connections to a server drop all that is sent."""
    soak.random.choice(soak.proxies).drop_traffic()


async def links_cut_one_way(soak):
    """Let open connections to a server drop its answers."""
    soak.random.choice(soak.proxies).drop_responses()


async def links_are_slow(soak):
    """Delay all data to and from a server."""
    proxy = soak.random.choice(soak.proxies)
    proxy.delay_s = 0.15

    async def undo():
        proxy.delay_s = 0.0

    return undo


async def server_takes_no_connections(soak):
    """Reset new connections to a server."""
    proxy = soak.random.choice(soak.proxies)
    proxy.refuse = True

    async def undo():
        proxy.refuse = False

    return undo


def _server_fault(name, kind):
    async def fault(soak):
        soak.server_fault = kind

        async def undo():
            soak.server_fault = ""

        return undo

    fault.__name__ = name
    return fault


FAULTS = [
    kill_router,
    stop_router,
    stop_router,
    pause_router,
    reload_router,
    store_refuses,
    store_is_silent,
    store_forgets,
    configuration_changes,
    key_is_withdrawn,
    servers_return_cold,
    server_is_gone,
    zone_is_out,
    links_cut,
    links_go_silent,
    links_cut_one_way,
    links_are_slow,
    server_takes_no_connections,
    _server_fault("servers_refuse", "refuse"),
    _server_fault("servers_fail", "fail"),
    _server_fault("servers_cut", "cut"),
    _server_fault("servers_are_slow", "slow"),
    _server_fault("servers_answer_another_request", "other"),
    _server_fault("servers_end_streams_midway", "midway"),
]
