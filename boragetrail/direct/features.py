"""Optional features that a deployment's settings switch on."""

import enum

__all__ = ["Feature"]


class Feature(enum.Enum):
    """Name the features that are off unless the settings call for them."""

    ROLLOUTS = "rollouts"
    OUTLIER_EJECTION = "outlier-ejection"
    PRIORITY_ADMISSION = "priority-admission"
    ENGINE_CAPACITY = "engine-capacity"
    ZONE_AFFINITY = "zone-affinity"
