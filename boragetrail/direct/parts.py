"""Parts of a router that features switch on.

The modules of a part are imported with its feature. A router without features
restarts as fast after a power failure as if there were no parts.
"""

import importlib

from boragetrail.direct.features import Feature
from boragetrail.direct.metrics import CrossingMetrics
from boragetrail.events import Event, log_event

__all__ = ["UNEVEN_SERVER_FEATURES", "FeatureParts"]

# A server that reports how long work takes on its VM shares the VM with other
# work. These features handle servers that differ for that reason.
UNEVEN_SERVER_FEATURES = frozenset(
    (Feature.OUTLIER_EJECTION, Feature.ENGINE_CAPACITY)
)
# Filters of the features that come first decide among more servers.
FILTER_ORDER = (
    Feature.ROLLOUTS,
    Feature.OUTLIER_EJECTION,
    Feature.ENGINE_CAPACITY,
)
REMOVAL_INTERVAL_S = 5.0


class FeatureParts:
    """Own the parts of a router that features switch on.

    The features that the settings call for are on from the start. Those for
    uneven servers are also switched on once a server reports its speed.

    :param daemon: :class:`~boragetrail.direct.daemon.DirectDaemon`
    :ivar features: set of :class:`~boragetrail.direct.features.Feature` that
        are on
    :ivar ejection: :class:`~boragetrail.direct.ejection.EjectionMonitor`, or
        ``None``
    :ivar capacity: :class:`~boragetrail.direct.capacity.CapacityMonitor`, or
        ``None``
    :ivar rollouts:
        :class:`~boragetrail.direct.rollouts.RolloutController`, or ``None``
    :ivar rollout_observer:
        :class:`~boragetrail.direct.rollouts.RolloutObserver`, or ``None``
    :ivar is_started: whether the router has begun its tasks; parts that are
        added later begin theirs at once
    :ivar calls: (interval in seconds, function) of the parts that were added
        before
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.features = set()
        self.ejection = None
        self.capacity = None
        self.rollouts = None
        self.rollout_observer = None
        self.is_started = False
        self.calls = []
        self.filters_by_feature = {}

    def enable(self, features):
        """Switch features on.

        :param features: set of :class:`~boragetrail.direct.features.Feature`
        """
        adders = {
            Feature.ROLLOUTS: self._add_rollouts,
            Feature.OUTLIER_EJECTION: self._add_ejection,
            Feature.ENGINE_CAPACITY: self._add_capacity,
            Feature.ZONE_AFFINITY: self._add_zones,
            Feature.PRIORITY_ADMISSION: self._add_admission,
        }
        for feature, add in adders.items():
            if feature in features and feature not in self.features:
                self.features.add(feature)
                add()
        self.daemon.selector.filters = [
            self.filters_by_feature[feature]
            for feature in FILTER_ORDER
            if feature in self.filters_by_feature
        ]

    def enable_for_uneven_servers(self):
        """Switch on what handles servers that report their speed."""
        if UNEVEN_SERVER_FEATURES <= self.features:
            return
        self.enable(UNEVEN_SERVER_FEATURES)
        log_event(
            Event.FEATURES_ENABLED,
            features=sorted(each.value for each in self.features),
        )

    def start(self):
        """Start the tasks of the parts."""
        self.is_started = True
        calls, self.calls = self.calls, []
        for interval_s, function in calls:
            self.daemon.tasks.start_calls(interval_s, function)
        if self.rollouts is not None:
            writer = _import("rollouts").StatusWriter(
                self.rollouts,
                self.daemon.directory,
                self.daemon.store,
                self.daemon.reader_role,
            )
            self.daemon.tasks.start(writer.run(), "rollout status")

    def reload(self, settings):
        """Apply changed settings.

        :param settings: :class:`~boragetrail.settings.direct.DirectSettings`
        """
        zones = self.daemon.selector.zones
        if zones is not None and settings.zones:
            zones.set_costs(settings.zones)

    def ejected_servers(self):
        """Return the ids of the servers that this router has ejected."""
        return [] if self.ejection is None else self.ejection.ejected_ids()

    def state(self):
        """Return the states of the parts as basic values."""
        states = {"features": sorted(each.value for each in self.features)}
        if self.capacity is not None:
            states["capacity"] = self.capacity.state()
        if self.rollouts is not None:
            states["rollouts"] = self.rollouts.dump()
        gate = self.daemon.dispatcher.gate
        if gate is not None:
            states["admission"] = gate.dump()
        zones = self.daemon.selector.zones
        if zones is not None:
            states["zone_shares"] = {
                service: {
                    "share": share.flow.share,
                    "weights": share.flow.weights_by_zone,
                }
                for service, share in zones.shares_by_service.items()
            }
        return states

    def _call_every(self, interval_s, function):
        if self.is_started:
            self.daemon.tasks.start_calls(interval_s, function)
        else:
            self.calls.append((interval_s, function))

    def _add_ejection(self):
        """Eject failing servers, and avoid zones that cannot be reached."""
        daemon = self.daemon
        daemon.fleet.avoids_unreachable_zones = True
        ejection = _import("ejection")
        self.ejection = ejection.EjectionMonitor(
            daemon.fleet,
            daemon.record_gossip,
            daemon.metrics,
            daemon.incarnation,
        )
        self.filters_by_feature[Feature.OUTLIER_EJECTION] = (
            ejection.EjectionFilter(
                self.ejection, daemon.fleet, daemon.metrics
            )
        )
        self._call_every(self.ejection.INTERVAL_S, self.ejection.advance)

    def _add_capacity(self):
        """Take the memory and the speed of servers into account."""
        daemon = self.daemon
        capacity = _import("capacity")
        self.capacity = capacity.CapacityMonitor(
            daemon.fleet, daemon.platform.HEADER_NAMES, daemon.clock
        )
        daemon.fleet.speeds = self.capacity.speeds
        daemon.record_gossip.speeds = self.capacity.exchange
        daemon.dispatcher.capacity = self.capacity
        self.filters_by_feature[Feature.ENGINE_CAPACITY] = (
            capacity.MemoryFilter(self.capacity, daemon.fleet)
        )
        metrics = capacity.CapacityMetrics(
            self.capacity, daemon.metrics.registry
        )
        self._call_every(metrics.INTERVAL_S, metrics.update)
        self._call_every(REMOVAL_INTERVAL_S, self.capacity.remove_unlisted)

    def _add_zones(self):
        """Prefer the own zone, by the price of leaving it."""
        daemon = self.daemon
        if not daemon.settings.zones:
            return
        zones = _import("zones").ZoneAffinity(
            daemon.fleet,
            daemon.settings.zones,
            daemon.clock,
            daemon.random,
            CrossingMetrics(daemon.metrics.registry).record,
        )
        daemon.selector.zones = zones
        self._call_every(zones.INTERVAL_S, zones.update)

    def _add_admission(self):
        """Admit requests by priority, and read ahead of slow callers."""
        daemon = self.daemon
        daemon.dispatcher.forwarder.reads_ahead = True
        admission = _import("admission")
        gate = admission.AdmissionGate(
            daemon.fleet,
            admission.AdmissionMetrics(daemon.metrics.registry),
            daemon.clock,
            daemon.random,
        )
        daemon.dispatcher.gate = gate
        self._call_every(gate.CHECK_INTERVAL_S, gate.check)

    def _add_rollouts(self):
        """Move services to new versions by the operators' orders."""
        daemon = self.daemon
        if not daemon.settings.rollout:
            return
        rollouts = _import("rollouts")
        self.rollouts = rollouts.RolloutController(
            daemon.fleet,
            daemon.settings.rollout,
            daemon.record_gossip,
            daemon.random,
            daemon.incarnation,
        )
        observer = rollouts.RolloutObserver(self.rollouts, daemon.metrics)
        self.rollout_observer = observer
        daemon.metrics.count_rollouts()
        self.filters_by_feature[Feature.ROLLOUTS] = rollouts.VersionFilter(
            self.rollouts, daemon.fleet
        )
        daemon.dispatcher.attempt_observers.append(observer)
        self._call_every(self.rollouts.INTERVAL_S, self.rollouts.advance)
        self._call_every(observer.INTERVAL_S, observer.find_slow)


def _import(name):
    """Return a module of the direct path."""
    return importlib.import_module(f"boragetrail.direct.{name}")
