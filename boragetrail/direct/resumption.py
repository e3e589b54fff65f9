"""Software versions at which streams may go on."""

from boragetrail.direct.fleet import is_same_run
from boragetrail.direct.progress import StreamVersion
from boragetrail.errors import Refusal
from boragetrail.reasons import Reason

__all__ = ["StreamVersions"]

# Retry-After if just the list of servers may be out of date.
MIN_RETRY_AFTER_S = 0.3


class StreamVersions:
    """Decide at which version of the servers a stream may go on.

    What servers of two versions write does not fit together, so a stream
    goes on at the version that began it, and is refused if that is unknown.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param confirmation:
        :class:`~boragetrail.direct.listconfirmation.ListConfirmation`
    """

    def __init__(self, fleet, names, confirmation):
        self.fleet = fleet
        self.names = names
        self.confirmation = confirmation

    async def require(self, request, progress):
        """Set the version at which a resumed stream must go on.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :returns: :class:`~boragetrail.errors.Refusal` if it is unknown, else
            ``None``
        """
        if not request.route.resumable or not self._resumes(request):
            return None
        origins = self.fleet.knowledge.streams
        resumed = self._header(request, self.names.resumed_request)
        origin = await origins.find(resumed) if resumed else None
        if origin is not None:
            progress.version = origin.version
            return None
        progress.version = await self._only_version(request.service.name)
        if progress.version is None:
            wait_s = self._wait_s(request.service.name)
            return Refusal(
                Reason.STREAM_UNKNOWN,
                f"request {resumed!r}",
                retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
            )
        return None

    async def may_go_on(self, progress, attempt):
        """Return whether a stream may go on at the server of an attempt.

        What is listed of the server must hold for the run that accepted the
        connection.

        :param attempt: :class:`~boragetrail.direct.attempt.Attempt` with an
            open connection
        """
        opened_s = attempt.connection.opened_s
        if not await self.confirmation.is_current_since(opened_s):
            return False
        return self._listed_version(attempt.server) == progress.version

    def sent(self, request, attempt):
        """Record that a request for a new stream is sent to a server.

        :param attempt: :class:`~boragetrail.direct.attempt.Attempt` with an
            open connection
        """
        if not request.route.resumable or self._resumes(request):
            return
        if not self._is_doubtful(attempt):
            version = attempt.server.record.version
            self.fleet.knowledge.streams.expect(request.id, version)

    async def begun(self, request, progress, attempt):
        """Record that the first event of a stream is sent to the caller.

        :param attempt: :class:`~boragetrail.direct.attempt.Attempt` that
            brought it
        """
        if not request.route.resumable:
            return
        if progress.version is None:
            progress.version = await self._version(attempt)
        if progress.version is StreamVersion.UNKNOWN:
            return
        resumed = self._header(request, self.names.resumed_request)
        if not self._resumes(request):
            self.fleet.knowledge.streams.add(request.id, progress.version)
        elif resumed:
            self.fleet.knowledge.streams.add(resumed, progress.version)

    async def _version(self, attempt):
        """Return the version of the server that responds to an attempt."""
        connection, state = attempt.connection, attempt.server
        if self._is_doubtful(attempt):
            is_current = self.confirmation.is_current_since
            if not await is_current(connection.opened_s):
                return StreamVersion.UNKNOWN
            if self._listed_version(state) != state.record.version:
                return StreamVersion.UNKNOWN
        return state.record.version

    def _is_doubtful(self, attempt):
        """Return whether another run may have accepted a connection.

        The server may have started again since the list was confirmed, if a
        failure was seen since, or if the list is old.
        """
        opened_s = attempt.connection.opened_s
        state = attempt.server
        if opened_s <= self.confirmation.confirmed_s:
            return self._listed_version(state) != state.record.version
        failed_s = state.suspicion.failed_s
        if failed_s > self.confirmation.confirmed_s:
            return opened_s > failed_s
        return not self.confirmation.is_recent()

    def _listed_version(self, state):
        """Return the version of the listed run of a server.

        :returns: version, or ``None`` if another run is listed
        """
        known = self.fleet.directory.servers_by_id.get(state.record.id)
        if known is None or not is_same_run(state.record, known.record):
            return None
        return known.record.version

    def _resumes(self, request):
        return bool(
            self._header(request, self.names.last_event_id)
            or self._header(request, self.names.resumed_request)
        )

    async def _only_version(self, service):
        """Return the version of all streams of a service, or ``None``.

        Servers of another version may have joined while this router was out
        of step, so the list has to be current now.
        """
        now_s = self.fleet.clock()
        if not await self.confirmation.is_current_since(now_s):
            return None
        history = self.fleet.directory.version_history
        return history.only_version(service, self._listed(service))

    def _wait_s(self, service):
        """Return after how long a stream of a service may be resumed."""
        history = self.fleet.directory.version_history
        return history.wait_s(service, self._listed(service))

    def _listed(self, service):
        servers = self.fleet.directory.servers_of(service)
        return {known.record.version for known in servers}

    @staticmethod
    def _header(request, name):
        return request.http_request.headers.get(name, "")
