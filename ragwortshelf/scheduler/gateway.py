"""Serves callers: job submission, cancellation, state and queue length."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..core.scheduling import JobSpec, JobState
from ..core.scheduling.admission import AdmissionControl
from ..core.scheduling.configuration import Queue, ServiceConfiguration
from ..core.scheduling.job_table import Job
from ..core.scheduling.record_codec import encode_record
from ..core.scheduling.records import JobCancelled, JobSubmitted
from ..daemon.logs import log_event
from ..daemon.metrics import Metrics
from .clock import boot_ms, monotonic_ms, wall_ms
from .configuration_follower import ConfigurationFollower
from .election import Election
from .log_follower import LogFollower
from .log_writer import Committed, GroupWriter
from .peer_readiness import PeerReadiness
from .settings import SchedulingSettings
from .uncertain_submissions import UncertainSubmissions

__all__ = [
    "Abandoned",
    "Accepted",
    "Access",
    "Declined",
    "Gateway",
    "Reason",
    "Shown",
    "Uncertain",
]

STATE_AGE_MAX_MS = 150
"""Maximum age of a job's state that is returned without reading the log again."""

STATE_READ_TIMEOUT_MS = 600
"""Time limit for refreshing the state; a read takes 8 ms, or 240 ms on a slow log."""

KNOWN_STATE_WAIT_MS = 250
"""Time limit for refreshing the state of a known job. An older state, in time, is worth
more to its caller than a recent one that comes late."""

FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED})
"""States that do not change. A cancelled job may still turn out to be completed."""

OUTAGE_RETRY_AFTER_MS = 2_000
"""Retry delay given to callers while no instance can serve them. Outages of the log
last 4 to 6 s and callers make five attempts, so some remain when it recovers."""

SLOW_QUERY_MS = 150
"""Duration from which a successful query is logged. One that reads the log takes 10 ms
in calm."""

APPEND_TRIES_MS = 900
"""Time in which the append of a submission may be tried. A caller who is then told that
the outcome is uncertain can still retry at another instance within its deadline. An
append takes 0.5 s while the log is slow."""


class Reason(enum.StrEnum):
    """Why a call was declined."""

    NO_QUEUE = "no_queue"
    UNKNOWN_KEY = "unknown_key"
    NO_JOB = "no_job"
    NOT_READY = "not_ready"
    LOG_UNAVAILABLE = "log_unavailable"
    OVERLOADED = "overloaded"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Access:
    """The queue that a call addresses and the organisation that its key belongs to."""

    queue: Queue
    organisation: str


@dataclass(frozen=True, slots=True)
class Declined:
    """The call had no effect. ``retry_after_ms`` is None if a retry cannot succeed."""

    reason: Reason
    detail: str = ""
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The call may have taken effect, or may do so later."""

    detail: str


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller disconnected, or the process stopped, before there was an outcome."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The submission or cancellation is in the log."""


@dataclass(frozen=True, slots=True)
class Shown:
    """The current state of a job, as returned to the caller."""

    state: JobState


