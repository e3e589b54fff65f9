"""Addresses at which routers may run that this router does not hear.

They come from the settings and the registry, or are those of routers that
fell silent. They are probed one after another, so that routers that have lost
each other find each other again.
"""

import collections
import math

__all__ = ["Contact", "Contacts"]


class Contact:
    """Hold an address at which another router may run.

    :param added_s: monotonic time at which the address was last learned
    :param counts_until_s: monotonic time until which the router is assumed
        to run
    :ivar probes: number of probes that were sent to the address
    """

    __slots__ = ("added_s", "counts_until_s", "probes")

    def __init__(self, added_s, counts_until_s):
        self.added_s = added_s
        self.counts_until_s = counts_until_s
        self.probes = 0


class Contacts:
    """Hold the addresses that are probed, in the order of the next probes.

    :param clock: function that returns monotonic seconds

    >>> contacts = Contacts(lambda: 0.0)
    >>> contacts.add(("10.0.0.1", 7000), counts_s=20.0)
    >>> contacts.add(("10.0.0.2", 7000))
    >>> contacts.expected()
    [('10.0.0.1', 7000)]
    >>> contacts.take_due()
    [('10.0.0.2', 7000), ('10.0.0.1', 7000)]
    """

    MAX_CONTACTS = 1024
    # Time after which an address that nobody named again is forgotten.
    LIFE_S = 600.0
    # An address gets its first probes at short intervals, since a datagram
    # may be lost and routers may start at the same time as this one.
    FIRST_PROBES = 3
    MAX_FIRST_PROBES_AT_ONCE = 4
    # Time between two probes of addresses that have had their first ones.
    PROBE_INTERVAL_S = 1.0

    def __init__(self, clock):
        self.clock = clock
        self.contacts_by_address = collections.OrderedDict()
        self.next_probe_s = -math.inf

    def __contains__(self, address):
        return address in self.contacts_by_address

    def __len__(self):
        return len(self.contacts_by_address)

    def add(self, address, counts_s=0.0):
        """Add an address, or note that it was named again.

        :param address: (host, port) of the router
        :param counts_s: seconds for which the router is assumed to run
        """
        now_s = self.clock()
        contact = self.contacts_by_address.get(address)
        if contact is None:
            contact = Contact(now_s, now_s + counts_s)
            self.contacts_by_address[address] = contact
            self.contacts_by_address.move_to_end(address, last=False)
        contact.added_s = now_s
        contact.counts_until_s = max(contact.counts_until_s, now_s + counts_s)
        if len(self.contacts_by_address) > self.MAX_CONTACTS:
            self.contacts_by_address.popitem()

    def remove(self, address):
        """Remove an address, whose router was heard."""
        self.contacts_by_address.pop(address, None)

    def expected(self):
        """Return the addresses whose routers are assumed to run, as a list."""
        now_s = self.clock()
        return [
            address
            for address, contact in self.contacts_by_address.items()
            if contact.counts_until_s > now_s
        ]

    def take_due(self):
        """Return the addresses to probe now, and count the probes.

        :returns: list of (host, port)
        """
        self._remove_old()
        due = self._first_due() + self._next_due()
        for address in due:
            self.contacts_by_address[address].probes += 1
            self.contacts_by_address.move_to_end(address)
        return due

    def _first_due(self):
        """Return addresses that have not had their first probes."""
        fresh = [
            address
            for address, contact in self.contacts_by_address.items()
            if contact.probes < self.FIRST_PROBES
        ]
        return fresh[: self.MAX_FIRST_PROBES_AT_ONCE]

    def _next_due(self):
        """Return the address that was probed least recently, if it is due."""
        now_s = self.clock()
        if now_s < self.next_probe_s:
            return []
        self.next_probe_s = now_s + self.PROBE_INTERVAL_S
        for address, contact in self.contacts_by_address.items():
            if contact.probes >= self.FIRST_PROBES:
                return [address]
        return []

    def _remove_old(self):
        oldest_s = self.clock() - self.LIFE_S
        old = [
            address
            for address, contact in self.contacts_by_address.items()
            if contact.added_s < oldest_s
        ]
        for address in old:
            del self.contacts_by_address[address]
