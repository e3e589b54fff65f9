"""What happened to a request so far, and its work at a server."""

from boragetrail.direct.eventstream import EventSplitter

__all__ = ["PendingWork", "RequestProgress"]


class RequestProgress:
    """Hold what happened to a request so far.

    :ivar prompt: parts of the prompt as (id, tokens); empty if none
    :ivar tried: ids of servers that were tried
    :ivar arrivals: number of attempts that were sent
    :ivar runs: number of attempts that may have run
    :ivar attempt: the attempt in hand, or ``None``
    :ivar work: its :class:`PendingWork`, or ``None``
    :ivar events: events of a stream that the caller has
    :ivar failed: an answer with an error of a server, kept in case that
        the repeat does not run: (status, fields, body)
    """

    __slots__ = (
        "prompt",
        "tried",
        "tries",
        "arrivals",
        "runs",
        "attempt",
        "work",
        "events",
        "failed",
    )

    def __init__(self, prompt):
        self.prompt = prompt
        self.tried = set()
        self.tries = 0
        self.arrivals = 0
        self.runs = 0
        self.attempt = None
        self.work = None
        self.events = EventSplitter()
        self.failed = None


class PendingWork:
    """Count a request at a server until it ends.

    :param state: :class:`~boragetrail.direct.fleet.ServerState`
    :param tokens: prompt tokens that the server has to read for it
    """

    __slots__ = ("state", "tokens")

    def __init__(self, state, tokens):
        self.state = state
        self.tokens = tokens
        state.in_flight += 1
        state.pending_tokens += tokens

    def prefill_finished(self):
        """Note that the prompt was read."""
        self.state.pending_tokens -= self.tokens
        self.tokens = 0

    def end(self):
        """Note that the request ended."""
        self.prefill_finished()
        self.state.in_flight -= 1
