"""Claims the scheduler's role when no instance renews it."""

from __future__ import annotations

import random

import trio

from ..core.scheduling.records import TermHeld, encode_record
from ..daemon.logs import log_event
from .clock import boot_ms, wall_ms
from .configuration import ConfigurationFollower
from .interfaces import Appended, OutsideWorld, ProducerFence
from .leadership import Leadership
from .log_follower import LogFollower
from .logs import Logs
from .settings import SchedulingSettings
from .term_writer import PRODUCER

__all__ = ["Election"]

CHECK_MS = 50
"""Time between two looks at the term; small against its timeout."""

JITTER_MS = 150
"""Spread of the claims, so that most instances see the first one instead of losing
to it; a claim costs one append of 6 ms and is seen at the next read."""

HANDICAP_MS_PER_CORE = 800
HANDICAP_MAX_MS = 500
"""Delay of the claims of instances with less than a core: beyond the jitter of larger
ones, and short against the term's timeout. The scheduler of 176 endpoints needs more
than half a core."""

FIRST_SEQUENCE_MAX = 1 << 48
"""Bound of the first sequence number of a term, below the integers of any JSON reader;
two claims of one offset agree by chance once in some 10^14."""


class Election:
    """Holds the role whenever the log shows that nobody else does.

    Silence counts only while the log answers: an outage of the log changes nobody.
    """

    def __init__(
        self,
        world: OutsideWorld,
        logs: Logs,
        settings: SchedulingSettings,
        follower: LogFollower,
        configuration: ConfigurationFollower,
    ):
        self._world = world
        self._logs = logs
        self.settings = settings
        self._follower = follower
        self._configuration = configuration
        self._metrics = logs.metrics
        self.leadership: Leadership | None = None
        self.is_stopping = False

    async def run(self) -> None:
        """Watch the term, and hold it in turn, until cancelled."""
        while True:
            await trio.sleep(CHECK_MS / 1000)
            if not self._should_claim():
                continue
            delay_ms = self._handicap_ms() + random.uniform(0, JITTER_MS)
            await trio.sleep(delay_ms / 1000)
            # A slow log takes 240 ms a read, so the state is rarely younger than that.
            limit_ms = self.settings.log_call_timeout_ms
            if not await self._follower.refresh(limit_ms, limit_ms):
                continue
            if self._should_claim():
                await self._claim()

    async def stop(self, timeout_ms: int) -> None:
        """Give the role up, if it is held, and claim it no more."""
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
        if follower.streak_boot_ms is None or follower.confirmed_boot_ms is None:
            return False
        term = follower.table.term
        if term is None or term.is_resigned:
            return True
        if term.holder == self.settings.instance:
            # An earlier process of this instance held the role; it has ended.
            return True
        now = boot_ms()
        seen = max(follower.term_seen_boot_ms or 0, follower.streak_boot_ms)
        return now - seen > self.settings.term_timeout_ms

    def _handicap_ms(self) -> float:
        """Return how much later than a full core this instance claims."""
        missing = max(0.0, 1.0 - self.settings.cores)
        return min(missing * HANDICAP_MS_PER_CORE, HANDICAP_MAX_MS)

    async def _claim(self) -> None:
        follower = self._follower
        previous = follower.table.term
        offset = follower.next_offset
        claim = TermHeld(offset + 1, self.settings.instance, wall_ms())
        # The log answers a repeated sequence number as it answered the first, so the
        # numbers of two instances that claim the same offset have to differ.
        sequence = random.randrange(FIRST_SEQUENCE_MAX)
        outcome = await self._logs.jobs.append(
            [encode_record(claim)],
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
            await trio.sleep(JITTER_MS / 1000)
            return
        if not await follower.reach(outcome.end, 4 * self.settings.log_call_timeout_ms):
            return
        follower.own_term = claim.term
        self.leadership = Leadership(
            claim,
            self._world,
            self._logs,
            self.settings,
            follower,
            self._configuration,
            previous,
            sequence,
        )
        try:
            await self.leadership.run()
        finally:
            self.leadership = None
            follower.restart()
