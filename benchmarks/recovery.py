"""Recovery time of a fresh instance, and the cost of folding release notes.

``python -m benchmarks.recovery --seed 1`` prints JSON lines. The whole stream service
runs against an in-memory log whose calls take ``ROUND_TRIP_S``. Times are wall time of
one process.
"""

from __future__ import annotations

import json
import random
import statistics
import time
from collections.abc import Iterator

import trio
import trio.testing
from absl import app, flags

from ragwortshelf.core.model import JobSpec
from ragwortshelf.core.releases import Accepted, ReleaseState, fold, restore, snapshot
from ragwortshelf.core.streams import (
    JOBS_STREAM,
    JobAccepted,
    ReleaseSubmitted,
    encode_record,
)
from ragwortshelf.daemon.streams import StreamService
from ragwortshelf.daemon.streams_fold import Fold
from ragwortshelf.net.interfaces import Appended, LogService, Page

__all__ = ["main"]

_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random numbers.")

ROUND_TRIP_S = 0.001
RECORD_COUNTS = (2_000, 8_000, 32_000)
OUTAGE_COUNTS = (500, 2_000, 8_000)

ORGANISATIONS = 390
DATA_CENTRES = 6
RACKS = 17
WORKERS_PER_RACK = 8
ACCELERATORS_PER_WORKER = 2
NOTES_MEASURED = 200


class MemoryLog(LogService):
    """A log that keeps its streams in memory and counts the appends."""

    def __init__(self):
        self.records_by_stream = {}
        self.is_unavailable = False
        self.appends = 0

    async def append(self, stream, records):
        await trio.sleep(ROUND_TRIP_S)
        self.appends += 1
        stored = self.records_by_stream.setdefault(stream, [])
        stored.extend(records)
        return Appended(len(stored) - len(records), len(records))

    async def read(self, stream, from_offset, *, limit, wait_ms):
        await trio.sleep(ROUND_TRIP_S)
        stored = self.records_by_stream.setdefault(stream, [])
        if len(stored) <= from_offset:
            await trio.sleep(wait_ms / 1000)
        page = tuple(stored[from_offset : from_offset + limit])
        return Page(from_offset, page, len(stored))


class CountFold(Fold):
    """Only counts records, so that the measured cost is that of the service."""

    def __init__(self):
        self.count = 0

    def apply(self, offset, record):
        self.count += 1

    def snapshot(self):
        return b""

    def restore(self, data):
        return False


def measure_recovery(rng: random.Random) -> Iterator[dict]:
    """Yield the time from the start of a fresh instance until it has caught up."""
    points = []
    for count in RECORD_COUNTS:
        seconds = trio.run(_recover, count, rng)
        points.append((count, seconds))
        yield {"measure": "recovery", "records": count, "ms": _ms(seconds)}
    yield {"measure": "recovery", "us_per_record": _slope_us(points)}


async def _recover(count, rng):
    log = MemoryLog()
    log.records_by_stream[JOBS_STREAM] = [_job(number) for number in range(count)]
    service = StreamService(log, "fresh", {JOBS_STREAM: CountFold()}, rng)
    started_s = time.perf_counter()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.run)
        await service.wait_for(JOBS_STREAM, count - 1)
        seconds = time.perf_counter() - started_s
        nursery.cancel_scope.cancel()
    return seconds


def _job(number):
    spec = JobSpec(
        f"organisation-{number % ORGANISATIONS}/job-{number}",
        f"organisation-{number % ORGANISATIONS}",
        "data-centre-1",
        8,
        command='{"run_ms": 3600000}',
    )
    return encode_record(JobAccepted(spec, "instance-1"))


def measure_backlog(rng: random.Random) -> Iterator[dict]:
    """Yield the time and appends that the backlog of an outage takes to be written."""
    points = []
    for count in OUTAGE_COUNTS:
        seconds, appends = trio.run(_append_backlog, count, rng)
        points.append((count, seconds))
        yield {
            "measure": "backlog",
            "records": count,
            "ms": _ms(seconds),
            "appends": appends,
        }
    yield {"measure": "backlog", "us_per_record": _slope_us(points)}


