"""UDP socket for the gossip datagrams of a router.

The router sends digests to a few random peers at regular intervals, and
updates to many peers soon after a change.
"""

import asyncio

from boragetrail.direct.recordmessages import RecordMessage
from boragetrail.direct.datagrams import (
    InvalidDatagram,
    Update,
    decode_datagram,
    encode_datagram,
)
from boragetrail.events import Event, log_event

__all__ = ["PeerSocket"]


class PeerSocket(asyncio.DatagramProtocol):
    """Holds the UDP socket for gossip with other routers.

    :param table: :class:`~boragetrail.direct.peers.PeerTable`
    :param make_digest: function that returns this router's
        :class:`~boragetrail.direct.datagrams.Digest` without its list of
        peers
    :param take_update: function that returns an
        :class:`~boragetrail.direct.datagrams.Update` or ``None``
    :param on_message: function that is called with each update, and with
        each digest that is newer than the last datagram of its sender
    :param record_gossip:
        :class:`~boragetrail.direct.recordgossip.RecordGossip`
    :ivar datagrams_refused: number of datagrams that could not be decoded
    """

    DIGEST_INTERVAL_S = 0.3
    DIGEST_FANOUT = 4
    UPDATE_INTERVAL_S = 0.1
    PEERS_PER_DIGEST = 6
    SNAPSHOT_FANOUT = 1
    # Records about servers in each regular snapshot.
    SAMPLE_SIZE = 24

    def __init__(
        self, table, make_digest, take_update, on_message, record_gossip
    ):
        self.table = table
        self.make_digest = make_digest
        self.take_update = take_update
        self.on_message = on_message
        self.record_gossip = record_gossip
        record_gossip.send = self._send_to_all
        record_gossip.send_to = self._send_to
        self.transport = None
        self.sequence = 0
        self.sent_bytes = 0
        self.datagrams_refused = 0

    async def open(self, host, port):
        """Bind the socket to a host and a port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def connection_made(self, transport):
        """Keep the transport; called by asyncio."""
        self.transport = transport

    def error_received(self, exc):
        """Ignore an error of a sent datagram; called by asyncio.

        Unreachable peers are detected by a timeout.
        """

    def datagram_received(self, data, addr):
        """Handle one datagram; called by asyncio."""
        message = decode_datagram(data)
        if isinstance(message, InvalidDatagram):
            self.datagrams_refused += 1
            log_event(
                Event.DATAGRAM_INVALID, peer=addr[0], detail=message.detail
            )
        elif isinstance(message, Update):
            self._update_received(message, addr[0])
        elif isinstance(message, RecordMessage):
            self.record_gossip.apply(message, addr[:2])
        else:
            self._digest_received(message, addr[0])

    def _update_received(self, update, host):
        if not self.table.apply_update(update, host):
            self._router_reported((host, update.gossip_port))
        for shard in update.relayed:
            if not self.table.apply_relayed(shard):
                self._router_reported((shard.host, shard.port))
        self.on_message(update)

    def _digest_received(self, digest, host):
        peer, is_new = self.table.apply_digest(digest, host)
        if peer is None:
            return
        for host, port in digest.peers:
            self._router_reported((host, port))
        if is_new:
            log_event(
                Event.PEER_DISCOVERED,
                peer=f"{peer.address[0]}:{peer.address[1]}",
                incarnation=peer.incarnation,
            )
        if digest.wants_reply:
            self._send_digest(peer.address, False)
            self._send_snapshot([peer])
        self.on_message(digest)

    def request_digest(self, address):
        """Send a digest that asks its receiver for a digest in reply.

        :param address: its (host, port)
        """
        self._send_digest(address, True)

    async def run(self):
        """Send digests to random peers at intervals until cancelled."""
        while True:
            jitter = self.table.random.uniform(0.8, 1.2)
            await asyncio.sleep(self.DIGEST_INTERVAL_S * jitter)
            self.send_digests()

    def send_digests(self):
        """Send digests and a snapshot to random peers, and probe contacts."""
        for address in self.table.contacts.take_due():
            self.request_digest(address)
        for peer in self.table.sample(self.DIGEST_FANOUT):
            self._send_digest(peer.address, False)
        self._send_snapshot(
            self.table.sample(self.SNAPSHOT_FANOUT), self.SAMPLE_SIZE
        )
        self.table.advance()

    async def run_updates(self):
        """Send an update soon after each change until cancelled."""
        while True:
            await asyncio.sleep(self.UPDATE_INTERVAL_S)
            for message in self.record_gossip.take_messages():
                self._send_to_many(message)
            update = self.take_update()
            if update is not None:
                self.sequence += 1
                update.sequence = self.sequence
                self._send_to_many(update)

    def close(self):
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def _send_to_many(self, message):
        data = encode_datagram(message)
        for peer in self.table.sample(self.table.update_fanout()):
            self._send_data(data, peer.address)

    def _send_to(self, message, addresses):
        data = encode_datagram(message)
        for address in addresses:
            self._send_data(data, address)

    def _send_to_all(self, message):
        data = encode_datagram(message)
        for address in self.table.peers_by_address:
            self._send_data(data, address)

    def _send_snapshot(self, peers, count=None):
        for message in self.record_gossip.snapshot(count):
            data = encode_datagram(message)
            for peer in peers:
                self._send_data(data, peer.address)

    def _router_reported(self, address):
        if self.table.add_reported(address):
            self.request_digest(address)

    def _send_digest(self, address, wants_reply):
        digest = self.make_digest()
        self.sequence += 1
        digest.sequence = self.sequence
        digest.wants_reply = wants_reply
        digest.peers = [
            list(peer.address)
            for peer in self.table.sample_heard(self.PEERS_PER_DIGEST)
        ]
        self._send_data(encode_datagram(digest), address)

    def _send_data(self, data, address):
        self.sent_bytes += len(data)
        try:
            self.transport.sendto(data, address)
        except OSError as exc:
            log_event(Event.DATAGRAM_FAILED, error=repr(exc))
