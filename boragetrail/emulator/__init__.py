"""Emulate engines, routers and callers in virtual time.

The routers run the product's own decisions on what they would know: their
own work and what others told them some time ago. No socket is opened.
"""

from boragetrail.emulator.engine import EmulatedEngine, EngineShape, Work
from boragetrail.emulator.experiment import (
    Experiment,
    load_experiment,
    run_experiment,
)
from boragetrail.emulator.fleet import EmulatedFleet
from boragetrail.emulator.virtualclock import VirtualClock
from boragetrail.emulator.workload import CallerClass, Workload

__all__ = [
    "CallerClass",
    "EmulatedEngine",
    "EmulatedFleet",
    "EngineShape",
    "Experiment",
    "VirtualClock",
    "Work",
    "Workload",
    "load_experiment",
    "run_experiment",
]
