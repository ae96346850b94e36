"""Leases, fences and tasks of one stand-in worker, without sockets.

The current time in seconds is passed in as ``now_s``. ``advance`` ends the leases that
have expired and the tasks that have completed; callers run it before any other method.
"""

from __future__ import annotations

import json
import uuid
from dataclasses import dataclass, field

__all__ = ["LeaseEntry", "WorkerLeases"]

_DEFAULT_RUN_MS = 100
_REPORT_INTERVAL_S = 1.0


@dataclass
class LeaseEntry:
    """One lease and its tasks; times are in seconds on the worker's clock."""

    job_id: str
    attempt: int
    holder: str
    accelerators: tuple[int, ...]
    deadline_s: float
    label: str
    task_state: str = "not_started"
    has_started: bool = False
    checkpoint: int = 0
    is_live: bool = True
    organisation: str = ""
    tasks: tuple[int, ...] = ()
    command: dict = field(default_factory=dict)
    progress_s: float = 0.0
    updated_s: float = 0.0
    reported_s: float = 0.0
    sequence: int = 0

    @property
    def lease_id(self) -> str:
        """Id of the lease, unique per job, attempt and holder."""
        return f"{self.job_id}/{self.attempt}/{self.holder}"

    @property
    def run_s(self) -> float:
        """Run time of the tasks in seconds, if they are not throttled."""
        return self.command.get("run_ms", _DEFAULT_RUN_MS) / 1000

    @property
    def checkpoint_s(self) -> float:
        """Seconds between checkpoints; 0 means none."""
        return self.command.get("checkpoint_ms", 0) / 1000


