"""Metrics of a router on the direct path."""

import aioprometheus

__all__ = ["CrossingMetrics", "DirectMetrics"]

BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0]


class CrossingMetrics:
    """Holds the metrics of traffic between zones.

    :param registry: ``aioprometheus.Registry`` of the router's metrics
    """

    def __init__(self, registry):
        self.crossings = aioprometheus.Counter(
            "boragetrail_zone_crossings_total",
            "Attempts at servers of another zone, by service and cause.",
            registry=registry,
        )

    def record(self, service, cause):
        """Record an attempt at a server of another zone.

        :param service: name of the service
        :param cause: ``share``, ``cached``, ``limits`` or ``no-server``
        """
        self.crossings.inc({"service": service, "cause": cause})


class DirectMetrics:
    """Holds the metrics of requests, lost responses and store calls.

    :ivar rollout_requests: ``None`` unless the feature is on
    """

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

        self.unanswered_store_calls = aioprometheus.Counter(
            "boragetrail_unanswered_store_calls_total",
            "Calls to the store without a response, by their connection.",
            registry=self.registry,
        )
        self.lost_responses = aioprometheus.Counter(
            "boragetrail_lost_responses_total",
            "Responses whose connection was lost, by how far they had come.",
            registry=self.registry,
        )

        self.ejections = aioprometheus.Counter(
            "boragetrail_ejections_total",
            "Ejections of servers by this router.",
            registry=self.registry,
        )
        self.ejection_trials = aioprometheus.Counter(
            "boragetrail_ejection_trials_total",
            "Requests that this router sent to ejected servers as trials.",
            registry=self.registry,
        )
        self.rollout_requests = None

    def record_ejection(self, service):
        """Record the ejection of a server of a service."""
        self.ejections.inc({"service": service})

    def record_ejection_trial(self, service):
        """Record a request that tries an ejected server of a service."""
        self.ejection_trials.inc({"service": service})

    def count_rollouts(self):
        """Count the requests of rollouts from now on."""
        self.rollout_requests = aioprometheus.Counter(
            "boragetrail_rollout_requests_total",
            "Attempts during rollouts, by service, version and outcome.",
            registry=self.registry,
        )

    def record_rollout_request(self, service, version, outcome):
        """Record an attempt at a server of a service in a rollout.

        :param service: name of the service
        :param version: software version of the server
        :param outcome: how the response counts, or empty if it does not
        """
        labels = {"service": service, "version": version, "outcome": outcome}
        self.rollout_requests.inc(labels)

    def record_lost_response(self, phase, crashed):
        """Record a response whose connection to the server was lost.

        :param phase: :class:`~boragetrail.direct.phases.ResponsePhase`
        :param crashed: whether the server crashed
        """
        labels = {"phase": phase.value, "crashed": str(crashed).lower()}
        self.lost_responses.inc(labels)

    def record_unanswered_store_call(self, connection):
        """Record a call to the store that got no response.

        :param connection: :class:`~boragetrail.utils.calls.ConnectionUse`
        """
        self.unanswered_store_calls.inc({"connection": connection.value})

    def record_request(self, code, service, took_s):
        """Record one finished request.

        :param code: reason code, or ``"ok"``
        :param service: name of the service, or empty
        :param took_s: seconds from the arrival of the request to the end of
            its response
        """
        self.requests.inc({"code": code, "service": service})
        self.duration.observe({"service": service}, took_s)

    def render(self, accepted):
        """Return the response to a metrics request as (body, header fields).

        :param accepted: values of the ``Accept`` header of that request
        """
        return aioprometheus.render(self.registry, accepted)
