"""Log lines of the attempts of requests."""

from boragetrail.events import Event, log_event

__all__ = ["RequestLog"]


class RequestLog:
    """Log what happens to a request between its arrival and its end.

    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param clock: function that returns monotonic seconds
    """

    __slots__ = ("peers", "names", "clock")

    def __init__(self, peers, names, clock):
        self.peers = peers
        self.names = names
        self.clock = clock

    def sent(self, request, progress, state, plan):
        """Log the selected server and the inputs of the selection."""
        peers, survey = self.peers, progress.survey
        request.selection = {
            "server": state.record.id,
            "tries": progress.attempt_count,
            "software": state.record.version,
        }
        inputs = {
            "in_flight": state.in_flight,
            "others": peers.load(state.record.id).requests,
            "mean": round(progress.mean_load, 2),
            "service_mean": round(survey.mean, 2),
            "left_out": survey.left_out,
            "doubted": survey.doubted,
            "limited": survey.limited,
            "cold": survey.cold,
            "news_age_s": peers.newest_digest_age_s(),
            "doubtful": state.is_suspect(),
            "left_s": round(request.deadline_s - self.clock(), 3),
        }
        headers = request.http_request.headers
        resumed = headers.get(self.names.resumed_request)
        if resumed is not None:
            inputs["resumes"] = resumed
        if progress.prompt:
            inputs["unread_tokens"] = plan.prefill_tokens
            inputs["copied_from"] = plan.copy_from
        if progress.crossing:
            inputs["crosses"] = progress.crossing
        log_event(
            Event.REQUEST_SENT,
            request=request.id,
            service=request.service.name,
            **request.selection,
            **inputs,
        )

    def stream_started(self, request, attempt):
        """Log that the first part of a stream was forwarded."""
        log_event(
            Event.STREAM_STARTED,
            request=request.id,
            server=attempt.server.record.id,
            after_s=round(self.clock() - request.received_s, 3),
        )

    def retried(self, request, progress, failure, state):
        """Log an attempt that failed and is followed by another."""
        log_event(
            Event.REQUEST_RETRIED,
            request=request.id,
            server=state.record.id,
            code=failure.reason.code,
            detail=failure.detail,
            ran=failure.ran.value,
            tries=progress.attempt_count,
        )
