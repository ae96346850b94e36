"""Typed records of the log's streams and the codec between them and bytes.

A record is a frozen data class. The codec writes it as a CBOR map that names the type
and its version, skips fields that it does not know and fills absent ones with their
defaults, so instances of neighbouring versions read each other's records.

Beside them stand the machines that keep an instance at one with the log: its position
in a stream, group commit, the search for appends whose answer was lost, and snapshots.
"""

from .codec import Undecodable, decode, encode
from .follower import Delivery, Skipped, StreamFollower
from .group_commit import Batch, CommitLimits, Full, GroupCommitter, Queued
from .health import LogHealth
from .ledgers import StreamLedger
from .records import (
    JOBS_STREAM,
    RELEASES_STREAM,
    SNAPSHOTS_STREAM,
    USAGE_STREAM,
    AttemptClaimed,
    AttemptEnded,
    AttemptStarted,
    CancelRequested,
    JobAccepted,
    JobEnded,
    JobMoved,
    Record,
    ReleaseSubmitted,
    SnapshotChunk,
    UsageCorrected,
    UsageRecorded,
    decode_record,
    encode_record,
)
from .search import AppendSearch, SearchResult
from .snapshots import (
    SnapshotPolicy,
    SnapshotReader,
    SnapshotSchedule,
    WholeSnapshot,
    split_snapshot,
)

__all__ = [
    "StreamLedger",
    "Undecodable",
    "decode",
    "encode",
    "Delivery",
    "Skipped",
    "StreamFollower",
    "Batch",
    "CommitLimits",
    "Full",
    "GroupCommitter",
    "Queued",
    "LogHealth",
    "AppendSearch",
    "SearchResult",
    "SnapshotPolicy",
    "SnapshotReader",
    "SnapshotSchedule",
    "WholeSnapshot",
    "split_snapshot",
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
