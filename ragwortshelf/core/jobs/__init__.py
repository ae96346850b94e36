"""Lifecycle of jobs: their state in the log, and their placement on workers as gangs.

`JobLedger` folds the jobs stream, so that all instances agree on the state of every
job. `PlacerMachine` is the placer of one data centre, a state machine that takes events
and returns actions. `Gang` is one attempt to run a job, from acquiring its leases to
the proof of how it ended.

A job is "off log" if it was accepted while the log was unavailable. The instance that
accepted it places it at once, and records it as soon as the log answers again.
"""

from .actions import (
    AcquireLease,
    Action,
    AnswerSubmission,
    AppendRecord,
    CommandTask,
    FenceJob,
    GangCommand,
    LogDecision,
    ObserveWorker,
    ReleaseLease,
    RenewLeases,
    StartTask,
)
from .admission import admit, job_id
from .events import (
    ActionResult,
    AppendAnswered,
    CommandAnswered,
    ConfigurationChanged,
    Event,
    FenceAnswered,
    JobSubmittedOffLog,
    LeaseAnswered,
    LogReachable,
    Proof,
    RecordRead,
    RenewAnswered,
    RoleChanged,
    StartAnswered,
    Tick,
    UsageObserved,
    WorkerObserved,
    WorkersListed,
    WorkerUnreachable,
)
from .gang import Gang
from .job_entry import JobEntry
from .ledger import JobLedger, LedgerSnapshot
from .placer import PlacerMachine
from .rehoming import rehome
from .stages import Stage

__all__ = [
    "AcquireLease",
    "Action",
    "ActionResult",
    "AnswerSubmission",
    "AppendAnswered",
    "AppendRecord",
    "CommandAnswered",
    "CommandTask",
    "ConfigurationChanged",
    "Event",
    "FenceAnswered",
    "FenceJob",
    "Gang",
    "GangCommand",
    "JobEntry",
    "JobLedger",
    "JobSubmittedOffLog",
    "LeaseAnswered",
    "LedgerSnapshot",
    "LogDecision",
    "LogReachable",
    "ObserveWorker",
    "PlacerMachine",
    "Proof",
    "RecordRead",
    "ReleaseLease",
    "RenewAnswered",
    "RenewLeases",
    "RoleChanged",
    "Stage",
    "StartAnswered",
    "StartTask",
    "Tick",
    "UsageObserved",
    "WorkerObserved",
    "WorkerUnreachable",
    "WorkersListed",
    "admit",
    "job_id",
    "rehome",
]
