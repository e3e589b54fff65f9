"""Filter that leaves out ejected servers, except for trials."""

from boragetrail.direct.counts import run_key
from boragetrail.direct.serverfilter import ServerFilter
from boragetrail.policy.ejection import TrialQuota

__all__ = ["EjectionFilter"]


class EjectionFilter(ServerFilter):
    """Leave out ejected servers, and at a retry also suspected ones.

    If no server would be left, none is left out.

    :param monitor: :class:`~boragetrail.direct.ejection.EjectionMonitor`
    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param metrics: :class:`~boragetrail.direct.metrics.DirectMetrics`
    """

    def __init__(self, monitor, fleet, metrics):
        self.monitor = monitor
        self.fleet = fleet
        self.metrics = metrics
        self.quotas_by_server = {}

    def select(self, request, progress, states, views_by_id):
        """Return the servers that are not ejected, or one to try.

        See :meth:`~boragetrail.direct.serverfilter.ServerFilter.select`.
        """
        if not self.monitor.has_evidence():
            return states
        ejected = [each for each in states if self.monitor.is_ejected(each)]
        left = [each for each in states if each not in ejected]
        if not left:
            return states
        if progress.attempts_sent:
            return self._unsuspected(request, left)
        trial = self._trial(request, progress, ejected, views_by_id)
        return left if trial is None else [trial]

    def _unsuspected(self, request, states):
        """Return the servers that a retry should get."""
        suspected = self.monitor.suspected(request.service.name)
        return [
            each for each in states if each.record.id not in suspected
        ] or states

    def _trial(self, request, progress, ejected, views_by_id):
        """Return the ejected server that the request tries, or ``None``.

        Only a request that can be repeated elsewhere is a trial.
        """
        route = request.route
        if not route.retryable or route.max_attempts < 2:
            return None
        if progress.version is not None:
            return None
        for state in ejected:
            if self._has_room(state, views_by_id) and self._acquire(state):
                self.metrics.record_ejection_trial(state.record.service)
                return state
        return None

    def _has_room(self, state, views_by_id):
        """Return whether a request that is placed there is not refused."""
        view = views_by_id[state.record.id]
        slots = state.record.slots
        is_full = 0 < slots <= view.running
        return not is_full and not self.fleet.is_cold(state)

    def _acquire(self, state):
        """Count a trial if this router's part of their rate allows it."""
        key = run_key(state.record)
        quota = self.quotas_by_server.get(key)
        if quota is None:
            self._remove_quotas()
            quota = self.quotas_by_server[key] = TrialQuota(self.monitor.clock)
        peers = self.fleet.peers
        return quota.try_begin(
            peers.size(),
            peers.rank(state.record.id),
            self.monitor.trial_successes(key),
        )

    def _remove_quotas(self):
        """Remove the quotas of servers that are no longer ejected."""
        self.quotas_by_server = {
            key: quota
            for key, quota in self.quotas_by_server.items()
            if key in self.monitor.ejections_by_server
        }
