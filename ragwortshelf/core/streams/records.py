"""Record types of each stream.

A record states one fact, ordered among the others by its offset. Records are
idempotent: each has a key (job and attempt, note id, or the key of a usage report), and
a second copy has no effect.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..model import Grant, JobPhase, JobSpec, Reason, UsageReport
from .codec import Undecodable, decode, encode

__all__ = [
    "JOBS_STREAM",
    "RELEASES_STREAM",
    "SNAPSHOTS_STREAM",
    "USAGE_STREAM",
    "AttemptClaimed",
    "AttemptEnded",
    "AttemptStarted",
    "CancelRequested",
    "JobAccepted",
    "JobEnded",
    "JobMoved",
    "Record",
    "ReleaseSubmitted",
    "SnapshotChunk",
    "UsageCorrected",
    "UsageRecorded",
    "decode_record",
    "encode_record",
]

RELEASES_STREAM = "releases"
JOBS_STREAM = "jobs"
USAGE_STREAM = "usage"
SNAPSHOTS_STREAM = "snapshots"


@dataclass(frozen=True, slots=True)
class ReleaseSubmitted:
    """An operator's release note; the state at its offset decides if it is accepted.

    ``note_json`` is the note as JSON text. A repeat with the same ``note_id`` has no
    effect.
    """

    note_id: str
    author: str
    note_json: str
    submitted_wall_ms: int


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """Accepts a job; its submitter has been, or is about to be, told so.

    ``claim`` is set if the job was accepted and placed while the log was down. The
    record then accepts the job and claims its first attempt atomically, so that no
    other claim can come in between.
    """

    spec: JobSpec
    accepted_by: str
    claim: AttemptClaimed | None = None


@dataclass(frozen=True, slots=True)
class AttemptClaimed:
    """Claims the right to start an attempt; the claim at the lowest offset wins.

    ``boot_ids`` are those of the workers that granted the leases, in the order of
    ``grants``.
    """

    job_id: str
    attempt: int
    holder: str
    data_centre: str
    grants: tuple[Grant, ...]
    boot_ids: tuple[str, ...]
    claimed_wall_ms: int


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """All tasks of the claimed attempt are running."""

    job_id: str
    attempt: int
    started_wall_ms: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended for good, but its job has not.

    ``has_started`` False proves that no task of it started. ``checkpoint`` is the
    newest complete checkpoint of the group, and ``lost_ms`` the run time since then;
    None means that no part of the attempt is known to be saved.
    """

    job_id: str
    attempt: int
    has_started: bool
    reason: Reason
    checkpoint: int
    ended_wall_ms: int
    lost_ms: int | None = None


@dataclass(frozen=True, slots=True)
class JobEnded:
    """The final outcome of a job; the record at the lowest offset wins.

    ``lost_ms`` is as for `AttemptEnded` and only used for interrupted jobs.
    """

    job_id: str
    attempt: int
    phase: JobPhase
    reason: Reason
    detail: str
    ended_wall_ms: int
    lost_ms: int | None = None


@dataclass(frozen=True, slots=True)
class JobMoved:
    """Gives a job a new home data centre.

    Of the records with the same ``move``, the one at the lowest offset wins.
    """

    job_id: str
    move: int
    to_data_centre: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The submitter or an operator asked for the job to be stopped."""

    job_id: str
    requested_by: str


@dataclass(frozen=True, slots=True)
class UsageRecorded:
    """Usage reports read from workers."""

    reports: tuple[UsageReport, ...]


@dataclass(frozen=True, slots=True)
class UsageCorrected:
    """A correction of an organisation's charge, in accelerator-milliseconds."""

    correction_id: str
    organisation: str
    job_id: str
    accelerator_ms: int
    detail: str


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """One part of a snapshot of ``stream`` up to but excluding ``covers_offset``.

    ``written_wall_ms`` is when the snapshot was taken, in milliseconds since the epoch.
    """

    stream: str
    covers_offset: int
    snapshot_id: str
    index: int
    total: int
    data: bytes
    written_wall_ms: int = 0


Record = (
    ReleaseSubmitted
    | JobAccepted
    | AttemptClaimed
    | AttemptStarted
    | AttemptEnded
    | JobEnded
    | JobMoved
    | CancelRequested
    | UsageRecorded
    | UsageCorrected
    | SnapshotChunk
)

_TYPES_BY_NAME = {cls.__name__: cls for cls in Record.__args__}


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return encode(record)


def decode_record(data: bytes) -> Record | Undecodable:
    """Decode a record from the log, or return ``Undecodable``."""
    return decode(data, _TYPES_BY_NAME)