class WorkerLeases:
    """Leases, fences, tasks and usage reports of one worker.

    `acquire`, `start` and `command` return the reason for a refusal, or None.
    """

    def __init__(self, accelerators: int, usage_repeat: int = 0):
        self.accelerators = accelerators
        self._usage_repeat = usage_repeat
        self.fails_tasks = False
        self.reports: list[tuple[float, dict]] = []
        self._last_states: list = []
        self._version_number = 0
        self.reboot()

    def reboot(self) -> None:
        """Drop all leases, fences and tasks, and choose a new boot id."""
        self.boot_id = uuid.uuid4().hex[:12]
        self.lease_by_id: dict[str, LeaseEntry] = {}
        self.fence_by_job: dict[str, int] = {}

    def advance(self, now_s: float) -> None:
        """Update tasks and leases to ``now_s``; fence attempts of expired leases."""
        for entry in self.lease_by_id.values():
            if not entry.is_live:
                continue
            until_s = min(now_s, entry.deadline_s)
            self._advance_tasks(entry, until_s)
            if now_s >= entry.deadline_s:
                self._end_lease(entry, entry.deadline_s)
                self._raise_fence(entry.job_id, entry.attempt)

    def version(self) -> str:
        """Return a string that differs after each change in the state of a lease."""
        states = [
            (entry.lease_id, entry.task_state, entry.is_live)
            for entry in self.lease_by_id.values()
        ]
        if states != self._last_states:
            self._last_states = states
            self._version_number += 1
        return f"{self.boot_id}.{self._version_number}"

    def acquire(self, fields: dict, now_s: float) -> str | None:
        """Grant a lease; a repeated request extends it."""
        requested = LeaseEntry(
            fields["job_id"],
            fields["attempt"],
            fields["holder"],
            tuple(fields["accelerators"]),
            now_s + fields["ttl_ms"] / 1000,
            fields["label"],
        )
        if requested.attempt <= self.fence_by_job.get(requested.job_id, -1):
            return "fenced"
        if not requested.accelerators or any(
            not 0 <= index < self.accelerators for index in requested.accelerators
        ):
            return "invalid"
        existing = self.lease_by_id.get(requested.lease_id)
        if existing is not None and existing.accelerators == requested.accelerators:
            existing.deadline_s = requested.deadline_s
            return None
        if self._leased_accelerators() & set(requested.accelerators):
            return "held"
        self.lease_by_id[requested.lease_id] = requested
        return None

    def renew(self, lease_ids: list[str], ttl_ms: int, now_s: float) -> dict:
        """Extend the live ones among the given leases."""
        renewed = []
        for lease_id in lease_ids:
            entry = self.lease_by_id.get(lease_id)
            if entry is not None and entry.is_live:
                entry.deadline_s = now_s + ttl_ms / 1000
                renewed.append(lease_id)
        lost = [lease_id for lease_id in lease_ids if lease_id not in renewed]
        return {"renewed": renewed, "lost": lost, "boot_id": self.boot_id}

    def release(self, lease_id: str, now_s: float) -> None:
        """End and remove a lease."""
        entry = self.lease_by_id.pop(lease_id, None)
        if entry is not None and entry.is_live:
            self._end_lease(entry, now_s)

    def fence(self, job_id: str, attempt: int, now_s: float) -> dict:
        """Refuse the job's attempts up to ``attempt`` and end their leases."""
        self._raise_fence(job_id, attempt)
        fenced = [
            entry
            for entry in self.lease_by_id.values()
            if entry.job_id == job_id and entry.attempt <= attempt
        ]
        for entry in fenced:
            if entry.is_live:
                self._end_lease(entry, now_s)
        newest = max(fenced, key=lambda entry: entry.attempt, default=None)
        return {
            "boot_id": self.boot_id,
            "has_started": any(entry.has_started for entry in fenced),
            "task_state": newest.task_state if newest else "not_started",
            "checkpoint": max((entry.checkpoint for entry in fenced), default=0),
        }

    def start(self, fields: dict, now_s: float) -> str | None:
        """Start the tasks of a lease; a repeated start has no effect."""
        entry = self.lease_by_id.get(fields["lease_id"])
        if fields["boot_id"] != self.boot_id:
            return "wrong_boot"
        if entry is None:
            return "unknown_lease"
        if not entry.is_live:
            return "expired"
        if entry.has_started:
            return None
        entry.has_started = True
        entry.organisation = fields["organisation"]
        entry.tasks = tuple(fields["tasks"])
        entry.command = _parse_command(fields["command"])
        entry.checkpoint = fields["resume_from"]
        entry.progress_s = entry.checkpoint * entry.checkpoint_s
        entry.updated_s = entry.reported_s = now_s
        entry.task_state = "running"
        if self.fails_tasks:
            self._end_tasks(entry, "failed", now_s)
        return None

    def command(self, lease_id: str, command: str, now_s: float) -> str | None:
        """Checkpoint, throttle, resume or stop the tasks of a lease."""
        entry = self.lease_by_id.get(lease_id)
        if entry is None:
            return "unknown_lease"
        if not entry.is_live:
            return "expired"
        if command == "stop":
            self._end_lease(entry, now_s)
        elif command == "checkpoint" and entry.checkpoint_s:
            entry.checkpoint = int(entry.progress_s / entry.checkpoint_s)
        elif command == "throttle" and entry.task_state == "running":
            entry.task_state = "throttled"
        elif command == "resume" and entry.task_state == "throttled":
            entry.task_state = "running"
        return None

    def rows(self, now_s: float) -> list[dict]:
        """Return all leases in the format of ``/state``."""
        return [
            {
                "job_id": entry.job_id,
                "attempt": entry.attempt,
                "holder": entry.holder,
                "accelerators": list(entry.accelerators),
                "remaining_ms": max(0, int((entry.deadline_s - now_s) * 1000)),
                "label": entry.label,
                "task_state": entry.task_state,
                "has_started": entry.has_started,
                "checkpoint": entry.checkpoint,
                "is_live": entry.is_live,
            }
            for entry in self.lease_by_id.values()
        ]

    def _leased_accelerators(self) -> set[int]:
        return {
            index
            for entry in self.lease_by_id.values()
            if entry.is_live
            for index in entry.accelerators
        }

    def _raise_fence(self, job_id: str, attempt: int) -> None:
        self.fence_by_job[job_id] = max(attempt, self.fence_by_job.get(job_id, -1))

    def _advance_tasks(self, entry: LeaseEntry, until_s: float) -> None:
        if entry.task_state not in ("running", "throttled"):
            return
        # Throttled tasks run at half speed.
        speed = 1.0 if entry.task_state == "running" else 0.5
        needed_s = (entry.run_s - entry.progress_s) / speed
        end_s = min(until_s, entry.updated_s + max(0.0, needed_s))
        entry.progress_s += (end_s - entry.updated_s) * speed
        entry.updated_s = end_s
        if entry.checkpoint_s:
            reached_checkpoint = int(entry.progress_s / entry.checkpoint_s)
            entry.checkpoint = max(entry.checkpoint, reached_checkpoint)
        if entry.progress_s >= entry.run_s - 1e-9:
            has_failed = entry.command.get("exit_status", 0) != 0
            self._end_tasks(entry, "failed" if has_failed else "succeeded", end_s)
        elif end_s - entry.reported_s >= _REPORT_INTERVAL_S:
            self._record_usage(entry, end_s, is_final=False)

    def _end_lease(self, entry: LeaseEntry, now_s: float) -> None:
        entry.is_live = False
        if entry.task_state in ("running", "throttled"):
            self._end_tasks(entry, "stopped", now_s)

    def _end_tasks(self, entry: LeaseEntry, state: str, now_s: float) -> None:
        entry.task_state = state
        self._record_usage(entry, now_s, is_final=True)

    def _record_usage(self, entry: LeaseEntry, now_s: float, *, is_final: bool) -> None:
        entry.sequence += 1
        elapsed_ms = round((now_s - entry.reported_s) * 1000)
        entry.reported_s = now_s
        shares = _split_evenly(elapsed_ms * len(entry.accelerators), len(entry.tasks))
        for task, accelerator_ms in zip(entry.tasks, shares, strict=True):
            report = {
                "organisation": entry.organisation,
                "job_id": entry.job_id,
                "attempt": entry.attempt,
                "task": task,
                "sequence": entry.sequence,
                "accelerator_ms": accelerator_ms,
                "peak_memory_bytes": entry.command.get("memory_bytes", 0),
                "is_final": is_final,
            }
            self.reports.extend([(now_s, report)] * (1 + self._usage_repeat))


def _split_evenly(total: int, count: int) -> list[int]:
    """Split ``total`` evenly over ``count`` tasks; the first ones get the remainder."""
    if not count:
        return []
    base, remainder = divmod(total, count)
    return [base + (index < remainder) for index in range(count)]


def _parse_command(text: str) -> dict:
    try:
        value = json.loads(text)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
