"""Placement of jobs on the accelerators of one data centre.

`DataCentreScheduler` orders waiting jobs, assigns accelerators to them, keeps every
organisation's guarantee obtainable, reclaims borrowed accelerators and quarantines
failing workers. The functions of `admission` are pure: they decide at submission
whether a job can run at all, and in which data centre.
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
    better_home_data_centre,
    fits_catalogue,
    fits_data_centre,
    home_data_centre,
)
from .data_centre_scheduler import DataCentreScheduler
from .policy import JobView, PlacementPolicy, WeightedPolicy

__all__ = [
    "Action",
    "DataCentreScheduler",
    "GuaranteeStatus",
    "JobView",
    "Move",
    "Place",
    "PlacementPolicy",
    "Probe",
    "Reclaim",
    "Reject",
    "WeightedPolicy",
    "WorkerCondition",
    "WorkerStatus",
    "better_home_data_centre",
    "fits_catalogue",
    "fits_data_centre",
    "home_data_centre",
]
