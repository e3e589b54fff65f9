"""The progress of a request and its pending work at a server."""

from boragetrail.direct.eventstream import EventSplitter

__all__ = ["PendingWork", "RequestProgress"]


class RequestProgress:
    """Hold what happened to a request so far.

    :ivar prompt: parts of the prompt as (id, tokens); empty if none
    :ivar tried_ids: ids of the servers that were tried
    :ivar tries: number of attempts
    :ivar attempts_sent: number of attempts whose request was sent
    :ivar possible_executions: number of attempts that may have been executed
    :ivar attempt: the current attempt, or ``None``
    :ivar pending_work: its :class:`PendingWork`, or ``None``
    :ivar events: splitter of the stream; knows the caller's last event
    :ivar server_error: (status, fields, body) of a server's last error
        response, forwarded if no retry succeeds; ``None`` if there is none
    """

    __slots__ = (
        "prompt",
        "tried_ids",
        "tries",
        "attempts_sent",
        "possible_executions",
        "attempt",
        "pending_work",
        "events",
        "server_error",
    )

    def __init__(self, prompt):
        self.prompt = prompt
        self.tried_ids = set()
        self.tries = 0
        self.attempts_sent = 0
        self.possible_executions = 0
        self.attempt = None
        self.pending_work = None
        self.events = EventSplitter()
        self.server_error = None


class PendingWork:
    """Count a request in the state of its server until it ends.

    :param state: :class:`~boragetrail.direct.fleet.ServerState`
    :param tokens: prompt tokens that the server must process for it
    """

    __slots__ = ("state", "tokens")

    def __init__(self, state, tokens):
        self.state = state
        self.tokens = tokens
        state.in_flight += 1
        state.pending_tokens += tokens

    def prefill_finished(self):
        """Record that the server has processed the prompt."""
        self.state.pending_tokens -= self.tokens
        self.tokens = 0

    def end(self):
        """Record that the request ended."""
        self.prefill_finished()
        self.state.in_flight -= 1
