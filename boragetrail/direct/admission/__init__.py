"""Admission of requests to services that have too few places."""

from boragetrail.direct.admission.capacity import ServiceCapacity
from boragetrail.direct.admission.demand import RecentDemand
from boragetrail.direct.admission.gate import AdmissionGate
from boragetrail.direct.admission.metrics import AdmissionMetrics
from boragetrail.direct.admission.ticket import AdmissionTicket
from boragetrail.direct.admission.waiting import WaitingQueue, WaitingRequest

__all__ = [
    "AdmissionGate",
    "AdmissionMetrics",
    "AdmissionTicket",
    "RecentDemand",
    "ServiceCapacity",
    "WaitingQueue",
    "WaitingRequest",
]
