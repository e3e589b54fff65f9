"""Knowledge of the runs of servers, whoever heard it."""

from boragetrail.direct.knowledge.leaving import LeavingServers
from boragetrail.direct.knowledge.pauses import PauseTable

__all__ = ["ServerKnowledge"]


class ServerKnowledge:
    """Hold what each run of a server has said of itself.

    A run is a server from one start to the next; a later run has said
    nothing yet. What is known of a run does not depend on its entry in the
    platform's store, which may vanish and come back.

    :param clock: function that returns monotonic seconds
    :param on_leaving: function that is called with the
        :class:`~boragetrail.direct.model.ServerRecord` of each server that
        says to this router for the first time that it leaves
    :ivar leaving:
        :class:`~boragetrail.direct.knowledge.leaving.LeavingServers`
    :ivar pauses: :class:`~boragetrail.direct.knowledge.pauses.PauseTable`
    """

    def __init__(self, clock, on_leaving=lambda record: None):
        self.clock = clock
        self.leaving = LeavingServers(on_leaving)
        self.pauses = PauseTable(clock)

    def accepts_requests(self, record):
        """Return whether a server wants new requests of this router.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        """
        if record in self.leaving:
            return False
        return not self.pauses.left_s(record)
