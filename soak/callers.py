"""Callers that submit, query and cancel jobs, and record the answers."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

import trio

from ragwortshelf.core.model import Unreachable
from ragwortshelf.net.http_client import HttpClient

__all__ = ["Callers", "JobRecord", "is_advised"]

API_KEY = "soak-key"
PATH_PREFIX = "/jobs/"
ADVISED_PATH_PREFIX = "/advised/"
MAX_TRIES = 5
TIMEOUT_MS = 3_000


def is_advised(job_id: str) -> bool:
    """Whether a job goes to the queue with a policy service, as one in four does."""
    return job_id[-1] in "048c"


@dataclass(slots=True)
class JobRecord:
    """The answers that callers received about one job.

    ``is_uncertain`` is set if a submission timed out or got no answer, so that the job
    may have been accepted. ``cancelled_ms`` is when a cancellation was confirmed, in
    milliseconds of trio's clock.
    """

    id: str
    tasks: int
    is_accepted: bool = False
    is_uncertain: bool = False
    refusals: int = 0
    cancelled_ms: int | None = None
    states: list[str] = field(default_factory=list)


class Callers:
    """Submits random jobs to all instances over persistent connections."""

    def __init__(self, addresses: list[str], seed: int):
        self._random = random.Random(seed)
        self._client_by_address = {
            address: HttpClient(address, connections=16, timeout_ms=TIMEOUT_MS)
            for address in addresses
        }
        self.job_by_id: dict[str, JobRecord] = {}
        self.is_stopping = False

    async def run(self) -> None:
        """Submit jobs until `is_stopping` is set."""
        async with trio.open_nursery() as nursery:
            while not self.is_stopping:
                nursery.start_soon(self._run_caller)
                await trio.sleep(self._random.uniform(0.05, 0.35))

    async def state(self, job_id: str) -> tuple[int, str]:
        """Query the state of a job at a random instance.

        Returns the HTTP status, or 0 if there was no answer, and the job's state, which
        is empty if the answer has none.
        """
        answer = await self._call("GET", job_id)
        if isinstance(answer, Unreachable):
            return 0, ""
        state = json.loads(answer.body).get("state", "") if answer.body else ""
        return answer.status, state

    async def _run_caller(self) -> None:
        """Submit one job, and sometimes cancel it or submit it again."""
        job = self._new_job()
        body = self._body(job)
        for _ in range(MAX_TRIES):
            answer = await self._call("POST", job.id, body)
            if not isinstance(answer, Unreachable) and answer.status == 200:
                job.is_accepted = True
                break
            if isinstance(answer, Unreachable) or answer.status == 504:
                job.is_uncertain = True
            else:
                job.refusals += 1
            await trio.sleep(self._random.uniform(0.2, 1.2))
        if job.is_accepted and self._random.random() < 0.15:
            await self._cancel(job)
        elif job.is_accepted and self._random.random() < 0.2:
            await trio.sleep(1)
            await self._call("POST", job.id, body)

    async def _cancel(self, job: JobRecord) -> None:
        await trio.sleep(self._random.uniform(0, 1))
        for _ in range(MAX_TRIES):
            answer = await self._call("DELETE", job.id)
            is_answered = not isinstance(answer, Unreachable)
            if is_answered and answer.status in (200, 410):
                job.cancelled_ms = int(trio.current_time() * 1000)
                return
            await trio.sleep(0.5)

    def _new_job(self) -> JobRecord:
        job_id = f"{self._random.getrandbits(64):016x}"
        job = JobRecord(job_id, self._random.choice((1, 1, 2, 3, 6)))
        self.job_by_id[job_id] = job
        return job

    def _body(self, job: JobRecord) -> bytes:
        step = {"count": job.tasks, "cpu": 1000, "gpu": 1, "estimated_ms": 600}
        if self._random.random() < 0.4:
            step["gang"] = True
        return json.dumps({"spec": job.id, "steps": [step]}).encode()

    async def _call(self, method: str, job_id: str, body: bytes = b""):
        client = self._random.choice(list(self._client_by_address.values()))
        headers = (
            ("authorization", f"Bearer {API_KEY}"),
            ("x-deadline-ms", str(TIMEOUT_MS)),
        )
        prefix = ADVISED_PATH_PREFIX if is_advised(job_id) else PATH_PREFIX
        return await client.call(method, prefix + job_id, body, headers)
