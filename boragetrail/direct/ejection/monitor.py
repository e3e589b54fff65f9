"""Ejected servers of one router, from the results of all routers."""

import xxhash

from boragetrail.direct.counts import run_key
from boragetrail.direct.ejection.budget import ReportBudget
from boragetrail.direct.ejection.meanloads import MeanLoads
from boragetrail.direct.ejection.outcomes import (
    WINDOW_S,
    AttemptResult,
    OwnOutcomes,
    ReportStore,
)
from boragetrail.events import Event, log_event
from boragetrail.policy.ejection import (
    Capacity,
    Ejection,
    ServerEvidence,
    confirmed_losses,
    failing_servers,
    is_suspected,
    may_eject,
)
from boragetrail.policy.suspicion import Standing

__all__ = ["EjectionMonitor"]

# Upper bound of the bytes of a datagram with one report, with its headers.
REPORT_BYTES = 110
# Time of the end, and repetitions, of the ejection of a server that was not
# ejected before.
NEVER = (float("-inf"), -1)


class EjectionMonitor:
    """Count results, exchange them with other routers, and eject servers.

    Each router decides by itself. The routers know the same reports, save for
    those on their way, so they come to the same result.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param record_gossip:
        :class:`~boragetrail.direct.recordgossip.RecordGossip`
    :param metrics: :class:`~boragetrail.direct.metrics.DirectMetrics`
    :param incarnation: text that identifies the run of this router
    :ivar own_by_server: :class:`OwnOutcomes` by key of the run of a server
    :ivar ejections_by_server: :class:`~boragetrail.policy.ejection.Ejection`
        in force, by the same key
    :ivar ended_by_server: (time of the end, its repetitions) of the last
        ejection, by the same key
    :ivar changed_servers: keys of the runs whose results changed since this
        router's last report
    :ivar own_failed_s: monotonic time of the last failure at any server
    :ivar sent_s: monotonic time of the last reports
    """

    INTERVAL_S = 0.1
    # The same failure has another age in each report, by how long the datagram
    # was on its way.
    MAX_AGE_VARIATION_S = 0.05
    # A router ejects what so many others have ejected. The evidence ends with
    # an ejection, so routers that lacked a report would never get enough.
    MIN_ADOPTED = 2
    # Number of routers that announce an ejection to all others at once,
    # whatever the budget, besides those whose own result led to it. In a large
    # fleet, hundreds eject a server at the same moment.
    ANNOUNCERS = 4

    def __init__(self, fleet, record_gossip, metrics, incarnation):
        self.fleet = fleet
        self.record_gossip = record_gossip
        self.metrics = metrics
        self.clock = fleet.clock
        self.router = xxhash.xxh64_intdigest(incarnation.encode())
        self.own_by_server = {}
        self.reports = ReportStore(self.clock)
        self.loads = MeanLoads(fleet)
        self.ejections_by_server = {}
        self.ended_by_server = {}
        self.changed_servers = set()
        self.own_failed_s = float("-inf")
        self.sent_s = float("-inf")
        self.budget = ReportBudget(self.clock)
        record_gossip.outcomes = self
        fleet.knowledge.on_result = self.record

    def record(self, record, result, retryable):
        """Count a result of this router.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        :param result:
            :class:`~boragetrail.direct.ejection.outcomes.AttemptResult`
        :param retryable: whether the request may be repeated
        """
        key = run_key(record)
        own = self.own_by_server.get(key)
        if own is None:
            own = self.own_by_server[key] = OwnOutcomes(self.clock)
        own.add(result, retryable)
        if result is not AttemptResult.SUCCESS:
            self.own_failed_s = self.clock()
            self._failed(key, self.own_failed_s)
        if self._is_reported(key):
            self.changed_servers.add(key)
            self._decide(record.service)
            self._send_due()

    def apply(self, report):
        """Apply a report of another router.

        :param report:
            :class:`~boragetrail.direct.ejection.outcomes.OutcomeReport`
        """
        if report.router == self.router or not self.reports.add(report):
            return
        own = self.own_by_server.get(report.server)
        ejection = self.ejections_by_server.get(report.server)
        if ejection is not None and self._is_later(report, ejection):
            if own is not None:
                own.successes = 0
            self._failed(report.server, report.failed_s)
        service = self._service(report.server)
        if service is not None:
            self._decide(service)

    def advance(self):
        """Send what is due, and end ejections; called at intervals."""
        self._send_due()
        self.loads.sample_if_due()
        self.reports.all_recent()
        for service in {
            self._service(key) for key in self.ejections_by_server
        }:
            if service is not None:
                self._decide(service)
        self._remove_unlisted()

    def is_ejected(self, state):
        """Return whether a server is ejected.

        :param state: :class:`~boragetrail.direct.serverstate.ServerState`
        """
        return run_key(state.record) in self.ejections_by_server

    def has_evidence(self):
        """Return whether any server has failed or is ejected."""
        return bool(
            self.ejections_by_server
            or self.reports.reports_by_server
            or self.clock() - self.own_failed_s < WINDOW_S
        )

    def ejected_ids(self):
        """Return the sorted ids of the ejected servers."""
        return sorted(
            known.record.id
            for known in self.fleet.directory.servers_by_id.values()
            if run_key(known.record) in self.ejections_by_server
        )

    def trial_successes(self, key):
        """Return the consecutive successful trials of all routers.

        :param key: key of the run of an ejected server
        """
        ejection = self.ejections_by_server[key]
        own = self.own_by_server.get(key)
        return (own.successes if own is not None else 0) + sum(
            each.successes
            for each in self.reports.recent(key)
            if each.made_s >= ejection.failed_s
        )

    def suspected(self, service):
        """Return the ids of the servers that retries avoid, as a set.

        :param service: name of the service
        """
        evidences = self._evidences(self.fleet.ready_servers(service))
        return {each.id for each in evidences if is_suspected(each, evidences)}

    def snapshot(self, includes_peers):
        """Return the reports that still count, as a list.

        :param includes_peers: whether to include those of other routers
        """
        own = [
            self._own_report(key)
            for key in self.own_by_server
            if self._is_reported(key)
        ]
        return own + (self.reports.all_recent() if includes_peers else [])

    def _is_later(self, report, ejection):
        """Return whether a report tells a failure that is not known yet."""
        later_s = report.failed_s - ejection.failed_s
        return later_s > self.MAX_AGE_VARIATION_S

    def _failed(self, key, failed_s):
        ejection = self.ejections_by_server.get(key)
        if ejection is not None:
            ejection.record_failure(failed_s)

    def _is_reported(self, key):
        """Return whether other routers need this router's results."""
        own = self.own_by_server[key]
        if own.has_failures() or key in self.ejections_by_server:
            return True
        return self._ended_s(key) > self.clock() - WINDOW_S

    def _ended_s(self, key):
        return self.ended_by_server.get(key, NEVER)[0]

    def _own_report(self, key):
        own = self.own_by_server[key]
        ejection = self.ejections_by_server.get(key)
        is_recent = self._ended_s(key) > self.clock() - WINDOW_S
        successes = own.successes if ejection or is_recent else 0
        ejected_s = ejection.began_s if ejection else float("-inf")
        return own.report(self.router, key, successes, ejected_s)

    def _send_due(self):
        """Send the reports that changed, if the last are old enough."""
        now_s = self.clock()
        if not self.changed_servers or now_s - self.sent_s < self.INTERVAL_S:
            return
        if self.budget.has_room():
            self._send(self.changed_servers & self.own_by_server.keys())
            self.changed_servers.clear()
            self.sent_s = now_s

    def _send(self, keys):
        """Send this router's reports about some runs to all peers."""
        peers = self.fleet.peers
        count = len(peers.peers_by_address)
        copies = count + min(count, peers.update_fanout())
        for key in keys:
            self.budget.spend(copies * REPORT_BYTES)
            self.record_gossip.send_now(self._own_report(key))

    def _decide(self, service):
        """Eject and readmit servers of a service."""
        states = self.fleet.ready_servers(service)
        for state in states:
            self._end_if_due(state)
        self._adopt(states)
        while True:
            left = [each for each in states if not self.is_ejected(each)]
            evidences = self._evidences(left)
            failing = failing_servers(evidences)
            allowed = [
                each
                for each in failing
                if may_eject(self._capacity(states, each))
            ]
            if not allowed:
                break
            evidence = next(e for e in evidences if e.id == allowed[0])
            state = next(s for s in left if s.record.id == allowed[0])
            self._eject(state, evidence, self.clock())
        self._restore_capacity(states)

    def _evidences(self, states):
        """Return a list of :class:`ServerEvidence`, one for each server."""
        return [self._evidence(state) for state in states]

    def _evidence(self, state):
        key = run_key(state.record)
        reports = self.reports.recent(key)
        if key in self.own_by_server:
            reports.append(self._own_report(key))
        since_s = self._evidence_since_s(key)
        reports = [each for each in reports if each.failed_s > since_s]
        losses = [
            confirmed_losses([each.losses[kind] for each in reports])
            for kind in range(2)
        ]
        failures = tuple(
            losses[kind] + sum(each.errors[kind] for each in reports)
            for kind in range(2)
        )
        known = state.outcomes.counts()[1]
        known += self.fleet.peers.load(state.record.id).responses
        responses = sum(each.responses for each in reports)
        return ServerEvidence(state.record.id, known, failures, responses)

    def _evidence_since_s(self, key):
        """Return since when failures count; earlier ones led to ejection."""
        ejection = self.ejections_by_server.get(key)
        return ejection.began_s if ejection else self._ended_s(key)

    def _capacity(self, states, server_id=None):
        """Return the :class:`Capacity` of a service without a server.

        Servers that are avoided for other reasons have no capacity.
        """
        left = [
            each
            for each in states
            if each.record.id != server_id
            and not self.is_ejected(each)
            and not each.is_leaving()
            and each.standing() is not Standing.AVOIDED
        ]
        ejected = sum(map(self.is_ejected, states))
        slots = [each.record.slots for each in left]
        return Capacity(
            len(left) + ejected + (server_id is not None),
            ejected,
            sum(slots) if all(slots) else 0,
            self.loads.mean(states[0].record.service),
        )

    def _restore_capacity(self, states):
        """Readmit the server ejected last if the others cannot do without."""
        ejected = [each for each in states if self.is_ejected(each)]
        if not ejected:
            return
        capacity = self._capacity(states)
        has_servers = capacity.servers > capacity.ejected
        if has_servers and not 0 < capacity.slots < capacity.load:
            return
        last = max(
            ejected,
            key=lambda each: (
                self.ejections_by_server[run_key(each.record)].began_s
            ),
        )
        self._readmit(last, "capacity")

    def _adopt(self, states):
        """Eject what other routers have ejected.

        An ejection that began before the last one of this router ended is
        over.
        """
        for state in states:
            key = run_key(state.record)
            began_s = self._others_began_s(key)
            if len(began_s) < self.MIN_ADOPTED or self.is_ejected(state):
                continue
            if may_eject(self._capacity(states, state.record.id)):
                self._eject(state, self._evidence(state), min(began_s))

    def _others_began_s(self, key):
        """Return when other routers ejected a server, as a list."""
        ended_s = self._ended_s(key)
        return [
            each.ejected_s
            for each in self.reports.recent(key)
            if each.ejected_s > ended_s
        ]

    def _eject(self, state, evidence, began_s):
        """Eject a server.

        :param evidence: :class:`ServerEvidence`
        :param began_s: monotonic time at which the first router ejected it
        """
        key = run_key(state.record)
        ended_s, repetitions = self.ended_by_server.get(key, NEVER)
        is_repeated = began_s - ended_s < Ejection.REPETITION_S
        repetitions = repetitions + 1 if is_repeated else 0
        self.ejections_by_server[key] = Ejection(began_s, repetitions)
        own = self.own_by_server.setdefault(key, OwnOutcomes(self.clock))
        own.clear()
        is_reporter = key in self.changed_servers
        rank = self.fleet.peers.rank(state.record.id)
        if is_reporter or rank < self.ANNOUNCERS:
            self._send([key])
            self.changed_servers.discard(key)
        self.metrics.record_ejection(state.record.service)
        log_event(
            Event.SERVER_EJECTED,
            service=state.record.service,
            server=state.record.id,
            failures=sum(evidence.failures_by_kind),
            retryable=evidence.failures_by_kind[1],
            responses=evidence.responses,
            repetitions=repetitions,
        )

    def _end_if_due(self, state):
        key = run_key(state.record)
        ejection = self.ejections_by_server.get(key)
        if ejection is None:
            return
        successes = self.trial_successes(key)
        if ejection.has_ended(self.clock(), successes):
            enough = successes >= ejection.successes_needed()
            self._readmit(state, "trials" if enough else "age")

    def _readmit(self, state, reason):
        key = run_key(state.record)
        ejection = self.ejections_by_server.pop(key)
        self.ended_by_server[key] = (self.clock(), ejection.repetitions)
        own = self.own_by_server.get(key)
        if own is not None:
            own.clear_results()
        log_event(
            Event.SERVER_READMITTED,
            service=state.record.service,
            server=state.record.id,
            reason=reason,
            ejected_s=round(self.clock() - ejection.began_s, 2),
        )

    def _service(self, key):
        """Return the service of a run of a server, or ``None``."""
        for known in self.fleet.directory.servers_by_id.values():
            if run_key(known.record) == key:
                return known.record.service
        return None

    def _remove_unlisted(self):
        """Remove what is known of runs that are no longer listed."""
        listed = {
            run_key(known.record)
            for known in self.fleet.directory.servers_by_id.values()
        }
        for by_key in (
            self.own_by_server,
            self.ejections_by_server,
            self.ended_by_server,
        ):
            for key in by_key.keys() - listed:
                del by_key[key]
