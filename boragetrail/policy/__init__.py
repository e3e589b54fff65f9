"""Scheduling and placement policies, free of I/O, with injected clocks."""

from boragetrail.policy.admission import Admission, BoundedAdmission
from boragetrail.policy.cap import LoadCap, MeanMultipleCap, NoCap
from boragetrail.policy.load import LoadEntry, LoadEntryState, LoadTable
from boragetrail.policy.placement import AffinityPlacement, Candidate, Choice
from boragetrail.policy.placement import Placement, PlacementRequest
from boragetrail.policy.retry import RetryBudget, RetryPolicy
from boragetrail.policy.queueing import FairQueue, FifoQueue, RequestQueue
from boragetrail.policy.stall import StallGate
from boragetrail.policy.transfer import KvTransferPolicy, SizeTransferPolicy
from boragetrail.policy.warmup import AdaptiveWarmup, Warmup

__all__ = [
    "AdaptiveWarmup",
    "Admission",
    "AffinityPlacement",
    "BoundedAdmission",
    "Candidate",
    "Choice",
    "FairQueue",
    "FifoQueue",
    "KvTransferPolicy",
    "LoadCap",
    "LoadEntry",
    "LoadEntryState",
    "LoadTable",
    "MeanMultipleCap",
    "NoCap",
    "Placement",
    "PlacementRequest",
    "RequestQueue",
    "RetryBudget",
    "RetryPolicy",
    "SizeTransferPolicy",
    "StallGate",
    "Warmup",
]
