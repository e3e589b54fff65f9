"""Gossip: spread of configuration, freshness and loads."""

from boragetrail.gossip.socket import GossipSocket
from boragetrail.gossip.protocol import Peer, GossipProtocol

__all__ = ["GossipSocket", "Peer", "GossipProtocol"]
