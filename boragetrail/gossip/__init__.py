"""Gossip of configuration, freshness and loads between processes."""

from boragetrail.gossip.socket import GossipSocket
from boragetrail.gossip.protocol import GossipProtocol, Peer

__all__ = ["GossipSocket", "Peer", "GossipProtocol"]
