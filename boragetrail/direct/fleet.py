"""What a router knows of servers from its own work and from its peers."""

from boragetrail.direct.connection import ConnectionPool
from boragetrail.direct.counts import server_key
from boragetrail.direct.placements import PlacementQueue
from boragetrail.direct.reports import ReportTable
from boragetrail.events import Event, log_event
from boragetrail.policy.leastloaded import ServerView
from boragetrail.policy.outcomes import OutcomeWindow, failure_rate
from boragetrail.policy.prefix import EngineView, PrefixCacheIndex
from boragetrail.policy.quota import RateQuota

__all__ = ["Fleet", "ServerState"]


class ServerState:
    """Hold the connections to one server and what its answers showed.

    :param record: :class:`~boragetrail.direct.model.ServerRecord`
    :param clock: function that returns monotonic seconds
    :ivar attempts: :class:`~boragetrail.direct.attempt.Attempt` in hand
    :ivar in_flight: requests that this router has there
    :ivar pending_tokens: prompt tokens that they have to read there, as
        long as they have not answered
    :ivar doubt: consecutive failures that put the server last for a time
    """

    MIN_SUSPECT_S = 0.5
    MAX_SUSPECT_S = 4.0

    def __init__(self, record, clock):
        self.record = record
        self.clock = clock
        self.pool = ConnectionPool(record.address, clock)
        self.attempts = set()
        self.in_flight = 0
        self.pending_tokens = 0
        self.outcomes = OutcomeWindow(clock)
        self.consecutive_failures = 0
        self.suspect_until_s = 0.0
        self.cold_until_s = 0.0
        self.cold_share = RateQuota(clock)

    def record_failure(self):
        """Note that the server could not be reached or broke off."""
        self.outcomes.add(True)
        self.consecutive_failures += 1
        pause_s = self.MIN_SUSPECT_S * 2 ** (self.consecutive_failures - 1)
        pause_s = min(self.MAX_SUSPECT_S, pause_s)
        self.suspect_until_s = self.clock() + pause_s

    def record_response(self, failed=False):
        """Note a whole answer.

        :param failed: whether it is an error of the server
        """
        self.outcomes.add(failed)
        self.consecutive_failures = 0
        self.suspect_until_s = 0.0

    def is_suspect(self):
        """Return whether the server failed a short time ago."""
        return self.suspect_until_s > self.clock()

    def record_cold(self, cold_s):
        """Note that the server says how long it stays cold, in seconds."""
        self.cold_until_s = self.clock() + cold_s


