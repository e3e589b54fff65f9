"""Checks for limits that contradict each other."""

from boragetrail.configurationcheck.document import Finding, Severity, quoted
from boragetrail.configurationcheck.routes import reachable_services
from boragetrail.direct.dispatch import MAX_TOTAL_ATTEMPTS

__all__ = ["check_limits"]


def check_limits(document, server_counts):
    """Yield the findings of the limits of a document and of its routes.

    :param server_counts: number of servers by name of the service
    """
    limits = document.limits
    for name, value in (
        ("size of header fields", limits.header_bytes),
        ("time to read header fields", limits.header_timeout_s),
        ("idle time", limits.idle_timeout_s),
    ):
        if not value:
            text = f"the {name} is limited to 0: no request is accepted"
            yield Finding(Severity.ERROR, "limits", text)
    if limits.header_timeout_s > limits.idle_timeout_s:
        text = (
            f"the time to read header fields ({limits.header_timeout_s:g} s) "
            f"is longer than the idle time ({limits.idle_timeout_s:g} s)"
        )
        yield Finding(Severity.WARNING, "limits", text)
    for number, route in enumerate(document.routes):
        path = f"routes[{number}]"
        yield from _check_times(path, route)
        yield from _check_attempts(path, route, server_counts)


def _check_times(path, route):
    if not route.timeout_s:
        text = "the timeout is 0: no request is served"
        yield Finding(Severity.ERROR, path, text)
    elif route.goal_s > route.timeout_s:
        text = (
            f"the goal ({route.goal_s:g} s) is longer than the timeout "
            f"({route.timeout_s:g} s)"
        )
        yield Finding(Severity.WARNING, path, text)


def _check_attempts(path, route, server_counts):
    attempts = route.max_attempts
    if not attempts:
        text = "the number of attempts is 0"
        yield Finding(Severity.ERROR, path, text)
    if attempts > 1 and not route.retryable:
        text = f"{attempts} attempts, but its requests must not be repeated"
        yield Finding(Severity.WARNING, path, text)
    if attempts > MAX_TOTAL_ATTEMPTS:
        text = (
            f"{attempts} attempts, but at most {MAX_TOTAL_ATTEMPTS} are made"
        )
        yield Finding(Severity.WARNING, path, text)
    for service in sorted(reachable_services(route)):
        count = server_counts.get(service)
        if count is not None and attempts > count:
            text = (
                f"{attempts} attempts, but service {quoted(service)} has "
                f"{count} servers"
            )
            yield Finding(Severity.WARNING, path, text)
