"""Admission control: early refusal of requests, and slots reserved against bursts.

A request is refused on arrival if its deadline cannot be met, given the requests queued
before it in its organisation and the organisation's share of the slots. The refusal
carries the time after which a retry makes sense.
"""

from __future__ import annotations

from ..model import NotRun, Reason, Request
from .fair_queue import FairQueue
from .run_times import RunTimes

__all__ = ["is_within_share", "refusal"]

RESERVED_SLOT_DIVISOR = 32
RETRY_AFTER_MIN_MS = 10
NO_CAPACITY_RETRY_AFTER_MS = 1_000


def refusal(
    request: Request,
    queue: FairQueue,
    slots: int,
    run_times: RunTimes,
    queue_limit: int,
    now_ms: int,
) -> NotRun | None:
    """Return why a new request is refused, or None to queue it.

    ``slots`` are the slots that serve the queue, and ``queue_limit`` is the number of
    requests of one organisation that may wait.
    """
    if request.deadline_ms <= now_ms:
        return NotRun(Reason.DEADLINE_PASSED, "the deadline had passed on arrival")
    if slots <= 0:
        return NotRun(
            Reason.NO_CAPACITY, "no endpoint is available", NO_CAPACITY_RETRY_AFTER_MS
        )
    if queue.waiting(request.organisation) >= queue_limit:
        wait_ms = int(queue.work_ms(request.organisation) / slots)
        return NotRun(
            Reason.QUEUE_FULL, "too many requests wait", wait_ms + RETRY_AFTER_MIN_MS
        )
    run_ms = run_times.median_ms(request.request_class)
    wait_ms = queue.expected_wait_ms(request, slots, now_ms)
    late_ms = now_ms + wait_ms + run_ms - request.deadline_ms
    if late_ms <= 0:
        return None
    return NotRun(
        Reason.DEADLINE_UNREACHABLE,
        f"expected {int(late_ms)} ms after the deadline",
        int(late_ms) + RETRY_AFTER_MIN_MS,
    )


def is_within_share(
    in_flight: int, weight: int, total_weight: int, slots: int, free_slots: int
) -> bool:
    """Whether an organisation may take a free slot now.

    An organisation below its weighted share may take any free slot. At or above its
    share it has to leave ``slots // RESERVED_SLOT_DIVISOR`` free, so that a burst of
    long requests does not delay the quick requests of another organisation.
    """
    if in_flight * total_weight < slots * weight:
        return True
    return free_slots > slots // RESERVED_SLOT_DIVISOR
