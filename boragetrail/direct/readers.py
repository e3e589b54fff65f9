"""Selection of the routers that poll the platform's store for the fleet."""

import enum

from boragetrail.policy.placement import rendezvous_score

__all__ = ["ReaderRole", "reader_role"]

# Key for the rendezvous ranking of readers. All routers must use the same key.
READER_RANK_KEY = "store"
# Number of routers that poll the store at short intervals.
READER_COUNT = 2
# In a fleet of at most this many routers, those that are not readers send
# long polls.
SMALL_FLEET_SIZE = 8
# Silence after which a peer is ignored in the selection of readers.
PRESENCE_TIMEOUT_S = 4.0


class ReaderRole(enum.Enum):
    """Defines how a router follows the tables of the store."""

    READER = "polls at short intervals for the whole fleet"
    STANDBY = "replaces a reader that the store does not respond to"
    LONG_POLLER = "sends long polls"
    FOLLOWER = "polls only if no reader gets responses"


def reader_role(peers):
    """Return this router's role in following the store for the fleet.

    The readers are the highest-ranked routers that are present. Routers with
    slow links rank last, since a configuration takes long to transfer over
    them. For each reader that gets no responses from the store, the router
    that ranks next becomes a standby.

    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :returns: :class:`ReaderRole`
    """
    own_rank = _reader_rank(peers.own_address, peers.has_slow_link())
    oldest_s = peers.clock() - PRESENCE_TIMEOUT_S
    present = [
        peer
        for peer in peers.peers_by_address.values()
        if max(peer.digest_received_s, peer.versions_received_s) >= oldest_s
        and not peer.leaving
    ]
    preceding = [
        peer
        for peer in present
        if _reader_rank(peer.address, peer.has_slow_link()) > own_rank
    ]
    if len(preceding) < READER_COUNT:
        return ReaderRole.READER
    if sum(not peer.store_unreachable for peer in preceding) < READER_COUNT:
        return ReaderRole.STANDBY
    if len(present) < SMALL_FLEET_SIZE:
        return ReaderRole.LONG_POLLER
    return ReaderRole.FOLLOWER


def _reader_rank(address, has_slow_link):
    return (not has_slow_link, rendezvous_score(READER_RANK_KEY, address))
