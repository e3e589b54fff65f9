"""Membership of the routers of the fleet.

A router is a member as long as there is evidence that it runs: its own
datagrams, and reports of routers that have just heard from it [1]_. A report
is not passed on, so that the address of a router that is gone does not
circulate.

.. [1] R. van Renesse, Y. Minsky, M. Hayden, "A Gossip-Style Failure Detection
   Service", Middleware 1998.
"""

from boragetrail.direct.contacts import Contacts
from boragetrail.direct.peer import SLOW_LINK_MBPS, AddressSource, Peer
from boragetrail.events import Event, log_event
from boragetrail.policy.placement import rendezvous_score

__all__ = ["Membership"]


class Membership:
    """Hold the other routers and tell which of them count.

    :param clock: function that returns monotonic seconds
    :ivar peers_by_address: :class:`~boragetrail.direct.peer.Peer` by (host,
        port)
    :ivar contacts: :class:`~boragetrail.direct.contacts.Contacts`, addresses
        of routers without evidence that they run
    :ivar own_address: (host, port) on which this router receives datagrams
    :ivar link_mbps: bandwidth of this router's link in megabits per second
    :ivar list_was_read: whether the registry's list of routers was read
    """

    # Time without evidence after which a router is no longer a member.
    MEMBERSHIP_TIMEOUT_S = 20.0
    # Time without a round after which this process has not run. Meanwhile
    # it could not hear other routers.
    MAX_ROUND_GAP_S = 2.0
    # Other routers may still be unknown in the first STARTUP_S seconds after
    # the start, so the fleet is assumed to have at least MIN_STARTUP_SIZE
    # routers, or MIN_SIZE_WITHOUT_LIST until the registry's list was read.
    STARTUP_S = 3.0
    MIN_STARTUP_SIZE = 8
    MIN_SIZE_WITHOUT_LIST = 64

    def __init__(self, clock):
        self.clock = clock
        self.peers_by_address = {}
        self.contacts = Contacts(clock)
        self.own_address = ("", 0)
        self.link_mbps = float("inf")
        self.started_s = clock()
        self.last_round_s = float("inf")
        self.list_was_read = False

    def add_reported(self, address):
        """Record that another router has just heard from a router.

        :param address: (host, port) of the router
        :returns: whether it was not known
        """
        if address == self.own_address:
            return False
        is_new = address not in self.peers_by_address
        peer = self._add(address, AddressSource.REPORT)
        peer.reported_s = self.clock()
        return is_new

    def add_listed(self, addresses):
        """Add the addresses that the registry lists.

        Their routers count towards the limits of the fleet for a while, as
        they may run without being heard. As a result, this router's share of
        fleet-wide limits may be too small, but never too large.

        :param addresses: list of (host, port)
        """
        for address in addresses:
            self.add_contact(address, self.MEMBERSHIP_TIMEOUT_S)
        self.list_was_read = True

    def add_contact(self, address, counts_s=0.0):
        """Add an address to probe, unless its router is a member.

        :param address: (host, port) of the router
        :param counts_s: seconds for which the router is assumed to run
        """
        if address in self.peers_by_address or address == self.own_address:
            return
        self.contacts.add(address, counts_s)

    def members(self):
        """Return the peers that count towards the fleet, as a list.

        In a large fleet most of them have sent no digest for seconds.
        """
        oldest_s = self._oldest_evidence_s()
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.is_known_alive_since(oldest_s)
        ]

    def probable_addresses(self):
        """Return the addresses of the other routers that probably run.

        These are the members, and just after the start the listed routers
        too, which have not had the time to reply.
        """
        if self._is_starting():
            return self._possible_addresses()
        return [peer.address for peer in self.members()]

    def size(self):
        """Return the number of routers in the fleet, including this one."""
        known = len(self.probable_addresses()) + 1
        return max(self._min_size(), known)

    def max_size(self):
        """Return the largest number of routers that may run.

        Limits of the fleet are divided by it. Listed routers are included
        that may run without being heard.
        """
        known = len(self._possible_addresses()) + 1
        return max(self._min_size(), known)

    def rank(self, key):
        """Return this router's rendezvous rank for a key; 0 is the highest.

        Routers that know of each other have different ranks. A router that
        has just started may not know the others yet, so it leaves the
        highest ranks to them.

        :param key: text to rank by
        """
        return self._rank(key, self.probable_addresses())

    def max_rank(self, key):
        """Return this router's rank among all routers that may run.

        It belongs to :meth:`max_size`, as :meth:`rank` does to :meth:`size`.

        :param key: text to rank by
        """
        return self._rank(key, self._possible_addresses())

    def is_first(self, key):
        """Return whether this router ranks first for a key.

        Unlike in :meth:`rank`, routers with slow links rank after all others.

        :param key: text to rank by
        """

        def precedence(address, link_mbps):
            is_fast = link_mbps >= SLOW_LINK_MBPS
            return (is_fast, rendezvous_score(key, address))

        own = precedence(self.own_address, self.link_mbps)
        links = {peer.address: peer.link_mbps for peer in self.members()}
        return all(
            precedence(address, links.get(address, 0.0)) < own
            for address in self.probable_addresses()
        )

    def own_uptime_s(self):
        """Return the seconds since this router started."""
        return self.clock() - self.started_s

    def advance(self):
        """Remove the peers that are no longer members; they stay contacts.

        Call this in each round.

        :returns: list of their addresses
        """
        self._keep_if_suspended()
        self.last_round_s = self.clock()
        oldest_s = self._oldest_evidence_s()
        silent = [
            address
            for address, peer in self.peers_by_address.items()
            if not peer.is_known_alive_since(oldest_s)
        ]
        for address in silent:
            peer = self.peers_by_address.pop(address)
            self.contacts.add(address)
            log_event(
                Event.PEER_EXPIRED,
                peer=f"{address[0]}:{address[1]}",
                was_heard=peer.was_heard(),
            )
        return silent

    def _add(self, address, source):
        """Return the :class:`Peer` of an address, which is added if new."""
        peer = self.peers_by_address.get(address)
        if peer is None:
            self.contacts.remove(address)
            peer = Peer(address)
            self.peers_by_address[address] = peer
            log_event(
                Event.PEER_ADDED,
                peer=f"{address[0]}:{address[1]}",
                source=source.value,
            )
        return peer

    def _keep_if_suspended(self):
        """Give the members time to be heard if this process did not run."""
        now_s = self.clock()
        if now_s <= self.last_round_s + self.MAX_ROUND_GAP_S:
            return
        kept_s = now_s - self.MEMBERSHIP_TIMEOUT_S + self.STARTUP_S
        for peer in self.members():
            peer.reported_s = max(peer.reported_s, kept_s)

    def _oldest_evidence_s(self):
        """Return the time from which evidence makes a router a member.

        Time in which this process did not run does not count.
        """
        latest_s = self.last_round_s + self.MAX_ROUND_GAP_S
        return min(self.clock(), latest_s) - self.MEMBERSHIP_TIMEOUT_S

    def _possible_addresses(self):
        """Return the addresses of the other routers that may run."""
        addresses = [peer.address for peer in self.members()]
        return addresses + self.contacts.expected()

    def _is_starting(self):
        return self.own_uptime_s() < self.STARTUP_S

    def _min_size(self):
        if not self._is_starting():
            return 0
        return (
            self.MIN_STARTUP_SIZE
            if self.list_was_read
            else self.MIN_SIZE_WITHOUT_LIST
        )

    def _rank(self, key, addresses):
        own_score = rendezvous_score(key, self.own_address)
        higher = sum(
            rendezvous_score(key, address) > own_score for address in addresses
        )
        return higher + self._min_size()
