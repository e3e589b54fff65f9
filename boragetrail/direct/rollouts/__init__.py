"""Rollouts: moving a service to another software version.

Each router sends a small part of its requests to the new version and tells
the others how both versions responded. All judge by the sums.
"""

from boragetrail.direct.rollouts.controller import RolloutController
from boragetrail.direct.rollouts.observer import RolloutObserver
from boragetrail.direct.rollouts.versionfilter import VersionFilter
from boragetrail.direct.rollouts.writer import StatusWriter

__all__ = [
    "RolloutController",
    "RolloutObserver",
    "StatusWriter",
    "VersionFilter",
]
