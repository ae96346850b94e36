"""Runs of tasks on endpoints, as far as orders and listings tell."""

from __future__ import annotations

import enum

from .model import Resources, UnitKey

__all__ = ["FINISHED_PERCENT", "LISTING_GAP_MAX_MS", "RunStage", "TaskPlacement"]

LISTING_GAP_MAX_MS = 1_500
"""Longest time between two listings that counts as time without progress. Listings of a
reachable endpoint are at most about a second apart."""

FINISHED_PERCENT = 99
"""Progress from which a task counts as finished; percents are rounded down."""


class RunStage(enum.Enum):
    """Stage of a run, as far as known from the log, orders and listings.

    A LOGGED run was adopted and is not listed yet. An ORDERED run has been ordered to
    start, and a STOPPING one to stop.
    """

    LOGGED = "logged"
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class TaskPlacement:
    """One run of a task on one endpoint, kept until its resources are released.

    ``confirmed_ms`` is when the run was first known to be on the endpoint, and
    ``fenced_ms`` when the endpoint confirmed a stop. ``next_stop_ms`` is when an order
    to stop is repeated. ``without_progress_ms`` is how long the listings have shown the
    same ``progress_percent``; ``listed_ms`` is when the last of them arrived, and
    ``first_percent`` what the first one showed, at ``first_listed_ms``;
    ``unfinished_percent`` and ``unfinished_ms`` are those of the last one that showed
    the run unfinished, and ``listed_pace_percent`` is the pace ordered before the last
    of all. An adopted placement was made in an earlier term, and no listing
    has confirmed or refuted it in this one yet. One that ``is_located`` is
    in the known incarnation of its endpoint, if it is anywhere there: a listing, or the
    answer to its start, has shown it, or an earlier term had seen that.

    ``is_sent`` is set once its start may have reached the endpoint, and ``is_settled``
    once the run has been listed some time after it; in between it is fresh. It
    ``is_suspected`` if contact was lost while it was. ``speed_run`` is what its
    progress tells of the endpoint's speed, kept by the speed tracker.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_ms",
        "endpoint_id",
        "fenced_ms",
        "first_listed_ms",
        "first_percent",
        "index",
        "is_adopted",
        "is_located",
        "is_sent",
        "is_settled",
        "is_suspected",
        "listed_ms",
        "listed_pace_percent",
        "load_metric",
        "next_stop_ms",
        "occupied",
        "ordered_ms",
        "pace_percent",
        "progress_percent",
        "run",
        "speed_run",
        "stage",
        "task",
        "unfinished_ms",
        "unfinished_percent",
        "unit_key",
        "without_progress_ms",
    )

    def __init__(
        self,
        unit_key: UnitKey,
        index: int,
        task: str,
        run: int,
        endpoint_id: str,
        occupied: Resources,
        now_ms: int,
    ):
        self.unit_key = unit_key
        self.index = index
        self.task = task
        self.run = run
        self.endpoint_id = endpoint_id
        self.occupied = occupied
        self.stage = RunStage.LOGGED
        self.ordered_ms = now_ms
        self.is_adopted = False
        self.is_located = False
        self.is_sent = False
        self.is_settled = False
        self.is_suspected = False
        self.confirmed_ms: int | None = None
        self.fenced_ms: int | None = None
        self.next_stop_ms = 0
        self.checkpoint = ""
        self.progress_percent = 0.0
        self.pace_percent = 100
        self.listed_pace_percent = 100
        self.load_metric = 0.0
        self.listed_ms = now_ms
        self.without_progress_ms = 0
        self.first_listed_ms = now_ms
        self.first_percent: float | None = None
        self.speed_run = None
        self.unfinished_ms = now_ms
        self.unfinished_percent = 0.0

    def record_progress(
        self,
        percent: float,
        now_ms: int,
        working_since_ms: int | None,
        counted_gap_max_ms: int = LISTING_GAP_MAX_MS,
    ) -> None:
        """Note the progress that a listing shows.

        ``working_since_ms`` is when the starts of all tasks of the unit were confirmed;
        None before that. No time before it counts as time without progress, and no pace
        is taken from it, since a gang's member waits for the others.

        A listing that is late says nothing about the time since the one before: the
        endpoint or this process may have been paused, or the network cut. So the time
        since the one before does not count if it exceeds ``LISTING_GAP_MAX_MS``, and
        counts as ``counted_gap_max_ms`` at most.
        """
        is_full_pace = self.pace_percent == 100 and self.listed_pace_percent == 100
        is_unchanged = percent == self.progress_percent
        if is_unchanged and working_since_ms is not None and is_full_pace:
            if now_ms - self.listed_ms <= LISTING_GAP_MAX_MS:
                since_ms = max(self.listed_ms, working_since_ms)
                gap_ms = min(now_ms - since_ms, counted_gap_max_ms)
                self.without_progress_ms += gap_ms
        else:
            self.progress_percent = percent
            self.without_progress_ms = 0
        if self.first_percent is None and working_since_ms is not None:
            self.first_percent, self.first_listed_ms = percent, now_ms
        self.listed_pace_percent = self.pace_percent
        if percent < FINISHED_PERCENT:
            self.unfinished_percent, self.unfinished_ms = percent, now_ms
        self.listed_ms = now_ms

    @property
    def is_fresh(self) -> bool:
        """Whether the run may have started and is not known to have survived that."""
        return self.is_sent and not self.is_settled

    def was_confirmed(self, before_ms: int) -> bool:
        """Whether the run was confirmed strictly before ``before_ms``.

        Two events of the same millisecond may have happened in either order.
        """
        return self.confirmed_ms is not None and self.confirmed_ms < before_ms

    def was_fenced(self, before_ms: int) -> bool:
        """Whether the endpoint confirmed a stop strictly before ``before_ms``."""
        return self.fenced_ms is not None and self.fenced_ms < before_ms
