"""Which routers ask the platform's store for all."""

import enum

from boragetrail.policy.placement import rendezvous_score

__all__ = ["ReaderRole", "reader_role"]

# Common text by which routers rank themselves as readers of the store.
READER_KEY = "store"
# Routers that ask the store often.
READER_COUNT = 2
# Up to this many routers the others ask it as well, with long waits.
SMALL_FLEET_SIZE = 8
# A router counts as there after its last datagram for so long.
PRESENCE_TIMEOUT_S = 4.0


class ReaderRole(enum.Enum):
    """Say how a router follows the tables of the store."""

    READER = "asks often for all"
    STANDBY = "does so as the store turns the first readers away"
    LONG_POLLER = "waits long for changes"
    FOLLOWER = "asks only if no reader hears the store"


def reader_role(peers):
    """Return the role of a router among those that it knows.

    Readers are the first in rank of the routers that are there. Those with
    slow links come last, since a configuration takes a slow link long. For
    each reader that the store turns away the next one stands in.

    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :returns: :class:`ReaderRole`
    """
    own_address = _rank(peers.own_address, peers.has_slow_link())
    oldest = peers.clock() - PRESENCE_TIMEOUT_S
    present = [
        peer
        for peer in peers.peers_by_address.values()
        if max(peer.digest_received_s, peer.versions_received_s) >= oldest
        and not peer.leaving
    ]
    before = [
        peer
        for peer in present
        if _rank(peer.address, peer.has_slow_link()) > own_address
    ]
    if len(before) < READER_COUNT:
        return ReaderRole.READER
    if sum(not peer.turned_away for peer in before) < READER_COUNT:
        return ReaderRole.STANDBY
    if len(present) < SMALL_FLEET_SIZE:
        return ReaderRole.LONG_POLLER
    return ReaderRole.FOLLOWER


def _rank(address, has_slow_link):
    return (not has_slow_link, rendezvous_score(READER_KEY, address))
