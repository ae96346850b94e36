"""Tells endpoints that fail whatever they start from jobs that fail everywhere.

An endpoint that fails a run as soon as it starts is suspected at once, since each
further start there costs a run, and a gang all of its runs. It gets nothing for a while
and then a single run, until a later start has survived. A job whose runs fail at once
on endpoints that are sound is not held against them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .endpoint import Endpoint
from .model import GANG, UnitKey
from .task_placement import RunStage, TaskPlacement
from .unit import Unit

__all__ = ["QUICK_FAILURE_MS", "SuspicionTracker"]

QUICK_FAILURE_MS = 400
"""Time after an order within which a failure counts as quick, and after which a run
that makes progress counts as survived. The shortest tasks take about a second."""

SUSPICION_MS = 1_500
SUSPICION_DOUBLINGS_MAX = 2
"""Time for which a suspected endpoint gets nothing, doubled with each quick failure in
a row. Endpoints that fail everything do so for about six seconds."""

TRIAL_WAIT_MAX_MS = 3_000
"""Time after which a suspected endpoint is used as any other, if no run tried it out
before."""

JOB_ENDPOINTS_MAX = 1
GANG_ENDPOINTS_MAX = 3
"""Endpoints on which a job may fail at once, with none of its runs at work elsewhere,
before the job itself is taken for the cause. A gang spans many endpoints, and none of
its runs goes on when one fails."""


class SuspicionTracker:
    """Notes quick failures and survived starts of endpoints and jobs."""

    def __init__(
        self,
        endpoint_by_id: Mapping[str, Endpoint],
        units_by_job_id: Mapping[str, Mapping[UnitKey, Unit]],
    ):
        self._endpoint_by_id = endpoint_by_id
        self._units_by_job_id = units_by_job_id
        self._accused_ids_by_job: dict[str, set[str]] = {}
        self._survived_job_ids: set[str] = set()

    def run_failed(
        self, endpoint: Endpoint, placement: TaskPlacement, now_ms: int
    ) -> int:
        """Note a failed run; returns how long the endpoint gets nothing, or 0.

        A failure of a job that fails everywhere is not held against any endpoint.
        """
        if not is_quick(placement, now_ms):
            return 0
        job_id = placement.unit_key.job_id
        accused = self._accused_ids_by_job.setdefault(job_id, set())
        is_new = endpoint.id not in accused
        accused.add(endpoint.id)
        if self._fails_everywhere(job_id, placement):
            for endpoint_id in accused:
                self._withdraw(endpoint_id, job_id)
            return 0
        endpoint.accuser_ids.add(job_id)
        if is_new:
            endpoint.quick_failure_count += 1
        endpoint.suspected_start_ms = max(
            endpoint.suspected_start_ms, placement.ordered_ms
        )
        doublings = min(endpoint.quick_failure_count - 1, SUSPICION_DOUBLINGS_MAX)
        length_ms = SUSPICION_MS << max(0, doublings)
        endpoint.suspected_until_ms = now_ms + length_ms
        return length_ms

    def run_survived(self, endpoint: Endpoint, placement: TaskPlacement) -> None:
        """Note that a run made progress or was done, some time after its start."""
        self._survived_job_ids.add(placement.unit_key.job_id)
        if not endpoint.has_proven_start(placement.ordered_ms):
            endpoint.proven_start_ms = placement.ordered_ms
        if endpoint.accuser_ids and placement.ordered_ms > endpoint.suspected_start_ms:
            _clear(endpoint)

    def lapse(self, endpoints: Iterable[Endpoint], now_ms: int) -> None:
        """Clear endpoints that got nothing for long after they could again."""
        for endpoint in endpoints:
            if endpoint.accuser_ids and (
                now_ms > endpoint.suspected_until_ms + TRIAL_WAIT_MAX_MS
            ):
                _clear(endpoint)

    def forget_job(self, job_id: str) -> None:
        """Forget an ended job."""
        self._accused_ids_by_job.pop(job_id, None)
        self._survived_job_ids.discard(job_id)

    def _fails_everywhere(self, job_id: str, placement: TaskPlacement) -> bool:
        if job_id in self._survived_job_ids:
            return False
        accused = self._accused_ids_by_job[job_id]
        is_gang = placement.unit_key.member == GANG
        endpoints_max = GANG_ENDPOINTS_MAX if is_gang else JOB_ENDPOINTS_MAX
        if len(accused) > endpoints_max and not self._is_at_work(placement):
            return True
        # Another job's later start survived where this one failed at once.
        return any(
            endpoint.has_proven_start(placement.ordered_ms + 1)
            for endpoint in map(self._endpoint_by_id.get, accused)
            if endpoint is not None
        )

    def _is_at_work(self, failed: TaskPlacement) -> bool:
        """Whether another run of the job was ordered no later and goes on."""
        units = self._units_by_job_id.get(failed.unit_key.job_id, {}).values()
        return any(
            placement.stage is RunStage.RUNNING
            and placement.ordered_ms <= failed.ordered_ms
            and placement is not failed
            for unit in units
            for placement in unit.placements
        )

    def _withdraw(self, endpoint_id: str, job_id: str) -> None:
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.failed_job_ids.discard(job_id)
        endpoint.accuser_ids.discard(job_id)
        if not endpoint.accuser_ids:
            _clear(endpoint)


def is_quick(placement: TaskPlacement, now_ms: int) -> bool:
    """Whether a run that ends now was ordered only a moment ago."""
    return now_ms - placement.ordered_ms <= QUICK_FAILURE_MS


def _clear(endpoint: Endpoint) -> None:
    endpoint.accuser_ids.clear()
    endpoint.quick_failure_count = 0
    endpoint.suspected_until_ms = 0