class Gateway:
    """Handles the calls that one instance receives, independently of their protocol."""

    def __init__(
        self,
        settings: SchedulingSettings,
        follower: LogFollower,
        writer: GroupWriter,
        configuration: ConfigurationFollower,
        election: Election,
        peer_readiness: PeerReadiness,
        metrics: Metrics,
    ):
        self.settings = settings
        self._follower = follower
        self._writer = writer
        self._configuration = configuration
        self._election = election
        self._peer_readiness = peer_readiness
        self._metrics = metrics
        self._uncertain = UncertainSubmissions()
        self._admission = AdmissionControl()

    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this instance."""
        age = self._follower.age_ms()
        limit = self.settings.revocation_ms * 3 // 5
        if age is None or age > limit or not self._follower.is_log_answering:
            return False
        configuration_age = self._configuration.age_ms()
        is_configured = configuration_age is not None and configuration_age <= limit
        return is_configured and self._configuration.is_log_answering

    def authorise(self, host: str, path: str, key: str) -> Access | Declined:
        """Resolve a call's queue and check its API key."""
        if not self._configuration.is_trusted():
            age = self._configuration.age_ms()
            return self._unavailable(Reason.NOT_READY, f"configuration age {age} ms")
        current: ServiceConfiguration = self._configuration.current
        queue = current.queue_for(host, path)
        if queue is None:
            return Declined(Reason.NO_QUEUE, f"version {current.version}")
        organisation = current.organisation_by_key.get(key)
        if organisation is None and not queue.is_public:
            return Declined(Reason.UNKNOWN_KEY, f"version {current.version}")
        return Access(queue, organisation.name if organisation else "")

    async def submit(
        self, spec: JobSpec, deadline_ms: int
    ) -> Accepted | Declined | Uncertain:
        """Accept a job; submitting the same id again has no effect."""
        if spec.id in self._follower.table.job_by_id:
            return Accepted()
        if not self._follower.is_log_answering:
            if spec.id in self._uncertain:
                return Uncertain("an earlier append of this job was not answered")
            return self._unavailable(Reason.LOG_UNAVAILABLE, "the log does not answer")
        declined = await self._decline_overload(spec, deadline_ms)
        if declined is not None:
            return declined
        if spec.id in self._follower.table.job_by_id:
            return Accepted()
        self._admission.accepted(spec, monotonic_ms())
        entry = encode_record(JobSubmitted(spec))
        last_try_ms = monotonic_ms() + APPEND_TRIES_MS
        # Also remembered if the caller disconnects, which cancels this call.
        self._uncertain.add(spec.id)
        outcome = await self._writer.commit([entry], deadline_ms, last_try_ms)
        if isinstance(outcome, Committed):
            self._follower.wake()
            return Accepted()
        if spec.id in self._follower.table.job_by_id:
            return Accepted()
        if outcome.may_be_appended or not self._uncertain.discard(spec.id):
            return Uncertain(outcome.detail)
        self._admission.withdrawn(spec.id)
        return self._unavailable(Reason.LOG_UNAVAILABLE, outcome.detail)

    async def cancel(
        self, job_id: str, deadline_ms: int
    ) -> Accepted | Declined | Uncertain:
        """Cancel a job. The record also cancels a submission that arrives later."""
        entry = encode_record(JobCancelled(job_id, wall_ms()))
        outcome = await self._writer.commit([entry], deadline_ms)
        if not isinstance(outcome, Committed):
            return Uncertain(outcome.detail)
        remaining_ms = max(0, deadline_ms - monotonic_ms())
        was_read = await self._follower.wait_for_offset(outcome.end, remaining_ms)
        if job_id in self._follower.table.job_by_id:
            return Accepted()
        if not was_read:
            return Uncertain("the cancellation is in the log but not yet read back")
        return Declined(Reason.NO_JOB)

    async def state(self, job_id: str) -> Shown | Declined:
        """Return a job's state, reading the log first if it may have changed."""
        wait_ms = self._state_wait_ms(self._follower.table.job_by_id.get(job_id))
        is_fresh = wait_ms and await self._follower.refresh(STATE_AGE_MAX_MS, wait_ms)
        job = self._follower.table.job_by_id.get(job_id)
        if job is not None:
            return Shown(self._committed_state(job_id, job.state))
        if not is_fresh:
            age = self._follower.age_ms()
            return self._unavailable(Reason.NOT_READY, f"state age {age} ms")
        return Declined(Reason.NO_JOB)

    async def pending(self, queue: Queue) -> int | Declined:
        """Return how many of the queue's accepted jobs have no started task."""
        limit = self.settings.follow_interval_ms * 2
        if not await self._follower.refresh(limit, STATE_READ_TIMEOUT_MS):
            age = self._follower.age_ms()
            return self._unavailable(Reason.NOT_READY, f"state age {age} ms")
        return self._follower.table.pending(queue.name)

    def forecast_waits_ms(self) -> dict[int, float]:
        """Return the forecast waits by priority 0 to 2, without those not known."""
        current = self._configuration.current
        if current is None:
            return {}
        return self._admission.waits_ms(
            self._follower.table, current, monotonic_ms(), wall_ms()
        )

    def capacity_age_ms(self) -> int | None:
        """Return the age of the oldest record of a capacity, None without any."""
        records = self._follower.table.capacity_by_service.values()
        return max((wall_ms() - record.wall_ms for record in records), default=None)

    async def _decline_overload(
        self, spec: JobSpec, deadline_ms: int
    ) -> Declined | None:
        """Decline a job that could not be served in time, None if it is accepted.

        Another instance may have appended the same job without an answer, and the
        caller tries again here. So the job is declined only after a read of the log
        that was sent after this call.
        """
        if spec.id in self._uncertain or not self._is_load_known():
            return None
        current = self._configuration.current
        if current is None:
            return None
        called_boot_ms = boot_ms()
        refusal = self._admission.decide(
            spec, self._follower.table, current, monotonic_ms(), wall_ms()
        )
        if refusal is None:
            return None
        timeout_ms = min(STATE_READ_TIMEOUT_MS, max(0, deadline_ms - monotonic_ms()))
        was_read = await self._follower.wait_for_later_read(called_boot_ms, timeout_ms)
        is_known = spec.id in self._follower.table.job_by_id
        if not was_read or is_known or spec.id in self._uncertain:
            return None
        detail = (
            f"priority {refusal.priority}: forecast wait {refusal.wait_ms} ms, "
            f"of use within {refusal.useful_ms} ms, "
            f"capacity age {self.capacity_age_ms()} ms"
        )
        return Declined(Reason.OVERLOADED, detail, refusal.retry_after_ms)

    def _is_load_known(self) -> bool:
        """Whether this instance follows the log and a scheduler was active lately."""
        age_ms = self._follower.age_ms()
        active_boot_ms = self._follower.term_activity_boot_ms
        if age_ms is None or active_boot_ms is None:
            return False
        limit_ms = self.settings.term_timeout_ms
        is_scheduled = boot_ms() - active_boot_ms <= limit_ms
        return is_scheduled and age_ms <= limit_ms

    def _unavailable(self, reason: Reason, detail: str) -> Declined:
        """Decline a call that another instance may be able to serve."""
        retry_after_ms = (
            0 if self._peer_readiness.has_serving_peer() else OUTAGE_RETRY_AFTER_MS
        )
        return Declined(reason, detail, retry_after_ms)

    def _committed_state(self, job_id: str, state: JobState) -> JobState:
        """Return ``state``, or RUNNING while a final state is not yet in the log."""
        leadership = self._election.leadership
        is_final = state in (JobState.COMPLETED, JobState.FAILED)
        if is_final and leadership is not None and not leadership.is_committed(job_id):
            return JobState.RUNNING
        return state

    def _state_wait_ms(self, job: Job | None) -> int:
        """Return how long a query of a job's state may wait for the log.

        A job that is not known may be in the next two reads. While the records are
        loaded, those of a job may be incomplete.
        """
        if job is not None and job.state in FINAL_STATES:
            return 0
        if self._follower.next_offset is None:
            return STATE_READ_TIMEOUT_MS
        if not self._follower.is_log_answering:
            return STATE_READ_TIMEOUT_MS if job is None else 0
        if job is None:
            return 2 * self.settings.log_call_timeout_ms
        return KNOWN_STATE_WAIT_MS

    def record_call(
        self, method: str, job_id: str, outcome, access: Access | None, began_ms: int
    ) -> None:
        """Record a call in the metrics and, with its outcome and reason, in the log.

        Successful queries for a state or a count that are not slow are recorded in the
        metrics only. The outcome's class name is its metric label and log value.
        """
        took_ms = monotonic_ms() - began_ms
        name = type(outcome).__name__.lower()
        reason = getattr(outcome, "reason", "")
        self._metrics.count("calls_total", call=method, outcome=name, reason=reason)
        self._metrics.observe_ms("call_ms", took_ms, call=method, outcome=name)
        if isinstance(outcome, (int, Shown)) and took_ms < SLOW_QUERY_MS:
            return
        current = self._configuration.current
        log_event(
            "call",
            call=method,
            job=job_id,
            outcome=name,
            reason=reason or None,
            detail=getattr(outcome, "detail", None) or None,
            took_ms=took_ms,
            queue=access.queue.name if access else None,
            organisation=access.organisation if access else None,
            slack_factor=access.queue.slack_factor if access else None,
            target_latency_ms=access.queue.target_latency_ms if access else None,
            configuration=current.version if current else None,
            configuration_age_ms=self._configuration.age_ms(),
            jobs_age_ms=self._follower.age_ms(),
        )
