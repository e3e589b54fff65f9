"""Proxy between two groups of routers, which may cut them from each other.

All routers of a deployment use one port for gossip and rows. Here the routers
of the two groups listen on two different ports, and the proxy listens on the
other group's port at the address of each router. It forwards datagrams and
channels, with the port changed where a datagram names it. So each group sees
the other at its own port, as in a deployment, and all that passes between the
groups passes the proxy. While they are cut, it drops everything.
"""

import asyncio

from boragetrail.direct.datagrams import (
    Digest,
    Update,
    decode_datagram,
    encode_datagram,
)

READ_BYTES = 64 * 1024


class Face(asyncio.DatagramProtocol):
    """One router, as the routers of the other group see it.

    :param proxy: :class:`Proxy`
    :param host: host of the router
    :param own_port: port on which it listens
    :param seen_port: port at which the other group sees it
    """

    def __init__(self, proxy, host, own_port, seen_port):
        self.proxy = proxy
        self.host = host
        self.own_port = own_port
        self.seen_port = seen_port
        self.transport = None
        self.server = None

    async def open(self):
        """Listen for datagrams and channels of the other group."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.seen_port)
        )
        self.server = await asyncio.start_server(
            self._serve, self.host, self.seen_port
        )

    def close(self):
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Forward a datagram of a router of the other group to this one.

        It leaves from the face of its sender, as if that had sent it.
        """
        sender = self.proxy.faces_by_host.get(addr[0])
        if sender is None or self.proxy.is_cut:
            self.proxy.dropped += 1
            return
        self.proxy.forwarded += 1
        data = _with_port(data, self.seen_port, self.own_port)
        sender.transport.sendto(data, (self.host, self.own_port))

    def error_received(self, exc):
        """Ignore the error of a datagram."""

    async def _serve(self, reader, writer):
        """Forward a channel; a cut one hangs."""
        if self.proxy.is_cut:
            await self.proxy.healed.wait()
            writer.close()
            return
        try:
            target = await asyncio.open_connection(self.host, self.own_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, target[1]), self._forward(target[0], writer)
        )

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                if self.proxy.is_cut:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Proxy:
    """The faces of all routers of two groups, and whether they are cut.

    :param hosts_by_port: hosts of the routers of each group by the port on
        which they listen
    """

    def __init__(self, hosts_by_port):
        (first, second) = hosts_by_port
        self.faces_by_host = {}
        for own_port, seen_port in ((first, second), (second, first)):
            for host in hosts_by_port[own_port]:
                face = Face(self, host, own_port, seen_port)
                self.faces_by_host[host] = face
        self.is_cut = False
        self.healed = asyncio.Event()
        self.forwarded = 0
        self.dropped = 0

    async def open(self):
        """Listen at all faces."""
        for face in self.faces_by_host.values():
            await face.open()

    def cut(self):
        """Drop all that passes between the groups."""
        self.is_cut = True
        self.healed.clear()

    def heal(self):
        """Forward again."""
        self.is_cut = False
        self.healed.set()

    def close(self):
        """Close all faces."""
        self.healed.set()
        for face in self.faces_by_host.values():
            face.close()


def _with_port(data, old, new):
    """Return a datagram with one port in place of another.

    The old port is the one that the sender's group listens on.
    """
    message = decode_datagram(data)
    if isinstance(message, Digest):
        message.gossip_port = _port(message.gossip_port, old, new)
        message.relay_port = _port(message.relay_port, old, new)
        message.peers = [
            [host, _port(port, old, new)] for host, port in message.peers
        ]
    elif isinstance(message, Update):
        message.gossip_port = _port(message.gossip_port, old, new)
        for shard in message.relayed:
            shard.port = _port(shard.port, old, new)
    else:
        return data
    return encode_datagram(message)


def _port(port, old, new):
    return new if port == old else port
