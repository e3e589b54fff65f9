"""Reconnection to servers that could not be reached."""

from boragetrail.events import Event, log_event

__all__ = ["Reconnector"]


class Reconnector:
    """Open connections to unreachable servers until one opens.

    No request waits for these connections. Each server has at most one at a
    time, and the number at a time does not grow with the fleet.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param tasks: :class:`~boragetrail.utils.tasks.BackgroundTasks`
    :param random: random generator
    """

    INTERVAL_S = 0.1
    # A lost packet of a handshake is only sent again after a second, so a new
    # connection is quicker.
    TIMEOUT_S = 0.2
    MAX_CONNECTIONS = 8

    def __init__(self, fleet, tasks, random):
        self.fleet = fleet
        self.tasks = tasks
        self.random = random
        self.connecting = set()

    def reconnect(self):
        """Begin to open connections to some unreachable servers."""
        if not self.fleet.unreachable_states:
            return
        due = [
            state
            for state in self.fleet.servers_to_reconnect()
            if state not in self.connecting
        ]
        count = min(len(due), self.MAX_CONNECTIONS - len(self.connecting))
        for state in self.random.sample(due, count):
            self.connecting.add(state)
            self.tasks.start(self._connect(state), "reconnect")

    async def _connect(self, state):
        started_s = self.fleet.clock()
        try:
            connection = await state.pool.open(self.TIMEOUT_S)
        except OSError as exc:
            state.record_connection_failure(exc, started_s)
            return
        finally:
            self.connecting.discard(state)
        state.pool.release(connection)
        state.suspicion.record_connection()
        state.record_life()
        log_event(Event.SERVER_REACHABLE, server=state.record.id)
