"""Typed records of the log's streams, their codec, and reading and writing the log.

A record is a frozen data class. The codec encodes it as a CBOR map that contains the
type and its version. When decoding it skips unknown fields and gives absent ones their
defaults, so instances of adjacent versions can read each other's records.

The other classes synchronise an instance with the log, without doing I/O themselves:
they track its position in a stream, group records into appends, search for appends
whose answer was lost, and write and read snapshots.
"""

from .append_search import AppendSearch, SearchResult
from .codec import Undecodable, decode, encode
from .follower import Delivery, Skipped, StreamFollower
from .group_commit import Batch, BufferFull, CommitLimits, GroupCommitter, Queued
from .log_health import LogHealth
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
from .snapshots import (
    CompleteSnapshot,
    SnapshotPolicy,
    SnapshotReader,
    SnapshotSchedule,
    split_snapshot,
)
from .stream_ledger import StreamLedger

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
    "BufferFull",
    "GroupCommitter",
    "Queued",
    "LogHealth",
    "AppendSearch",
    "SearchResult",
    "SnapshotPolicy",
    "SnapshotReader",
    "SnapshotSchedule",
    "CompleteSnapshot",
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
