"""Failures of requests, as far as no single attempt at a server tells."""

from boragetrail.errors import Failure, Refusal
from boragetrail.policy.versionhistory import VersionHistory
from boragetrail.reasons import Executed, Reason

__all__ = [
    "RETRY_AFTER_S",
    "deadline_failure",
    "no_server_failure",
    "overall_failure",
]

RETRY_AFTER_S = 0.3
# Callers that are refused during a pause of all servers return spread over
# this time after it.
RETURN_SPREAD_S = 0.5


def overall_failure(failure, progress):
    """Return what a failure of the last attempt says of all attempts.

    A refusal is only true of a request that no attempt may have executed.
    Its caller is always told when to come back.

    :param failure: :class:`~boragetrail.errors.Failure` or ``None``
    """
    if not isinstance(failure, Refusal):
        return failure
    if progress.possible_executions:
        return Failure(Reason.BACKEND_FAILED, failure.detail)
    retry_after_s = failure.retry_after_s or RETRY_AFTER_S
    return Refusal(failure.reason, failure.detail, failure.ran, retry_after_s)


def no_server_failure(request, progress, fleet, random):
    """Return the failure of a request for which no server is left.

    :param request: :class:`~boragetrail.direct.request.DirectRequest`
    :param progress: :class:`~boragetrail.direct.progress.RequestProgress`
    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param random: random generator that spreads the callers' return
    :returns: :class:`~boragetrail.errors.Failure`
    """
    if progress.possible_executions:
        detail = "no other server is available for the request"
        return Failure(Reason.BACKEND_FAILED, detail)
    if progress.refusal is not None:
        return progress.refusal
    service = request.service.name
    detail = f"service {service!r}"
    if progress.version not in (None, *fleet.versions(service)):
        detail = f"{detail}, version {progress.version!r}"
        life_s = VersionHistory.STREAM_LIFE_S
        return Refusal(Reason.VERSION_GONE, detail, Executed.NO, life_s)
    if progress.wait_s:
        wait_s = progress.wait_s + random.uniform(0, RETURN_SPREAD_S)
        paused = fleet.are_paused(service)
        reason = Reason.PAUSED if paused else Reason.LIMITED
        return Refusal(reason, detail, Executed.NO, wait_s)
    if progress.room_wait_s:
        wait_s = progress.room_wait_s + random.uniform(0, RETURN_SPREAD_S)
        return Refusal(Reason.OVERLOADED, detail, Executed.NO, wait_s)
    reason = Reason.OVERLOADED if progress.tried_ids else Reason.NO_SERVER
    if fleet.are_leaving(service):
        reason = Reason.LEAVING
    return Refusal(reason, detail, Executed.NO, RETRY_AFTER_S)


def deadline_failure(request, progress):
    """Return the failure of a request whose deadline has passed.

    :param request: :class:`~boragetrail.direct.request.DirectRequest`
    :param progress: :class:`~boragetrail.direct.progress.RequestProgress`
    :returns: :class:`~boragetrail.errors.Failure`
    """
    attempt = progress.attempt
    allowed_s = request.deadline_s - request.received_s
    detail = f"the {request.deadline_source} allowed {allowed_s:.2f} s"
    if progress.possible_executions or (
        attempt and attempt.executed() is not Executed.NO
    ):
        return Failure(Reason.DEADLINE, detail)
    detail = f"{detail}, and no server accepted the request"
    return Refusal(Reason.OVERLOADED, detail, Executed.NO, RETRY_AFTER_S)
