"""One attempt of a request on a backend server."""

__all__ = ["Attempt"]


class Attempt:
    """Hold one attempt of a request that the agent has admitted.

    :ivar dispatch: :class:`~boragetrail.wire.messages.Dispatch`
    :ivar entry: entry of the ledger
    :ivar stream: :class:`~boragetrail.agent.stream.AnswerStream`
    :ivar queue_entry: entry of the admission queue
    :ivar reader_count: number of connections that read the answer
    :ivar started_s: monotonic time at which the request was sent to the
        backend server, or ``None`` while the request waits
    :ivar refusal: refusal of the attempt after admission, or ``None``
    """

    __slots__ = (
        "dispatch",
        "entry",
        "stream",
        "queue_entry",
        "task",
        "reader_count",
        "started_s",
        "refusal",
        "deadline_s",
    )

    def __init__(self, dispatch, entry, stream, deadline_s):
        self.dispatch = dispatch
        self.entry = entry
        self.stream = stream
        self.queue_entry = None
        self.task = None
        self.reader_count = 0
        self.started_s = None
        self.refusal = None
        self.deadline_s = deadline_s

    @property
    def is_order(self):
        """Return whether the attempt is an order that runs at most once."""
        return bool(self.dispatch.order_id)
