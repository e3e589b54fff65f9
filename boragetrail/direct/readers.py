"""Selection of the routers that poll the platform's store for the fleet."""

import enum

from boragetrail.policy.placement import rendezvous_score

__all__ = ["ReaderRole", "reader_role"]

# Key for the rendezvous ranking, the same on all routers.
READER_RANK_KEY = "store"
# Number of routers that poll the store at short intervals.
READER_COUNT = 2
# In fleets of at most this size the other routers send long polls as well.
SMALL_FLEET_SIZE = 8
# Silence after which a router is no longer considered as a reader.
PRESENCE_TIMEOUT_S = 4.0


class ReaderRole(enum.Enum):
    """Defines how a router follows the tables of the store."""

    READER = "polls at short intervals for the whole fleet"
    STANDBY = "replaces a reader that the store does not respond to"
    LONG_POLLER = "sends long polls"
    FOLLOWER = "polls only if no reader gets responses"


def reader_role(peers):
    """Return the role of this router among the routers that it knows.

    The readers are the highest-ranked routers that are present. Routers with
    slow links rank last, since transferring a configuration takes long on a
    slow link. For each reader that the store does not respond to, the next
    router in rank becomes a standby.

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
