"""History of the software versions that services had."""

__all__ = ["VersionHistory"]


class VersionHistory:
    """Tell which software versions a stream of unknown origin may be of.

    Streams of a version may still be resumed for a while after its last
    server has left. A router that starts knows only the servers that are
    there now, so it needs what earlier routers saved.

    :param clock: function that returns monotonic seconds
    :ivar started_s: monotonic time from which on this router has seen all
        changes
    :ivar loaded: services whose saved history is known
    :ivar seen_s_by_service: monotonic time at which each version was in
        service last, by service and version

    >>> now = [100.0]
    >>> history = VersionHistory(lambda: now[0])
    >>> history.only_version("chat", {"v2"}) is None
    True
    >>> history.load("chat", {"v1": 10.0})
    >>> history.only_version("chat", {"v2"}) is None
    True
    >>> now[0] = 130.0
    >>> history.only_version("chat", {"v2"})
    'v2'
    """

    # Longest time from the first event of a stream to its resumption.
    STREAM_LIFE_S = 30.0

    def __init__(self, clock):
        self.clock = clock
        self.started_s = clock()
        self.loaded = set()
        self.seen_s_by_service = {}

    def record(self, service, version):
        """Record that a version is in service now.

        :param service: name of the service
        :param version: software version of one of its servers
        """
        seen_s = self.seen_s_by_service.setdefault(service, {})
        seen_s[version] = self.clock()

    def load(self, service, ages_s_by_version):
        """Add what an earlier router saved.

        :param service: name of the service
        :param ages_s_by_version: seconds since each version was in service
        """
        now_s = self.clock()
        seen_s = self.seen_s_by_service.setdefault(service, {})
        for version, age_s in ages_s_by_version.items():
            seen_s[version] = max(seen_s.get(version, 0.0), now_s - age_s)
        self.loaded.add(service)

    def versions(self, service, listed):
        """Return the versions of which streams may be resumed.

        :param service: name of the service
        :param listed: set of the versions of the servers that are there now
        """
        oldest_s = self.clock() - self.STREAM_LIFE_S
        seen_s = self.seen_s_by_service.get(service, {})
        recent = {
            version for version, last_s in seen_s.items() if last_s > oldest_s
        }
        return recent | listed

    def only_version(self, service, listed):
        """Return the version of all streams of a service.

        :returns: version, or ``None`` if there are several, or if the
            history is not known
        """
        if self._unknown_s(service):
            return None
        versions = self.versions(service, listed)
        return next(iter(versions)) if len(versions) == 1 else None

    def wait_s(self, service, listed):
        """Return after how long there may be only one version of streams.

        :returns: seconds, at most ``STREAM_LIFE_S``
        """
        if len(listed) > 1:
            return self.STREAM_LIFE_S
        now_s = self.clock()
        gone_s = [
            seen_s + self.STREAM_LIFE_S - now_s
            for version, seen_s in self.seen_s_by_service.get(
                service, {}
            ).items()
            if version not in listed
        ]
        return max(0.0, self._unknown_s(service), *gone_s)

    def _unknown_s(self, service):
        """Return how long the history is not known yet, or 0."""
        if service in self.loaded:
            return 0.0
        uptime_s = self.clock() - self.started_s
        return max(0.0, self.STREAM_LIFE_S - uptime_s)
