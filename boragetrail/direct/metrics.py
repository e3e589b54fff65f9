"""Metrics of a router on the direct path."""

import aioprometheus

__all__ = ["DirectMetrics"]

BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0]


class DirectMetrics:
    """Holds the counters and histograms of requests."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.requests = aioprometheus.Counter(
            "boragetrail_requests_total",
            "Requests by service and reason code.",
            registry=self.registry,
        )
        self.duration = aioprometheus.Histogram(
            "boragetrail_request_seconds",
            "Time until the whole answer was written.",
            buckets=BUCKETS_S,
            registry=self.registry,
        )

    def record_request(self, code, service, took_s):
        """Record one finished request.

        :param code: reason code
        :param service: name of the service
        :param took_s: seconds until the end of its response
        """
        self.requests.inc({"code": code, "service": service})
        self.duration.observe({"service": service}, took_s)

    def render(self, accepted):
        """Return (body, header fields) of the metrics.

        :param accepted: values of the request's ``Accept`` header
        """
        return aioprometheus.render(self.registry, accepted)
