"""Discrete-event emulation of engines, routers and callers.

An emulated router chooses engines with the code of
:mod:`boragetrail.direct`. It knows what a real router would know: its own
requests, and the reports that other routers sent some time ago. No socket is
opened.
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
from boragetrail.emulator.workload import RequestClass, Workload

__all__ = [
    "RequestClass",
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
