"""Time in which a fresh instance brings the configuration into force.

It decodes and folds the records of release notes, or restores a snapshot of the state.
Wall time of one process; the time to fetch pages from the log is left out.
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
    """Yield the recovery time by number of records; ``seed`` changes nothing."""
    del seed
    for count in RECORD_COUNTS:
        records = [_record(offset) for offset in range(count)]
        begun_s = time.perf_counter()
        state = ReleaseState()
        for offset, data in enumerate(records):
            state, verdict = fold(state, offset, decode_record(data))
            assert verdict == Accepted(offset), verdict
        folded_s = time.perf_counter() - begun_s
        data = snapshot(state)
        begun_s = time.perf_counter()
        restored = restore(data)
        restored_s = time.perf_counter() - begun_s
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
