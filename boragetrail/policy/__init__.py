"""The decisions, without sockets and with an injected clock."""

from boragetrail.policy.admission import Admission, BoundedAdmission
from boragetrail.policy.cap import LoadCap, MeanMultipleCap, NoCap
from boragetrail.policy.load import LoadEntry, LoadTable, ServerState
from boragetrail.policy.placement import Candidate, Choice, HomePlacement
from boragetrail.policy.placement import Placement, Wanted
from boragetrail.policy.retry import RetryBudget, RetryPolicy
from boragetrail.policy.share import CustomerShare, FairQueue, FirstComeQueue
from boragetrail.policy.stall import StallGate
from boragetrail.policy.transfer import KvTransfer, SizeTransfer
from boragetrail.policy.warmup import EvidenceRamp, Warmup

__all__ = [
    "Admission",
    "BoundedAdmission",
    "Candidate",
    "Choice",
    "CustomerShare",
    "EvidenceRamp",
    "FairQueue",
    "FirstComeQueue",
    "HomePlacement",
    "KvTransfer",
    "LoadCap",
    "LoadEntry",
    "LoadTable",
    "MeanMultipleCap",
    "NoCap",
    "Placement",
    "RetryBudget",
    "RetryPolicy",
    "ServerState",
    "SizeTransfer",
    "StallGate",
    "Wanted",
    "Warmup",
]
