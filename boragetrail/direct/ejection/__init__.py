"""Ejection of servers that fail more of their requests than others do."""

from boragetrail.direct.ejection.monitor import EjectionMonitor
from boragetrail.direct.ejection.outcomes import OutcomeReport
from boragetrail.direct.ejection.filter import EjectionFilter

__all__ = ["EjectionFilter", "EjectionMonitor", "OutcomeReport"]
