"""Jobs: their life in the log, and the machine that runs them as gangs on workers.

`JobLedger` folds the jobs stream, so that every instance tells the same truth of every
job. `PlacerMachine` is one data centre's placer: it takes events and returns actions.
`Gang` is one attempt, from its leases to the proof of how it ended.
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
from .entry import JobEntry
from .events import (
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
    Verdict,
    WorkerObserved,
    WorkersListed,
    WorkerUnreachable,
)
from .gang import Gang
from .ledger import JobLedger, LedgerSnapshot
from .placer import PlacerMachine
from .rehoming import rehome
from .stages import Stage

__all__ = [
    "AcquireLease",
    "Action",
    "AnswerSubmission",
    "AppendAnswered",
    "AppendRecord",
    "LedgerSnapshot",
    "CommandAnswered",
    "CommandTask",
    "ConfigurationChanged",
    "Event",
    "FenceAnswered",
    "FenceJob",
    "Gang",
    "GangCommand",
    "JobLedger",
    "JobEntry",
    "JobSubmittedOffLog",
    "LeaseAnswered",
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
    "Verdict",
    "WorkerObserved",
    "WorkerUnreachable",
    "WorkersListed",
    "admit",
    "job_id",
    "rehome",
]
