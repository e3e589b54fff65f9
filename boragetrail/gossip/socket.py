"""Datagram socket of a process and the timing of its gossip rounds."""

import asyncio

from boragetrail.errors import Failure
from boragetrail.events import Event, log_event
from boragetrail.wire.datagrams import (
    SnapshotOffer,
    Digest,
    LoadUpdate,
    NewChanges,
    decode_datagram,
    encode_datagram,
)

__all__ = ["GossipSocket"]

ROUND_INTERVAL_S = 0.5
LOAD_UPDATE_INTERVAL_S = 0.2


class GossipSocket(asyncio.DatagramProtocol):
    """Datagram socket that sends and receives gossip of one process.

    :param gossip_protocol:
        :class:`~boragetrail.gossip.protocol.GossipProtocol`
    :param on_changes: called with the list of changes that were applied
    :param on_snapshot_offer: called with the version of a peer's document
        and the address at which it can be fetched
    :param on_digest: called with each digest that was received
    :ivar sent_bytes: bytes of all datagrams sent so far
    :ivar received_bytes: bytes of all datagrams received so far
    """

    def __init__(
        self, gossip_protocol, on_changes, on_snapshot_offer, on_digest
    ):
        self.gossip_protocol = gossip_protocol
        self.on_changes = on_changes
        self.on_snapshot_offer = on_snapshot_offer
        self.on_digest = on_digest
        self.transport = None
        self.sent_bytes = 0
        self.received_bytes = 0

    async def open(self, host, port):
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def connection_made(self, transport):
        """Keep the transport; called by asyncio."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Handle one datagram; called by asyncio."""
        self.received_bytes += len(data)
        message = decode_datagram(data)
        if isinstance(message, Failure):
            return
        if isinstance(message, Digest):
            self.on_digest(message)
            self.send(self.gossip_protocol.digest_received(message))
        elif isinstance(message, NewChanges):
            applied, messages = self.gossip_protocol.changes_received(message)
            self.send(messages)
            if applied:
                self.on_changes(applied)
        elif isinstance(message, LoadUpdate):
            self.gossip_protocol.merge_load_update(message)
        elif isinstance(message, SnapshotOffer):
            self.on_snapshot_offer(message.version, message.admin)

    def error_received(self, exc):
        """Ignore an error of sending; called by asyncio.

        It occurs if a peer's port is closed. Membership detects such peers.
        """

    def send(self, messages):
        """Send datagrams to peers.

        :param messages: list of (peer, datagram)
        """
        for peer, message in messages:
            data = encode_datagram(message)
            self.sent_bytes += len(data)
            self.transport.sendto(data, peer.address)

    async def run(self):
        """Start gossip rounds forever, at intervals with jitter."""
        while True:
            jitter = self.gossip_protocol.random.uniform(0.8, 1.2)
            await asyncio.sleep(ROUND_INTERVAL_S * jitter)
            try:
                self.send(self.gossip_protocol.start_round())
            except OSError as exc:
                log_event(Event.TASK_FAILED, task="gossip", error=repr(exc))

    async def run_load_updates(self):
        """Send load updates forever, more often than gossip rounds."""
        while True:
            await asyncio.sleep(LOAD_UPDATE_INTERVAL_S)
            self.send(self.gossip_protocol.load_updates())

    def close(self):
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
