"""State of the servers, from this router's requests and from its peers."""

from boragetrail.direct.counts import server_key
from boragetrail.direct.placements import PlacementQueue
from boragetrail.direct.reports import ReportTable
from boragetrail.direct.serverstate import ServerState
from boragetrail.policy.leastloaded import ServerView
from boragetrail.policy.outcomes import failure_rate
from boragetrail.policy.prefix import EngineView, PrefixCacheIndex
from boragetrail.policy.suspicion import Standing

__all__ = ["Fleet", "is_same_run"]

QUARANTINED_PART_ERROR = "a part of the prompt was quarantined"


class Fleet:
    """Holds the states of the servers that a directory lists.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param zone: availability zone of the router
    :param clock: function that returns monotonic seconds
    :param knowledge:
        :class:`~boragetrail.direct.knowledge.ServerKnowledge`
    :ivar replaced_states: states of earlier runs of servers; those without
        attempts in progress are removed
    :ivar unreachable_states: states of the servers to which no connection
        could be opened; some may be reachable again
    :ivar avoids_unreachable_zones: whether no server of a zone that this
        router cannot reach is preferred
    :ivar reports: :class:`~boragetrail.direct.reports.ReportTable`
    :ivar prefix_index:
        :class:`~boragetrail.policy.prefix.PrefixCacheIndex` of the servers
        that cache each prompt part
    :ivar placements:
        :class:`~boragetrail.direct.placements.PlacementQueue`
    :ivar speeds: :class:`~boragetrail.direct.capacity.SpeedTable`, or ``None``
        if all servers count as equally fast
    """

    def __init__(self, directory, peers, zone, clock, knowledge):
        self.directory = directory
        self.knowledge = knowledge
        self.peers = peers
        self.zone = zone
        self.clock = clock
        self.states_by_id = {}
        self.replaced_states = []
        self.unreachable_states = set()
        self.avoids_unreachable_zones = False
        self.prefix_index = PrefixCacheIndex(clock)
        self.placements = PlacementQueue(self.prefix_index, clock)
        self.reports = ReportTable(clock)
        self.speeds = None

    def apply_load_reports(self, message):
        """Record the load reports of servers that another router received.

        :param message: :class:`~boragetrail.direct.datagrams.Digest` or
            :class:`~boragetrail.direct.datagrams.Update`
        """
        for key, requests, age_ms in message.reports:
            self.reports.record_from_peer(key, requests, age_ms / 1000.0)

    def apply_placements(self, placements):
        """Record placements of prompt parts that another router sent.

        :param placements: list of [part, server id]
        """
        forward = self.peers.needs_relaying()
        for part, server_id in placements:
            self.placements.receive(part, server_id, forward)

    def ready_servers(self, service):
        """Return the servers of a service that are listed as ready.

        Those in evacuated zones are left out.

        :param service: name of the service
        :returns: list of :class:`ServerState`
        """
        zones_out = self.directory.evacuated_zones
        return [
            state
            for state in self.listed_servers(service)
            if state.record.zone not in zones_out
        ]

    def listed_servers(self, service):
        """Return the servers of a service that are listed as ready.

        Those in evacuated zones are included.

        :param service: name of the service
        :returns: list of :class:`ServerState`
        """
        return [
            self._state(known)
            for known in self.directory.servers_of(service)
            if known.record.ready
        ]

    def record_unreachable(self, state, started_s, retryable=False):
        """Record that a server accepted no connection.

        :param state: :class:`ServerState`
        :param started_s: monotonic time at which the attempt began
        :param retryable: whether the request may be executed more than once
        """
        state.record_unreachable(started_s, retryable)
        self.unreachable_states.add(state)

    def servers_to_reconnect(self):
        """Return the states of unreachable servers that may get new work."""
        self.unreachable_states = {
            state
            for state in self.unreachable_states
            if state.suspicion.unreachable
            and self.states_by_id.get(state.record.id) is state
        }
        return [
            state
            for state in self.unreachable_states
            if self._is_ready(state.record) and state.accepts_requests()
        ]

    def _is_ready(self, record):
        """Return whether the run of a server is listed as ready."""
        known = self.directory.servers_by_id.get(record.id)
        return (
            known is not None
            and known.record.ready
            and known.record.zone not in self.directory.evacuated_zones
        )

    def usable_servers(self, service):
        """Return the servers of a service that may get new work.

        :param service: name of the service
        :returns: list of :class:`ServerState`
        """
        states = self.ready_servers(service)
        return [state for state in states if state.accepts_requests()]

    def server_wait_s(self, state):
        """Return for how long a server takes no request of this router.

        :param state: :class:`ServerState`
        :returns: seconds until its pause ends and its limit allows a request
        """
        limit_wait_s = self.knowledge.limiter.wait_s(state.record)
        return max(state.pause_left_s(), limit_wait_s)

    def versions(self, service):
        """Return the software versions of the servers that may get work.

        :param service: name of the service
        :returns: set of versions
        """
        staying = self._staying_servers(service)
        return {state.record.version for state in staying}

    def are_paused(self, service):
        """Return whether all servers of a service have asked for a pause."""
        return all(
            state.pause_left_s() for state in self._staying_servers(service)
        )

    def _staying_servers(self, service):
        """Return the states of ready servers that do not leave."""
        return [
            state
            for state in self.ready_servers(service)
            if state.record not in self.knowledge.leaving
        ]

    def are_leaving(self, service):
        """Return whether there are servers of a service and all leave."""
        listed = self.directory.servers_of(service)
        return bool(listed) and all(
            known.record in self.knowledge.leaving for known in listed
        )

    def copy_sources(self, service, version):
        """Return the servers from which cached prompt parts can be copied.

        Servers that are shutting down or in evacuated zones are included,
        those of another software version are not.

        :param service: name of the service
        :param version: software version of the server that copies
        :returns: addresses by server id
        """
        return {
            known.record.id: known.record.address
            for known in self.directory.servers_of(service)
            if known.record.version == version
            and not self._is_suspect(known.record.id)
            and known.record not in self.knowledge.leaving
        }

    def is_cold(self, state):
        """Return whether a server is cold.

        It is cold if the platform's entry or its own responses say so.

        :param state: :class:`ServerState`
        """
        now_s = self.clock()
        known = self.directory.servers_by_id.get(state.record.id)
        listed = known.cold_until_s if known is not None else 0.0
        return max(listed, state.cold_until_s) > now_s

    def server_view(self, state):
        """Return a :class:`~boragetrail.policy.leastloaded.ServerView`."""
        record = state.record
        load = state.in_flight + self.peers.load(record.id).requests
        in_zone = record.zone == self.zone
        rate = self._failure_rate(state)
        standing = self._standing(state)
        return ServerView(
            record.id, load, in_zone, standing, rate, self._slowness(state)
        )

    def engine_view(self, state):
        """Return a :class:`~boragetrail.policy.prefix.EngineView`."""
        others = self.peers.load(state.record.id)
        return EngineView(
            state.record.id,
            max(
                state.in_flight + others.requests,
                self.reports.requests(state.record.id),
            ),
            state.pending_tokens + others.pending_tokens,
            self._standing(state),
            self._failure_rate(state),
            self.knowledge.limiter.is_limited(state.record),
            state.record.zone == self.zone,
            self._slowness(state),
        )

    def _slowness(self, state):
        if self.speeds is None:
            return 1.0
        return self.speeds.slowness(state.record)

    def _standing(self, state):
        """Return a server's standing, with what other routers report."""
        if state.suspicion.failures:
            reported_s = self.reports.reported_s(state.record.id)
            state.suspicion.record_life_at_peer(reported_s)
        if self._is_zone_unreachable(state.record.zone):
            return Standing.AVOIDED
        return state.standing()

    def _is_zone_unreachable(self, zone):
        reachability = self.knowledge.reachability
        return self.avoids_unreachable_zones and reachability.is_unreachable(
            zone
        )

    def _failure_rate(self, state):
        failures, responses = state.outcomes.counts()
        others = self.peers.load(state.record.id)
        return failure_rate(
            failures + others.failures, responses + others.responses
        )

    def loads_by_id(self):
        """Return this router's (requests, pending tokens) by server id.

        Servers without requests in flight are left out.
        """
        return {
            key: (state.in_flight, state.pending_tokens)
            for key, state in self.states_by_id.items()
            if state.in_flight
        }

    def work(self):
        """Return the work of this router at servers.

        :returns: list of (server key, requests, pending tokens)
        """
        return [
            (server_key(key), *load)
            for key, load in self.loads_by_id().items()
        ]

    def outcomes(self):
        """Return the outcomes at recently used servers.

        :returns: list of (server key, failures, responses)
        """
        counts = [
            (server_key(key), *state.outcomes.counts())
            for key, state in self.states_by_id.items()
        ]
        return [each for each in counts if each[2]]

    def replaced_states_in_use(self):
        """Return the states of earlier runs with attempts, forget others."""
        self.replaced_states = [
            each for each in self.replaced_states if each.attempts
        ]
        return list(self.replaced_states)

    def unlisted_states(self):
        """Return the states of servers whose entries were removed."""
        listed = self.directory.servers_by_id
        return [
            state
            for key, state in self.states_by_id.items()
            if key not in listed
        ]

    def is_engine(self, record):
        """Return whether a server belongs to a service of model engines.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        """
        configuration = self.directory.configuration
        if configuration is None:
            return False
        service = configuration.services_by_name.get(record.service)
        return service is not None and service.is_model

    def abort_attempts(self, parts):
        """Abort the attempts whose prompts contain one of some parts.

        Attempts whose begin their server has survived continue.

        :param parts: ids of prompt parts
        """
        parts = frozenset(parts)
        states = [*self.states_by_id.values(), *self.replaced_states]
        for state in states:
            for attempt in list(state.attempts):
                if not attempt.survived and not parts.isdisjoint(
                    attempt.parts
                ):
                    attempt.reset(QUARANTINED_PART_ERROR)

    def remove_unlisted(self):
        """Remove the states of idle servers that are no longer listed."""
        listed = self.directory.servers_by_id
        unlisted = [
            key
            for key, state in self.states_by_id.items()
            if key not in listed and not state.in_flight
        ]
        for key in unlisted:
            self.states_by_id.pop(key).pool.close()
            self.prefix_index.remove_engine(key)

    def close(self):
        """Close all idle connections."""
        for state in self.states_by_id.values():
            state.pool.close()

    def _is_suspect(self, server_id):
        state = self.states_by_id.get(server_id)
        return state is not None and state.is_suspect()

    def _state(self, known):
        record = known.record
        state = self.states_by_id.get(record.id)
        if state is None or not is_same_run(state.record, record):
            self.prefix_index.remove_engine(record.id)
            if state is not None:
                self.replaced_states.append(state)
            state = ServerState(record, self.clock, self.knowledge)
            self.states_by_id[record.id] = state
        state.record = record
        return state


def is_same_run(current, listed):
    """Return whether two records are those of one run of a server.

    :param current: :class:`~boragetrail.direct.model.ServerRecord`
    :param listed: the same
    """
    same_address = current.address == listed.address
    return same_address and current.started_ms == listed.started_ms
