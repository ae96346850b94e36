"""Leader election: claims the scheduler's role when no instance renews its term."""

from __future__ import annotations

import random
from collections.abc import Mapping

import trio

from ..core.scheduling.record_codec import encode_record
from ..core.scheduling.records import TermClock, TermHeld
from ..daemon.logs import log_event, log_failure
from .clock import boot_ms, wall_ms
from .configuration_follower import ConfigurationFollower
from .interfaces import (
    Appended,
    Entry,
    PlatformAdapter,
    ProducerFence,
    entry_bytes,
)
from .leadership import Leadership
from .log_follower import LogFollower, NotedLeases
from .log_topics import LogTopics
from .settings import SchedulingSettings
from .term_reports import TermReporter
from .term_writer import PRODUCER, RESIGNED

__all__ = ["Election"]

TERM_CHECK_INTERVAL_MS = 50
"""Interval between checks of the current term; short compared with its timeout."""

CLAIM_JITTER_MS = 150
"""Maximum random delay of a claim, so that most instances see the first claim before
they make their own. A claim takes one append of 6 ms and is visible to the next
read."""

CLAIM_DELAY_MS_PER_MISSING_CORE = 800
CLAIM_DELAY_MAX_MS = 500
"""Additional delay of claims by instances with less than one core, so that larger
instances usually win. An instance with half a core is delayed by more than the jitter;
the maximum is short compared with the term's timeout. Scheduling 176 endpoints needs
more than half a core."""

FAILED_TERM_PAUSE_MS = 5_000
FAILED_TERM_DOUBLINGS_MAX = 6
"""Pause before the next claim of an instance whose term was ended by an unexpected
error. It is longer than a successor needs, and grows to about five minutes."""

FIRST_SEQUENCE_MAX = 1 << 48
"""Upper bound of a term's first sequence number. Every JSON reader represents smaller
integers exactly, and two claims at one offset collide about once in 10^14 cases."""


