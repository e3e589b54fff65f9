"""Progress of a request, and the work of its attempts at servers."""

import dataclasses
import enum

from boragetrail.direct.eventstream import EventSplitter

__all__ = [
    "PendingWork",
    "RequestProgress",
    "ServiceSurvey",
    "StreamVersion",
]


class StreamVersion(enum.Enum):
    """Stands for a software version that is no version of any server."""

    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSurvey:
    """Hold what a selection knew of all ready servers of a service.

    :param mean: mean number of known requests
    :param left_out: number of servers that could not be selected
    :param doubted: number of servers that are suspect
    :param limited: number of servers that limit their rate
    :param cold: number of servers that are cold
    """

    mean: float = 0.0
    left_out: int = 0
    doubted: int = 0
    limited: int = 0
    cold: int = 0


class RequestProgress:
    """Hold what happened to a request so far.

    :ivar prompt: parts of the prompt as (id, tokens); empty if none
    :ivar parts: ids of the parts that other prompts may contain, then the key
        of the request as a whole
    :ivar is_trial: whether the next attempt tries a quarantined part
    :ivar counted_s: monotonic time at which the last attempt was counted
        against the limit of its server
    :ivar wait_s: seconds until the first server of the service takes a
        request, when one was last selected
    :ivar room_wait_s: seconds until some server has room again, if none had
        when one was last selected, else 0
    :ivar refusal: :class:`~boragetrail.errors.Refusal` of the filter that left
        no server in the last selection, or ``None``
    :ivar admission:
        :class:`~boragetrail.direct.admission.AdmissionTicket`, or ``None``
        before the gate has seen the request
    :ivar mean_load: mean known number of requests of the engines among which
        the last one was selected
    :ivar survey: :class:`ServiceSurvey` of that selection
    :ivar detours: :class:`~boragetrail.direct.zones.Detours` of that
        selection, or ``None`` if zones did not matter
    :ivar crossing: why the selected server is in another zone, or empty
    :ivar media_type: type of the content of the stream that has started
    :ivar stream_begun: whether the caller got an event
    :ivar version: software version at which its stream must go on, ``None``
        if any will do, or ``StreamVersion.UNKNOWN`` if none will
    :ivar tried_ids: ids of the servers that were tried
    :ivar attempt_count: number of attempts, also of those whose connection
        failed before the request was sent
    :ivar attempts_sent: number of attempts that sent the request
    :ivar possible_executions: number of attempts that the server executed
        or may have executed
    :ivar attempt: the last :class:`~boragetrail.direct.attempt.Attempt`, or
        ``None`` before the first
    :ivar pending_work: :class:`PendingWork` of that attempt, or ``None``
    :ivar splitter: :class:`~boragetrail.direct.eventstream.EventSplitter` of
        the stream; its ``last_id`` is that of the last event that the caller
        received
    :ivar server_error: (status, fields, body) of a server's last error
        response, forwarded if no retry succeeds; ``None`` if there is none
    """

    __slots__ = (
        "prompt",
        "parts",
        "is_trial",
        "counted_s",
        "wait_s",
        "room_wait_s",
        "refusal",
        "admission",
        "mean_load",
        "survey",
        "detours",
        "crossing",
        "media_type",
        "stream_begun",
        "version",
        "tried_ids",
        "attempt_count",
        "attempts_sent",
        "possible_executions",
        "attempt",
        "pending_work",
        "splitter",
        "server_error",
    )

    def __init__(self, prompt, parts):
        self.prompt = prompt
        self.parts = parts
        self.is_trial = False
        self.counted_s = None
        self.wait_s = 0.0
        self.room_wait_s = 0.0
        self.refusal = None
        self.admission = None
        self.mean_load = 0.0
        self.survey = ServiceSurvey()
        self.detours = None
        self.crossing = ""
        self.media_type = ""
        self.stream_begun = False
        self.version = None
        self.tried_ids = set()
        self.attempt_count = 0
        self.attempts_sent = 0
        self.possible_executions = 0
        self.attempt = None
        self.pending_work = None
        self.splitter = EventSplitter()
        self.server_error = None


class PendingWork:
    """Hold what one attempt adds to the load of its server until it ends.

    :param state: :class:`~boragetrail.direct.serverstate.ServerState`
    :param tokens: prompt tokens that the server must process
    :ivar ended_s: monotonic time at which it ended, or ``None`` before
    """

    __slots__ = ("state", "tokens", "is_trial", "ended_s")

    def __init__(self, state, tokens):
        self.state = state
        self.tokens = tokens
        self.ended_s = None
        self.is_trial = state.suspicion.try_begin_trial()
        state.in_flight += 1
        state.pending_tokens += tokens

    def prefill_finished(self):
        """Remove the prompt tokens, since the server has processed them."""
        self.state.pending_tokens -= self.tokens
        self.tokens = 0

    def end(self):
        """Remove the attempt from the load of the server, at most once."""
        if self.ended_s is not None:
            return
        self.ended_s = self.state.clock()
        self.prefill_finished()
        self.state.in_flight -= 1
        if self.is_trial:
            self.state.suspicion.end_trial()
