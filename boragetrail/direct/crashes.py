"""Detection of servers that crash while they respond to requests."""

from boragetrail.events import Event, log_event

__all__ = ["CrashMonitor"]


class CrashMonitor:
    """Check after lost responses whether their servers crashed.

    A server crashed if its host refuses a new connection. If the check opens
    a connection, the server's pool keeps it. Any other result of the check
    says nothing about the server, since the network may be the cause.

    :param metrics: :class:`~boragetrail.direct.metrics.DirectMetrics`
    :param tasks: :class:`~boragetrail.utils.BackgroundTasks`
    :ivar checks_by_address: running checks by the server's address
    """

    def __init__(self, metrics, tasks):
        self.metrics = metrics
        self.tasks = tasks
        self.checks_by_address = {}

    def response_lost(self, request, progress):
        """Check the server of an attempt whose connection was lost.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        """
        attempt = progress.attempt
        self._check(attempt.server).add_done_callback(
            lambda check: self._record(request, progress, attempt, check)
        )

    def _record(self, request, progress, attempt, check):
        crashed = not check.cancelled() and check.result()
        log_event(
            Event.RESPONSE_LOST,
            request=request.id,
            server=attempt.server.record.id,
            phase=attempt.phase.value,
            crashed=crashed,
            parts=[part for part, _ in progress.prompt],
        )
        self.metrics.record_lost_response(attempt.phase, crashed)

    def _check(self, server):
        """Return the task that checks a server; one at a time for each.

        :param server: :class:`~boragetrail.direct.fleet.ServerState`
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


async def _refuses_connections(pool):
    try:
        connection = await pool.open()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    pool.release(connection)
    return False
