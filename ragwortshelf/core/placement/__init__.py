"""Placement of jobs on the accelerators of one data centre.

`Scheduler` keeps every organisation's guarantee obtainable, orders waiting jobs,
chooses accelerators, reclaims what others borrowed and quarantines failing workers.
`fits_catalogue` and `home_data_centre` are pure functions for admission.
"""

from .actions import (
    Action,
    GuaranteeStatus,
    Move,
    Place,
    Probe,
    Reclaim,
    Reject,
    WorkerCondition,
    WorkerStatus,
)
from .admission import (
    fits_catalogue,
    fits_data_centre,
    home_data_centre,
    less_blocked_home,
)
from .policy import JobView, PlacementPolicy, WeightedPolicy
from .scheduler import Scheduler

__all__ = [
    "Action",
    "GuaranteeStatus",
    "Move",
    "Place",
    "Probe",
    "Reclaim",
    "Reject",
    "WorkerCondition",
    "WorkerStatus",
    "fits_catalogue",
    "fits_data_centre",
    "home_data_centre",
    "less_blocked_home",
    "JobView",
    "PlacementPolicy",
    "WeightedPolicy",
    "Scheduler",
]
