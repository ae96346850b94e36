"""Time until a fresh instance has brought the configuration into force.

The instance decodes and folds the records of release notes, or restores a snapshot of
the state. Times are wall time of one process, without fetching pages from the log.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator

from ragwortshelf.core.releases import Accepted, ReleaseState, fold, restore, snapshot
from ragwortshelf.core.streams import (
    ReleaseSubmitted,
    decode_record,
    encode_record,
)

__all__ = ["measure_recovery"]

ORGANISATIONS = 390
RECORD_COUNTS = (640, 1_280, 2_560)


def measure_recovery(seed: int) -> Iterator[dict]:
    """Yield the recovery time by number of records; ``seed`` has no effect."""
    del seed
    for count in RECORD_COUNTS:
        records = [_record(offset) for offset in range(count)]
        started_s = time.perf_counter()
        state = ReleaseState()
        for offset, data in enumerate(records):
            state, result = fold(state, offset, decode_record(data))
            assert result == Accepted(offset), result
        folded_s = time.perf_counter() - started_s
        data = snapshot(state)
        started_s = time.perf_counter()
        restored = restore(data)
        restored_s = time.perf_counter() - started_s
        assert restored == state
        yield {
            "measure": "recovery",
            "records": count,
            "fold_ms": round(folded_s * 1000, 1),
            "snapshot_bytes": len(data),
            "restore_ms": round(restored_s * 1000, 1),
        }


def _record(offset: int) -> bytes:
    name = f"organisation-{offset % ORGANISATIONS}"
    kind = "added" if offset < ORGANISATIONS else "changed"
    note = {
        "note_id": f"n{offset}",
        "against_revision": offset - 1,
        "author": "operator",
        "organisations": {kind: {name: {"weight": 1 + offset % 7}}},
    }
    return encode_record(
        ReleaseSubmitted(f"n{offset}", "operator", json.dumps(note), 0)
    )
