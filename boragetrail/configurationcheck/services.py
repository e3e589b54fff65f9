"""Checks for services that are ambiguous or unused."""

from boragetrail.configurationcheck.document import Finding, Severity, quoted
from boragetrail.configurationcheck.routes import reachable_services

__all__ = ["check_services"]


def check_services(document):
    """Yield the findings of the services of a document."""
    used = set().union(*map(reachable_services, document.routes))
    numbers_by_name = {}
    for number, service in enumerate(document.services):
        path = f"services[{number}]"
        first = numbers_by_name.setdefault(service.name, number)
        if first != number:
            yield Finding(
                Severity.ERROR,
                path,
                f"name {quoted(service.name)} is that of services[{first}]",
            )
        elif service.name not in used:
            yield Finding(
                Severity.WARNING,
                path,
                f"service {quoted(service.name)} gets no request of any route",
            )
        if not service.max_connections:
            yield Finding(
                Severity.ERROR, path, "its servers accept no connection"
            )
