"""Learn after a start which servers keep which parts of prompts.

Other routers know it; if all have restarted, the servers themselves are
asked, each by one router, and what they tell spreads: each router asks a few
others in each of several rounds [1]_.

.. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database
   Maintenance", PODC 1987.
"""

import asyncio

import aiohttp
import cbor2

from boragetrail.events import Event, log_event

__all__ = ["PARTS_PATH", "CacheDiscovery", "decode_parts", "encode_parts"]

CALL_TIMEOUT_S = 0.6
PARTS_PATH = "/parts"


def encode_parts(parts):
    """Return what a :class:`~boragetrail.policy.prefix.PartMap` knows."""
    return cbor2.dumps(parts.items())


def decode_parts(data):
    """Return a list of (part, server ids), empty if it can't be read."""
    try:
        decoded = cbor2.loads(data)
        return [(_text(part), [*map(_text, ids)]) for part, ids in decoded]
    except Exception as exc:
        # Readers of tagged values raise errors of many kinds.
        log_event(Event.ROW_INVALID, key=PARTS_PATH, error=repr(exc))
        return []


def _text(value):
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no id")
    return value


class CacheDiscovery:
    """Fill the map of parts after a start.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param engines: :class:`~boragetrail.direct.interfaces.EngineCalls`
    :param session: ``aiohttp.ClientSession``
    """

    # Time in which other routers answer their greeting.
    DIGEST_REPLY_S = 0.03
    # Pauses after which routers that started together ask each other.
    RETRY_DELAYS_S = (0.08, 0.2, 0.7, 2.0, 2.0)
    # Routers asked in a round.
    PEERS_PER_ROUND = 2
    # A router that is up for so long knows what there is to know.
    SETTLED_UPTIME_S = 8.0

    def __init__(self, fleet, peers, engines, session):
        self.fleet = fleet
        self.peers = peers
        self.engines = engines
        self.session = session

    async def run(self, first_start):
        """Learn once.

        :param first_start: whether the whole system starts for the first
            time, so that no server keeps anything
        """
        await asyncio.sleep(self.DIGEST_REPLY_S)
        if await self._ask_routers():
            return
        if not first_start and not self.peers.has_older_peer(
            self.DIGEST_REPLY_S
        ):
            await self._ask_servers()
        for pause_s in self.RETRY_DELAYS_S:
            await asyncio.sleep(pause_s)
            if await self._ask_routers():
                return

    async def _ask_routers(self):
        """Ask some routers; returns whether one of them is settled."""
        peers = self.peers.sample_fast(self.PEERS_PER_ROUND)
        answers = await asyncio.gather(
            *(self._ask_router(peer) for peer in peers)
        )
        return any(
            answered and peer.up_s >= self.SETTLED_UPTIME_S
            for answered, peer in zip(answers, peers)
        )

    async def _ask_router(self, peer):
        """Take over what a router knows; returns whether it answered."""
        url = f"http://{peer.address[0]}:{peer.relay_port}{PARTS_PATH}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as answer:
                data = await answer.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            log_event(
                Event.CACHE_CONTENT_UNAVAILABLE, source=url, error=repr(exc)
            )
            return False
        for part, server_ids in decode_parts(data):
            for server_id in server_ids:
                self.fleet.prefix_index.add_holder(part, server_id)
        return True

    async def _ask_servers(self):
        configuration = self.fleet.directory.configuration
        if configuration is None:
            return
        records = [
            known.record
            for service in configuration.services_by_name.values()
            if service.is_model
            for known in self.fleet.directory.servers_of(service.name)
            if self.peers.is_first(known.record.id)
        ]
        await asyncio.gather(*(self._ask_server(each) for each in records))

    async def _ask_server(self, record):
        parts = await self.engines.cached_parts(record.address)
        for part in parts:
            self.fleet.prefix_index.add_holder(part, record.id)
        log_event(Event.CACHE_CONTENT_READ, server=record.id, parts=len(parts))
