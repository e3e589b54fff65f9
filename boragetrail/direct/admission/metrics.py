"""Metrics of the requests that were refused for want of places, or waited."""

import aioprometheus

__all__ = ["AdmissionMetrics"]


class AdmissionMetrics:
    """Count refused and waiting requests by service and priority.

    :param registry: ``aioprometheus.Registry`` of the router
    """

    def __init__(self, registry):
        self.refused = aioprometheus.Counter(
            "boragetrail_admission_refused_total",
            "Requests refused for want of places, by service and priority.",
            registry=registry,
        )
        self.waited = aioprometheus.Counter(
            "boragetrail_admission_waited_total",
            "Requests that waited for a place, by service and priority.",
            registry=registry,
        )
        self.queue_length = aioprometheus.Gauge(
            "boragetrail_admission_queue_length",
            "Requests that wait for a place, by service.",
            registry=registry,
        )

    def record_refused(self, service, priority):
        """Record a request that was refused for want of places.

        :param service: name of the service
        :param priority: priority of the request
        """
        self.refused.inc({"service": service, "priority": str(priority)})

    def record_waiting(self, service, priority):
        """Record a request that begins to wait for a place.

        :param service: name of the service
        :param priority: priority of the request
        """
        self.waited.inc({"service": service, "priority": str(priority)})

    def record_queue_length(self, service, length):
        """Record the number of requests that wait for a place.

        :param service: name of the service
        :param length: number of requests
        """
        self.queue_length.set({"service": service}, length)