async def _append_backlog(count, rng):
    log = MemoryLog()
    service = StreamService(log, "fresh", {JOBS_STREAM: CountFold()}, rng)
    service.set_instances(6)
    record = JobAccepted(JobSpec("j", "organisation-1", "data-centre-1", 8), "i")
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as appends:
            for _ in range(count):
                appends.start_soon(service.append, JOBS_STREAM, record)
            await trio.testing.wait_all_tasks_blocked()
            started_s = time.perf_counter()
            nursery.start_soon(service.run)
        seconds = time.perf_counter() - started_s
        nursery.cancel_scope.cancel()
    return seconds, log.appends


def measure_fold(rng: random.Random) -> Iterator[dict]:
    """Yield the cost of one note by kind of change, with all organisations present."""
    state, _ = _fold_note(ReleaseState(), _added_data_centres())
    for number in range(ORGANISATIONS):
        state, result = _fold_note(state, _organisation(number, "added", 1))
        assert isinstance(result, Accepted), result
    for kind in ("weight", "guarantee", "data_centre"):
        durations = []
        for _ in range(NOTES_MEASURED):
            parts = _change(kind, rng)
            started_s = time.perf_counter()
            state, result = _fold_note(state, parts)
            durations.append(time.perf_counter() - started_s)
            assert isinstance(result, Accepted), result
        durations.sort()
        yield {
            "measure": "fold",
            "changes": kind,
            "organisations": ORGANISATIONS,
            "p50_ms": _ms(statistics.median(durations)),
            "p99_ms": _ms(durations[int(0.99 * len(durations))]),
        }
    yield from _measure_snapshot(state)


def _measure_snapshot(state):
    started_s = time.perf_counter()
    data = snapshot(state)
    written_s = time.perf_counter()
    restored = restore(data)
    restored_s = time.perf_counter()
    assert restored == state
    yield {
        "measure": "snapshot",
        "notes": len(state.entry_by_note_id),
        "bytes": len(data),
        "write_ms": _ms(written_s - started_s),
        "restore_ms": _ms(restored_s - written_s),
    }


def _fold_note(state, parts):
    note_id = f"n{state.next_offset}"
    note = {
        "note_id": note_id,
        "against_revision": state.configuration.revision,
        "author": "operator",
        **parts,
    }
    record = ReleaseSubmitted(note_id, "operator", json.dumps(note), 0)
    return fold(state, state.next_offset, record)


def _racks(number):
    return [
        {
            "name": f"rack-{rack}",
            "workers": [
                f"worker-{number}-{rack}-{worker}" for worker in range(WORKERS_PER_RACK)
            ],
            "accelerators_per_worker": ACCELERATORS_PER_WORKER,
        }
        for rack in range(RACKS)
    ]


def _added_data_centres():
    return {
        "data_centres": {
            "added": {
                f"data-centre-{number}": {
                    "region": f"region-{number % 2}",
                    "racks": _racks(number),
                }
                for number in range(DATA_CENTRES)
            }
        }
    }


def _organisation(number, kind, accelerators):
    shape = {
        "data_centre": f"data-centre-{number % DATA_CENTRES}",
        "accelerators": accelerators,
        "adjacency": "worker",
    }
    fields = {"weight": 1 + number % 5, "guarantees": [shape]}
    return {"organisations": {kind: {f"organisation-{number}": fields}}}


def _change(kind, rng):
    number = rng.randrange(ORGANISATIONS)
    if kind == "data_centre":
        number %= DATA_CENTRES
        racks = _racks(number)
        changed = {f"data-centre-{number}": {"racks": racks}}
        return {"data_centres": {"changed": changed}}
    if kind == "guarantee":
        return _organisation(number, "changed", rng.randint(1, 2))
    changed = {f"organisation-{number}": {"weight": rng.randint(1, 9)}}
    return {"organisations": {"changed": changed}}


def _ms(seconds):
    return round(seconds * 1000, 3)


def _slope_us(points):
    """Return the least-squares slope in microseconds per record."""
    counts, seconds = zip(*points, strict=True)
    slope = statistics.linear_regression(counts, seconds).slope
    return round(slope * 1e6, 2)


def main(argv: list[str]) -> None:
    """Print all measurements."""
    del argv
    seed = _SEED.value
    for measure in (measure_recovery, measure_backlog, measure_fold):
        for line in measure(random.Random(seed)):
            print(json.dumps({"seed": seed, **line}), flush=True)


if __name__ == "__main__":
    app.run(main)
