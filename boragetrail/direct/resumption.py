"""Software versions at which streams may go on."""

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

    def sent(self, request, record):
        """Record that a request for a new stream is sent to a server.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        """
        if request.route.resumable and not self._resumes(request):
            self.fleet.knowledge.streams.expect(request.id, record.version)

    def begun(self, request, progress, record):
        """Record that the first event of a stream is sent to the caller.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        """
        if not request.route.resumable:
            return
        progress.version = record.version
        resumed = self._header(request, self.names.resumed_request)
        if not self._resumes(request):
            self.fleet.knowledge.streams.add(request.id, record.version)
        elif resumed:
            self.fleet.knowledge.streams.add(resumed, record.version)

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
