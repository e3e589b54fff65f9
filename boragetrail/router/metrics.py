"""Metrics of a router."""

import aioprometheus

__all__ = ["RouterMetrics"]

DURATION_BUCKETS_S = [
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.43,
    1.0,
    2.5,
    10.0,
]


class RouterMetrics:
    """Hold the counters, histograms and gauges of a router."""

    def __init__(self):
        self.outcomes_by_code = {}
        self.requests = aioprometheus.Counter(
            "boragetrail_requests_total",
            "Requests by service and reason code.",
        )
        self.duration = aioprometheus.Histogram(
            "boragetrail_request_seconds",
            "Time until the whole answer was written.",
            buckets=DURATION_BUCKETS_S,
        )
        self.version = aioprometheus.Gauge(
            "boragetrail_configuration_version",
            "Version of configuration in force.",
        )
        self.fresh = aioprometheus.Gauge(
            "boragetrail_configuration_fresh",
            "1 while the configuration is confirmed as current.",
        )
        self.in_flight = aioprometheus.Gauge(
            "boragetrail_requests_in_flight", "Requests in flight."
        )

    def record_request(self, code, service, took_s):
        """Record the outcome and the duration of one request.

        :param code: reason code, or ``ok``
        :param service: name of the service
        :param took_s: time until the answer was complete, in seconds
        """
        counts = self.outcomes_by_code
        counts[code] = counts.get(code, 0) + 1
        self.requests.inc({"code": code, "service": service})
        self.duration.observe({"service": service}, took_s)

    def update(self, router):
        """Set the gauges from a router's state."""
        self.version.set({}, router.doc.version)
        self.fresh.set({}, int(router.configuration.is_fresh()))
        self.in_flight.set({}, router.in_flight)
