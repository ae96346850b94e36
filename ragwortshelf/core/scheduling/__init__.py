"""Scheduling of jobs whose tasks run on endpoints under leases.

``records`` defines the log records of each job, ``job_table`` folds them into the
state of all jobs, ``endpoint`` tracks the endpoints, and ``scheduler`` decides which
tasks start and stop where. A *unit* is scheduled as a whole: one task, or all tasks of
a gang.
"""

from .configuration import ServiceConfiguration
from .endpoint import Endpoint
from .job_table import JobTable
from .listings import EndpointInfo
from .model import JobSpec, JobState, Resources, Step, UnitKey
from .scheduler import Scheduler

__all__ = [
    "Endpoint",
    "EndpointInfo",
    "JobSpec",
    "JobState",
    "JobTable",
    "Resources",
    "Scheduler",
    "ServiceConfiguration",
    "Step",
    "UnitKey",
]
