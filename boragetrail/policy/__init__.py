"""Scheduling and placement policies, free of I/O, with injected clocks."""

from boragetrail.policy.admission import Admission, BoundedAdmission
from boragetrail.policy.cap import LoadCap, MeanMultipleCap, NoCap
from boragetrail.policy.load import LoadEntry, LoadTable, LoadEntryState
from boragetrail.policy.placement import Candidate, Choice, AffinityPlacement
from boragetrail.policy.placement import Placement, PlacementRequest
from boragetrail.policy.retry import RetryBudget, RetryPolicy
from boragetrail.policy.queueing import RequestQueue, FairQueue, FifoQueue
from boragetrail.policy.stall import StallGate
from boragetrail.policy.transfer import KvTransferPolicy, SizeTransferPolicy
from boragetrail.policy.warmup import AdaptiveWarmup, Warmup

__all__ = [
    "Admission",
    "BoundedAdmission",
    "Candidate",
    "Choice",
    "RequestQueue",
    "AdaptiveWarmup",
    "FairQueue",
    "FifoQueue",
    "AffinityPlacement",
    "KvTransferPolicy",
    "LoadCap",
    "LoadEntry",
    "LoadTable",
    "MeanMultipleCap",
    "NoCap",
    "Placement",
    "RetryBudget",
    "RetryPolicy",
    "LoadEntryState",
    "SizeTransferPolicy",
    "StallGate",
    "PlacementRequest",
    "Warmup",
]
