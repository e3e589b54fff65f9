"""Tests of the addresses that a router probes."""

from boragetrail.direct.contacts import Contacts
from standins.clock import ManualClock

PORT = 7000


def address(number):
    """Return the address of a router."""
    return (f"10.0.{number // 250}.{number % 250}", PORT)


class TestContacts:
    """Guard against probes that grow with the number of lost routers."""

    def make(self, count):
        """Return (contacts, clock) with a number of addresses."""
        clock = ManualClock(100.0)
        contacts = Contacts(clock)
        for number in range(count):
            contacts.add(address(number))
        return contacts, clock

    def probe(self, contacts, clock, duration_s):
        """Return the addresses that are probed in some time, in order."""
        probed = []
        for _ in range(round(duration_s * 10)):
            clock.now_s += 0.1
            probed += contacts.take_due()
        return probed

    def test_each_address_has_its_turn(self):
        contacts, clock = self.make(20)
        self.probe(contacts, clock, 20.0)
        probed = self.probe(contacts, clock, 24.0)
        assert set(probed[:20]) == set(map(address, range(20)))
        assert len(probed) <= 24

    def test_new_address_is_probed_first(self):
        contacts, clock = self.make(200)
        self.probe(contacts, clock, 60.0)
        contacts.add(address(900))
        probed = self.probe(contacts, clock, 1.0)
        assert probed.count(address(900)) == Contacts.FIRST_PROBES
        assert len(probed) <= Contacts.FIRST_PROBES + 1

    def test_addresses_are_forgotten(self):
        contacts, clock = self.make(3)
        clock.now_s += Contacts.LIFE_S / 2
        contacts.add(address(0))
        clock.now_s += Contacts.LIFE_S / 2 + 1.0
        contacts.take_due()
        assert list(contacts.contacts_by_address) == [address(0)]

    def test_number_of_addresses_is_bounded(self):
        contacts, clock = self.make(Contacts.MAX_CONTACTS + 50)
        assert len(contacts) == Contacts.MAX_CONTACTS
        assert address(Contacts.MAX_CONTACTS + 49) in contacts

    def test_expected_for_the_longest_time_named(self):
        contacts, clock = self.make(0)
        contacts.add(address(1), counts_s=20.0)
        contacts.add(address(1))
        assert contacts.expected() == [address(1)]
        clock.now_s += 20.0
        assert contacts.expected() == []
