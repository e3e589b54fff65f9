"""Discrete-event emulation of engines, routers and callers.

The routers use the product's own code to choose engines, on the state that a
real router would have: its own requests and what peers sent some time ago. No
socket is opened.
"""

from boragetrail.emulator.engine import (
    EmulatedEngine,
    EngineProfile,
    EngineRequest,
)
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
    "EngineProfile",
    "Experiment",
    "VirtualClock",
    "EngineRequest",
    "Workload",
    "load_experiment",
    "run_experiment",
]
