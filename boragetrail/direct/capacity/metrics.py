"""Metrics of the memory and the speed of servers."""

import aioprometheus

__all__ = ["CapacityMetrics"]


class CapacityMetrics:
    """Gauges of held tokens and slowness, by server.

    :param monitor: :class:`~boragetrail.direct.capacity.CapacityMonitor`
    :param registry: ``aioprometheus.Registry``
    """

    INTERVAL_S = 1.0

    def __init__(self, monitor, registry):
        self.monitor = monitor
        self.held_tokens = aioprometheus.Gauge(
            "boragetrail_held_tokens",
            "Tokens that requests of this router hold at a server.",
            registry=registry,
        )
        self.slowness = aioprometheus.Gauge(
            "boragetrail_server_slowness",
            "Time that work takes at a server, relative to the usual.",
            registry=registry,
        )
        self.held_ids = set()
        self.slow_ids = set()

    def update(self):
        """Set the gauges of all servers that have or had a value."""
        state = self.monitor.state()
        held, slowness = state["held_tokens"], state["slowness"]
        for server_id in self.held_ids | held.keys():
            labels = {"server": server_id}
            self.held_tokens.set(labels, held.get(server_id, 0))
        for server_id in self.slow_ids | slowness.keys():
            labels = {"server": server_id}
            self.slowness.set(labels, slowness.get(server_id, 1.0))
        # A server without a value is reset once.
        self.held_ids, self.slow_ids = set(held), set(slowness)
