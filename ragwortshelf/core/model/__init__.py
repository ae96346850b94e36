"""Value types shared by all packages of the core.

Outcomes, the configuration, jobs, requests, leases and usage reports are frozen data
classes without behaviour other than derived properties.
"""

from .configuration import (
    NO_REVISION,
    Adjacency,
    Configuration,
    DataCentre,
    Organisation,
    Rack,
    Rule,
    Shape,
    Withdrawal,
)
from .decisions import Decision
from .jobs import JobPhase, JobSpec, Priority
from .leases import Grant, Lease, LeaseRequest, TaskState, WorkerState
from .outcomes import (
    Answered,
    Completed,
    Interrupted,
    JobOutcome,
    NotRun,
    Reason,
    RequestOutcome,
    Unknown,
    Unreachable,
)
from .platform import InstanceInfo, MemberState, ServingEndpoint, WorkerInfo
from .requests import Request, RequestClass
from .usage import UsageReport

__all__ = [
    "NO_REVISION",
    "Adjacency",
    "Configuration",
    "DataCentre",
    "Organisation",
    "Rack",
    "Rule",
    "Shape",
    "Withdrawal",
    "Decision",
    "JobPhase",
    "JobSpec",
    "Priority",
    "Grant",
    "Lease",
    "LeaseRequest",
    "TaskState",
    "WorkerState",
    "Answered",
    "Completed",
    "Interrupted",
    "JobOutcome",
    "NotRun",
    "Reason",
    "RequestOutcome",
    "Unknown",
    "Unreachable",
    "InstanceInfo",
    "MemberState",
    "ServingEndpoint",
    "WorkerInfo",
    "Request",
    "RequestClass",
    "UsageReport",
]