class Election:
    """Claims the scheduler's role when the log shows that no other instance holds it.

    Missing renewals count only while the log answers, so an outage of the log does not
    cause a change of scheduler.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        logs: LogTopics,
        settings: SchedulingSettings,
        follower: LogFollower,
        configuration: ConfigurationFollower,
        term_reporter: TermReporter,
    ):
        self._adapter = adapter
        self._logs = logs
        self.settings = settings
        self._follower = follower
        self._configuration = configuration
        self._term_reporter = term_reporter
        self._metrics = logs.metrics
        self.leadership: Leadership | None = None
        self.is_stopping = False
        self._failed_term_count = 0
        self._no_claim_until_boot_ms = 0

    async def run(self) -> None:
        """Watch the current term, and claim and hold the role, until cancelled."""
        while True:
            await trio.sleep(TERM_CHECK_INTERVAL_MS / 1000)
            if not self._should_claim():
                continue
            delay_ms = self._small_instance_delay_ms() + random.uniform(
                0, CLAIM_JITTER_MS
            )
            await trio.sleep(delay_ms / 1000)
            # On a slow log a read takes 240 ms; the state is rarely more recent.
            limit_ms = self.settings.log_call_timeout_ms
            if not await self._follower.refresh(limit_ms, limit_ms):
                continue
            if self._should_claim():
                await self._claim()

    async def stop(self, timeout_ms: int) -> None:
        """Resign the role if it is held, and make no further claims.

        Waits up to ``timeout_ms`` for the resignation to be in the log.
        """
        self.is_stopping = True
        leadership = self.leadership
        if leadership is None:
            return
        leadership.resign()
        with trio.move_on_after(timeout_ms / 1000):
            while self.leadership is not None:
                await trio.sleep(0.02)

    def _should_claim(self) -> bool:
        follower = self._follower
        if self.is_stopping or not self._configuration.is_trusted():
            return False
        if boot_ms() < self._no_claim_until_boot_ms:
            return False
        if (
            follower.answering_since_boot_ms is None
            or follower.confirmed_boot_ms is None
        ):
            return False
        term = follower.table.term
        if term is None or term.is_resigned:
            return True
        if term.holder == self.settings.instance:
            # The term belongs to an earlier process of this instance, which has ended.
            return True
        now = boot_ms()
        unrenewed_since_boot_ms = max(
            follower.term_activity_boot_ms or 0, follower.answering_since_boot_ms
        )
        return now - unrenewed_since_boot_ms > self.settings.term_timeout_ms

    def _small_instance_delay_ms(self) -> float:
        """Return the additional claim delay of an instance with less than one core."""
        missing = max(0.0, 1.0 - self.settings.cores)
        return min(missing * CLAIM_DELAY_MS_PER_MISSING_CORE, CLAIM_DELAY_MAX_MS)

    async def _claim(self) -> None:
        follower = self._follower
        previous = follower.table.term
        # The claim succeeds only if no record has followed those that were read.
        noted_leases = follower.noted_leases()
        offset = follower.next_offset
        claim = TermHeld(offset + 1, self.settings.instance, wall_ms())
        # The log answers a repeated sequence number like the original append, so two
        # instances that claim the same offset must use different numbers.
        sequence = random.randrange(FIRST_SEQUENCE_MAX)
        claimed_boot_ms = boot_ms()
        outcome = await self._logs.jobs.append(
            self._claim_entries(claim, claimed_boot_ms, noted_leases),
            timeout_ms=self.settings.log_call_timeout_ms,
            at=offset,
            fence=ProducerFence(PRODUCER, claim.term, sequence),
        )
        self._metrics.count("term_claims_total", outcome=type(outcome).__name__.lower())
        log_event(
            "term_claimed",
            term=claim.term,
            previous=previous.holder if previous else None,
            outcome=type(outcome).__name__.lower(),
        )
        if not isinstance(outcome, Appended):
            follower.wake()
            await trio.sleep(CLAIM_JITTER_MS / 1000)
            return
        if not await follower.wait_for_offset(
            outcome.end, 4 * self.settings.log_call_timeout_ms
        ):
            return
        follower.own_term = claim.term
        try:
            self.leadership = Leadership(
                claim,
                claimed_boot_ms,
                self._adapter,
                self._logs,
                self.settings,
                follower,
                self._configuration,
                noted_leases,
                sequence,
            )
            reason = await self.leadership.run()
        except Exception:
            self._note_failed_term(claim)
            if self.leadership is not None:
                self._report_term()
        else:
            self._failed_term_count = 0
            if reason != RESIGNED:
                self._report_term()
        finally:
            self.leadership = None
            follower.restart()

    def _claim_entries(
        self,
        claim: TermHeld,
        claimed_boot_ms: int,
        noted_leases: Mapping[str, NotedLeases],
    ) -> list[Entry]:
        """Return the records of a claim, and with it the notes of the holder before.

        So they hold from the claim on, although it may be the last record of its term.
        Those that do not fit are written by the first append.
        """
        entries = [encode_record(claim), encode_record(TermClock(claim.term, 0))]
        size = sum(map(entry_bytes, entries))
        for endpoint_id, noted in noted_leases.items():
            record = noted.record(endpoint_id, claim.term, claimed_boot_ms)
            entry = encode_record(record)
            size += entry_bytes(entry)
            if size > self.settings.append_bytes_max():
                break
            entries.append(entry)
        return entries

    def _report_term(self) -> None:
        """Let successors know when the leases end of the term that ended just now."""
        try:
            self._term_reporter.add(self.leadership.ended_term())
        except Exception:
            # Costs waits for leases: a successor counts as long as they can last.
            log_failure("term_not_reported")

    def _note_failed_term(self, claim: TermHeld) -> None:
        """Log an unexpected error that ended a term, and pause before the next claim.

        The pause doubles with each failed term in a row, so that an error that repeats
        does not make this instance claim the role without end.
        """
        doublings = min(self._failed_term_count, FAILED_TERM_DOUBLINGS_MAX)
        pause_ms = FAILED_TERM_PAUSE_MS << doublings
        self._failed_term_count += 1
        self._no_claim_until_boot_ms = boot_ms() + pause_ms
        log_failure("term_failed", term=claim.term, no_claim_ms=pause_ms)
