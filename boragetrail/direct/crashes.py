"""Detection of servers that crash while they respond to requests."""

import asyncio

import xxhash

from boragetrail.direct.begunresponses import BegunResponses
from boragetrail.direct.counts import run_key
from boragetrail.direct.phases import ResponsePhase
from boragetrail.events import Event, log_event
from boragetrail.policy.crashrecords import Trial, is_request_key

__all__ = ["CrashMonitor", "log_quarantine", "shared_parts"]

MAX_PART_LENGTH = 32


class CrashMonitor:
    """Observe crashes of servers and keep out requests that cause them.

    A server crashed if its host refuses a new connection after a connection
    to it was lost. If the check opens a connection, the server's pool keeps
    it. Any other result of the check says nothing about the server, since
    the network may be the cause.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param quarantine: :class:`~boragetrail.policy.quarantine.PromptQuarantine`
    :param gossip: :class:`~boragetrail.direct.recordgossip.RecordGossip`
    :param metrics: :class:`~boragetrail.direct.metrics.DirectMetrics`
    :param tasks: :class:`~boragetrail.utils.BackgroundTasks`
    :ivar begun_responses:
        :class:`~boragetrail.direct.begunresponses.BegunResponses`
    :ivar checks_by_address: running checks by the server's address
    :ivar on_report: function that gets each report of this router
    :ivar loaded: set when requests need not wait for saved reports
    """

    # A response that had its first event at most so long before the crash
    # counts in full against its parts, and in part if it was earlier.
    JUST_PROGRESSED_S = 0.025
    # Longest time that a retry waits for the check.
    MAX_CHECK_S = 0.05

    def __init__(self, directory, quarantine, gossip, metrics, tasks):
        self.directory = directory
        self.quarantine = quarantine
        self.gossip = gossip
        self.metrics = metrics
        self.tasks = tasks
        self.begun_responses = BegunResponses()
        self.checks_by_address = {}
        self.on_report = lambda report: None
        self.loaded = asyncio.Event()
        self.loaded.set()

    async def wait_until_loaded(self):
        """Wait until the crashes before this router's start are known."""
        await self.loaded.wait()

    def admit(self, request, parts):
        """Decide whether a request may be sent to a server.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param parts: ids of the shared parts of its prompt
        :returns: :class:`~boragetrail.policy.quarantine.Admission`
        """
        admission = self.quarantine.admit(parts, self.gossip.peers.rank)
        if admission.is_trial:
            log_event(
                Event.PART_TRIED, request=request.id, part=admission.part
            )
            trial_s = self.quarantine.trial_s_by_part[admission.part]
            self.gossip.send_now(Trial(admission.part, trial_s))
        return admission

    def response_progressed(self, attempt):
        """Record that the first event, or all of a body, has arrived.

        :param attempt: :class:`~boragetrail.direct.attempt.Attempt`
        """
        self.begun_responses.add(attempt)

    def check_begun(self):
        """Record which servers have survived the begin of a response.

        A server runs if a connection to it is open. If there is none, it is
        checked. Call this at intervals.
        """
        due_by_server = {}
        for attempt in self.begun_responses.advance():
            if attempt.server.has_connection():
                self._record_survival(attempt)
            else:
                due_by_server.setdefault(attempt.server, []).append(attempt)
        for server in self.begun_responses.servers():
            if not server.has_connection():
                due_by_server.setdefault(server, [])
        for server, due in due_by_server.items():
            self.tasks.start(self._check_begun(server, due), "begun responses")

    def response_lost(self, request, progress):
        """Check the server of an attempt whose connection was lost.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :returns: ``asyncio.Task`` whose result is whether the server crashed
        """
        return self.tasks.start(
            self._check_lost(request, progress.attempt, progress.parts),
            "lost response",
        )

    async def may_crash_again(self, progress, check):
        """Return whether a retry of a request may crash another server.

        The request as a whole is not known to be sound or not before it has
        come again, so it is only judged by the parts that it shares.

        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :param check: task of :meth:`response_lost`
        """
        if progress.attempt.survived:
            return False
        shared = [part for part in progress.parts if not is_request_key(part)]
        if self.quarantine.are_known(shared):
            return False
        await asyncio.wait([check], timeout=self.MAX_CHECK_S)
        return check.done() and not check.cancelled() and check.result()

    async def _check_lost(self, request, attempt, parts):
        server = attempt.server
        phase = attempt.phase
        was_in_use = self._is_in_use(server)
        crashed = await asyncio.shield(self._check(server))
        log_event(
            Event.RESPONSE_LOST,
            request=request.id,
            server=server.record.id,
            phase=phase.value,
            progressed_for_s=attempt.progressed_for_s(),
            crashed=crashed,
            parts=parts,
        )
        self.metrics.record_lost_response(phase, crashed)
        if crashed:
            if was_in_use and attempt.progressed_s is None:
                begun = phase is ResponsePhase.BEGUN
                self._report(server.record, parts, begun, progressed=False)
            self._report_begun(server, was_in_use)
        return crashed

    async def _check_begun(self, server, due):
        """Check a server to which no connection is open.

        :param due: attempts at it that are not held any longer
        """
        was_in_use = self._is_in_use(server)
        if await asyncio.shield(self._check(server)):
            self._report_begun(server, was_in_use, due)
        elif server.has_connection():
            for attempt in due:
                self._record_survival(attempt)

    def _record_survival(self, attempt):
        attempt.survived = True
        self.quarantine.survived(attempt.parts, attempt.progressed_s)

    def _report_begun(self, server, was_in_use, due=()):
        """Report the responses that a crashed server had just begun."""
        for attempt in [*due, *self.begun_responses.take(server)]:
            if was_in_use:
                self._report(
                    server.record,
                    attempt.parts,
                    begun=attempt.progressed_for_s() <= self.JUST_PROGRESSED_S,
                    progressed=True,
                )

    def _is_in_use(self, server):
        """Return whether a server is listed and not shutting down.

        A server that shuts down may end its last responses and exit.
        """
        record = server.record
        leaving = server.knowledge.leaving
        if record in leaving or leaving.is_hinted(record):
            return False
        listed = self.directory.servers_by_id.get(record.id)
        return listed is not None and listed.record.ready

    def _report(self, record, parts, begun, progressed):
        report = self.quarantine.make_report(
            run_key(record), parts, begun, progressed
        )
        if report is not None and self.quarantine.add_crash(report):
            self.gossip.send_now(report)
            self.on_report(report)

    def _check(self, server):
        """Return the task that checks a server; one at a time for each.

        :param server: :class:`~boragetrail.direct.serverstate.ServerState`
        """
        address = server.record.address
        check = self.checks_by_address.get(address)
        if check is None:
            check = self.tasks.start(
                _refuses_connections(server.pool), "crash check"
            )
            self.checks_by_address[address] = check
            check.add_done_callback(
                lambda _: self.checks_by_address.pop(address)
            )
        return check


def log_quarantine(held, released):
    """Log the parts that were quarantined or left the quarantine."""
    for part in held:
        log_event(Event.PART_HELD, part=part)
    for part in released:
        log_event(Event.PART_RELEASED, part=part)


def shared_parts(prompt):
    """Return the ids of the parts that other prompts may contain.

    The last part is unique to the request. Long ids are replaced by a hash.

    :param prompt: list of (id, tokens)

    >>> shared_parts([("base", 800), ("x" * 40, 10), ("own", 20)])
    ['base', '926f564e1b3e18d5']
    """
    return [
        part
        if len(part) <= MAX_PART_LENGTH and not is_request_key(part)
        else xxhash.xxh64_hexdigest(part.encode())
        for part, _ in prompt[:-1]
    ]


async def _refuses_connections(pool):
    try:
        connection = await pool.open()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    pool.release(connection)
    return False
