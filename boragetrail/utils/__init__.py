"""Helpers for tasks, addresses and identifiers."""

from boragetrail.utils.addresses import join_address, split_address
from boragetrail.utils.identity import new_incarnation
from boragetrail.utils.tasks import BackgroundTasks, cancel_and_wait

__all__ = [
    "BackgroundTasks",
    "cancel_and_wait",
    "join_address",
    "new_incarnation",
    "split_address",
]
