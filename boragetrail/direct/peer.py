"""Last known state of one other router."""

import enum

__all__ = ["SLOW_LINK_MBPS", "AddressSource", "Peer"]

# A link below this bandwidth is slow. Routers with slow links are avoided for
# bulk transfers, so that the links stay free for callers' traffic.
SLOW_LINK_MBPS = 25.0


class AddressSource(enum.Enum):
    """Tell from where a router got the address of another one."""

    REPORT = "report of another router"
    DATAGRAM = "its own datagram"


class Peer:
    """Holds the last known state of one other router.

    :param address: (host, port) on which the router receives datagrams
    :ivar sequence: sequence number of its last digest or update
    :ivar digest_received_s: monotonic time at which its last digest arrived
    :ivar reported_s: monotonic time of the last report of another router that
        had heard from it
    :ivar versions_received_s: monotonic time at which its last digest or
        update arrived
    """

    __slots__ = (
        "address",
        "relay_port",
        "incarnation",
        "sequence",
        "digest_received_s",
        "reported_s",
        "versions_by_table",
        "versions_received_s",
        "store_unreachable",
        "uptime_s",
        "link_mbps",
        "leaving",
    )

    def __init__(self, address):
        self.address = address
        self.relay_port = 0
        self.incarnation = ""
        self.sequence = 0
        self.digest_received_s = float("-inf")
        self.reported_s = float("-inf")
        self.versions_by_table = {}
        self.versions_received_s = float("-inf")
        self.store_unreachable = False
        self.uptime_s = 0.0
        self.link_mbps = 0.0
        self.leaving = False

    def was_heard(self):
        """Return whether a digest of the router has ever arrived."""
        return bool(self.incarnation)

    def is_known_alive_since(self, time_s):
        """Return whether there is evidence that the router ran.

        :param time_s: monotonic time from which evidence counts
        """
        return self.versions_received_s >= time_s or self.reported_s >= time_s

    def has_slow_link(self):
        """Return whether the router's link is slow."""
        return self.link_mbps < SLOW_LINK_MBPS
