"""All checks of one document."""

from boragetrail.configurationcheck.customers import check_customers
from boragetrail.configurationcheck.limits import check_limits
from boragetrail.configurationcheck.routes import check_routes
from boragetrail.configurationcheck.services import check_services

__all__ = ["check_document"]


def check_document(document, server_counts=None):
    """Return the findings of a document.

    :param document:
        :class:`~boragetrail.configurationcheck.document.ConfigurationDocument`
    :param server_counts: number of servers by name of the service; services
        without one are not compared with it
    :returns: list of :class:`~boragetrail.configurationcheck.document.Finding`
    """
    return [
        *check_routes(document),
        *check_services(document),
        *check_customers(document),
        *check_limits(document, server_counts or {}),
    ]