class Fleet:
    """Own the states of the servers that a directory lists.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param zone: availability zone of the router
    :param clock: function that returns monotonic seconds
    :ivar replaced: states of earlier runs of servers that have attempts
    :ivar reports: what servers lately said of their load
    :ivar parts: which servers have which parts of prompts
    :ivar placements: what other routers may not know of these
    """

    # Longest silence of a server that is not listed any more.
    MAX_UNLISTED_SILENCE_S = 2.0

    def __init__(self, directory, peers, zone, clock):
        self.directory = directory
        self.peers = peers
        self.zone = zone
        self.clock = clock
        self.states_by_id = {}
        self.replaced_states = []
        self.prefix_index = PrefixCacheIndex(clock)
        self.placements = PlacementQueue(self.prefix_index, clock)
        self.reports = ReportTable(clock)

    def apply_load_reports(self, digest):
        """Take over what another router tells of servers.

        :param digest: :class:`~boragetrail.direct.datagrams.Digest` or
            :class:`~boragetrail.direct.datagrams.News`
        """
        for key, requests, age_ms in digest.reports:
            self.reports.record_from_peer(key, requests, age_ms / 1000.0)

    def apply_placements(self, placements):
        """Take over new places of parts, as [part, server id] each."""
        forward = self.peers.needs_relaying()
        for part, server_id in placements:
            self.placements.receive(part, server_id, forward)

    def usable_servers(self, service):
        """Return the states of servers that may get new work, as a list."""
        zones_out = self.directory.evacuated_zones
        return [
            self._state(known)
            for known in self.directory.servers_of(service)
            if known.record.ready and known.record.zone not in zones_out
        ]

    def copy_sources(self, service):
        """Return the addresses of servers to copy parts from, by id.

        Those that are leaving or in zones without new work are among them.
        """
        return {
            known.record.id: known.record.address
            for known in self.directory.servers_of(service)
            if not self._is_doubtful(known.record.id)
        }

    def is_cold(self, state):
        """Return whether a server is cold."""
        now = self.clock()
        known = self.directory.servers_by_id.get(state.record.id)
        listed = known.cold_until_s if known is not None else 0.0
        return max(listed, state.cold_until_s) > now

    def server_view(self, state):
        """Return a :class:`~boragetrail.policy.leastloaded.ServerView`."""
        record = state.record
        load = state.in_flight + self.peers.load(record.id).requests
        in_zone = record.zone == self.zone
        doubt = int(state.is_suspect())
        rate = self._failure_rate(state)
        return ServerView(record.id, load, in_zone, doubt, rate)

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
            int(state.is_suspect()),
            self._failure_rate(state),
        )

    def _failure_rate(self, state):
        failures, answers = state.outcomes.counts()
        others = self.peers.load(state.record.id)
        return failure_rate(
            failures + others.failures, answers + others.answers
        )

    def loads_by_id(self):
        """Return (requests, pending tokens) of each server in use."""
        return {
            key: (state.in_flight, state.pending_tokens)
            for key, state in self.states_by_id.items()
            if state.in_flight
        }

    def work(self):
        """Return (server key, requests, pending tokens) of these."""
        return [
            (server_key(key), *load)
            for key, load in self.loads_by_id().items()
        ]

    def outcomes(self):
        """Return (server key, failures, answers) of servers lately used."""
        counts = [
            (server_key(key), *state.outcomes.counts())
            for key, state in self.states_by_id.items()
        ]
        return [each for each in counts if each[2]]

    def abort_unlisted_attempts(self):
        """End the attempts at servers that are gone and silent.

        Such a server is not listed any more, or another run of it is. One
        that leaves as planned goes on with what it has begun and is not
        silent.
        """
        listed = self.directory.servers_by_id
        self.replaced_states = [
            each for each in self.replaced_states if each.attempts
        ]
        gone = [
            state
            for key, state in self.states_by_id.items()
            if key not in listed
        ]
        for state in self.replaced_states + gone:
            for attempt in list(state.attempts):
                if attempt.silent_s() >= self.MAX_UNLISTED_SILENCE_S:
                    log_event(
                        Event.SERVER_UNRESPONSIVE,
                        request=attempt.request_id,
                        server=state.record.id,
                        silent_s=round(attempt.silent_s(), 2),
                    )
                    attempt.reset()

    def remove_unlisted(self):
        """Close the connections to servers that are no longer listed."""
        listed = self.directory.servers_by_id
        gone = [
            key
            for key, state in self.states_by_id.items()
            if key not in listed and not state.in_flight
        ]
        for key in gone:
            self.states_by_id.pop(key).pool.close()
            self.prefix_index.remove_engine(key)

    def close(self):
        """Close all idle connections."""
        for state in self.states_by_id.values():
            state.pool.close()

    def _is_doubtful(self, server_id):
        state = self.states_by_id.get(server_id)
        return state is not None and state.is_suspect()

    def _state(self, known):
        record = known.record
        state = self.states_by_id.get(record.id)
        if state is None or not _is_same_run(state.record, record):
            self.prefix_index.remove_engine(record.id)
            if state is not None:
                self.replaced_states.append(state)
            state = ServerState(record, self.clock)
            self.states_by_id[record.id] = state
        state.record = record
        return state


def _is_same_run(held, listed):
    same_address = held.address == listed.address
    return same_address and held.started_ms == listed.started_ms
