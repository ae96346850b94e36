"""Typed records of the log's streams and the codec between them and bytes.

A record is a frozen data class. The codec writes it as a CBOR map that names the type
and its version, skips fields that it does not know and fills absent ones with their
defaults, so instances of neighbouring versions read each other's records.
"""

from .codec import Undecodable, decode, encode
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

__all__ = [
    "Undecodable",
    "decode",
    "encode",
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
