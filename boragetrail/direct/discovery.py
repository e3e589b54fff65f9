"""Discovery of the prompt parts that servers cache, after a router starts.

A router that starts queries other routers first. If all routers have
restarted, one router queries each server, and the results spread in several
rounds [1]_. In each round, each router queries a few others.

.. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database
   Maintenance", PODC 1987.
"""

import asyncio

import aiohttp
import cbor2

from boragetrail.direct.buffers import MAX_PEER_BODY_BYTES
from boragetrail.events import Event, log_event
from boragetrail.utils.responses import read_body

__all__ = ["PARTS_PATH", "CacheDiscovery", "decode_parts", "encode_parts"]

CALL_TIMEOUT_S = 0.6
PARTS_PATH = "/parts"


def encode_parts(prefix_index):
    """Encode an index of cached prompt parts as bytes.

    :param prefix_index:
        :class:`~boragetrail.policy.prefix.PrefixCacheIndex`
    """
    return cbor2.dumps(prefix_index.items())


def decode_parts(data):
    """Decode a list of (part, server ids).

    :param data: bytes from another router
    :returns: list, empty if the bytes are invalid
    """
    try:
        decoded = cbor2.loads(data)
        return [(_text(part), [*map(_text, ids)]) for part, ids in decoded]
    except Exception as exc:
        # cbor2's decoders of tagged values raise exceptions of many types.
        log_event(Event.ROW_INVALID, key=PARTS_PATH, error=repr(exc))
        return []


def _text(value):
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string id")
    return value


class CacheDiscovery:
    """Fills the index of cached prompt parts after this router starts.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param engines: :class:`~boragetrail.direct.interfaces.EngineClient`
    :param session: ``aiohttp.ClientSession``
    """

    # Time to wait for other routers to reply to this router's first digest.
    DIGEST_REPLY_S = 0.03
    # Delays before the rounds after the first. In the later rounds, routers
    # that started together query each other's results.
    RETRY_DELAYS_S = (0.08, 0.2, 0.7, 2.0, 2.0)
    # Routers that are queried in each round.
    PEERS_PER_ROUND = 2
    # Uptime after which a router is assumed to have a complete index.
    SETTLED_UPTIME_S = 8.0

    def __init__(self, fleet, peers, engines, session):
        self.fleet = fleet
        self.peers = peers
        self.engines = engines
        self.session = session

    async def run(self, first_start):
        """Run the discovery once.

        :param first_start: whether the whole system starts for the first
            time; no server has cached prompt parts then
        """
        await asyncio.sleep(self.DIGEST_REPLY_S)
        if await self._query_routers():
            return
        if not first_start and not self.peers.has_older_peer(
            self.DIGEST_REPLY_S
        ):
            await self._query_servers()
        for pause_s in self.RETRY_DELAYS_S:
            await asyncio.sleep(pause_s)
            if await self._query_routers():
                return

    async def _query_routers(self):
        """Query some routers.

        :returns: whether a router responded that has been up for
            ``SETTLED_UPTIME_S``
        """
        peers = self.peers.sample_fast(self.PEERS_PER_ROUND)
        responded = await asyncio.gather(
            *(self._query_router(peer) for peer in peers)
        )
        return any(
            has_responded and peer.uptime_s >= self.SETTLED_UPTIME_S
            for has_responded, peer in zip(responded, peers)
        )

    async def _query_router(self, peer):
        """Add the placements that a router knows to the index.

        :returns: whether it responded
        """
        url = f"http://{peer.address[0]}:{peer.relay_port}{PARTS_PATH}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                data = await read_body(response, MAX_PEER_BODY_BYTES)
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            log_event(
                Event.CACHE_CONTENT_UNAVAILABLE, source=url, error=repr(exc)
            )
            return False
        for part, server_ids in decode_parts(data):
            for server_id in server_ids:
                self.fleet.prefix_index.add_holder(part, server_id)
        return True

    async def _query_servers(self):
        configuration = self.fleet.directory.configuration
        if configuration is None:
            return
        records = [
            listed.record
            for service in configuration.services_by_name.values()
            if service.is_model
            for listed in self.fleet.directory.servers_of(service.name)
            if self.peers.is_first(listed.record.id)
        ]
        await asyncio.gather(*(self._query_server(each) for each in records))

    async def _query_server(self, record):
        content = await self.engines.cache_content(record.address)
        if content.leaving:
            self.fleet.knowledge.leaving.add(record)
        for part in content.parts:
            self.fleet.prefix_index.add_holder(part, record.id)
        log_event(
            Event.CACHE_CONTENT_READ,
            server=record.id,
            parts=len(content.parts),
        )
