"""Versions that get no requests although no order is in progress for them."""

__all__ = ["VersionGate"]


class VersionGate:
    """Hold back versions that no verdict has admitted.

    A router may learn of the servers of a new version before it learns of the
    order, so a version that appears beside others waits for an order. A
    version whose rollout did not complete gets nothing until it is ordered
    again.

    :param clock: function that returns monotonic seconds
    :ivar rejected: set of (service, version) of rollouts that were reverted,
        withdrawn or overtaken by another order
    """

    # An order reaches each router that is not isolated within this time.
    ORDER_WAIT_S = 3.0

    def __init__(self, clock):
        self.clock = clock
        self.rejected = set()
        self.appeared_s_by_version = {}
        self.known_services = set()

    def record_listed(self, service, versions):
        """Record the versions of the listed servers of a service.

        :param service: name of the service
        :param versions: set of versions
        """
        is_first = service not in self.known_services
        if versions:
            self.known_services.add(service)
        now_s = self.clock()
        for version in versions:
            appeared_s = float("-inf") if is_first else now_s
            self.appeared_s_by_version.setdefault(
                (service, version), appeared_s
            )

    def admit(self, service, version):
        """Let a version get requests, as far as its rollout allows."""
        self.rejected.discard((service, version))
        self.appeared_s_by_version[service, version] = float("-inf")

    def reject(self, service, version):
        """Let a version get no requests until it is ordered again."""
        self.rejected.add((service, version))

    def is_open(self, service, version):
        """Return whether a version gets requests without an order."""
        if (service, version) in self.rejected:
            return False
        appeared_s = self.appeared_s_by_version.get(
            (service, version), float("-inf")
        )
        return self.clock() - appeared_s >= self.ORDER_WAIT_S
