"""Keeps one endpoint's lease, follows what runs there, and carries out orders."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..core.scheduling.actions import PaceTask, StartTask, StopTask
from ..core.scheduling.fleet import EndpointInfo, EndpointListing, StartOutcome
from ..daemon.logs import log_event
from .clock import monotonic_ms
from .interfaces import EndpointAnswer, EndpointClient
from .settings import SchedulingSettings

__all__ = ["EndpointSession", "longest_ms"]

CLOCK_DRIFT = 0.98
"""How fast an endpoint's clock may run at the least, by the platform's pages."""

START_TRIES_MS = (400, 600, 900)
"""Timeouts of the tries of one start. A lost answer is the common case, for which the
second try is enough; together they stay under the time in which a gang must meet."""

FAILURES_BEFORE_LOST = 2
"""Unanswered listings in a row after which an endpoint gets nothing new. One answer
may be lost; the second question asks for an answer at once."""

RETRY_MS = 200
RETRY_MAX_MS = 800
"""Pause between questions to an endpoint that does not answer. Dozens of endpoints may
be cut off at once, and each question costs a connection."""

COMMIT_WAIT_MS = 500
"""How long a renewal is put off for ends that are not in the log yet; an append takes
8 ms, and 0.5 s on a slow log."""


def longest_ms(endpoint_ms: float) -> int:
    """Return how long a time on an endpoint's clock takes at most on this one.

    >>> longest_ms(980)
    1001
    """
    return int(endpoint_ms / CLOCK_DRIFT) + 1


class EndpointSession:
    """One endpoint under one term.

    It keeps the latest deadline sent, on the endpoint's clock, and when that has passed
    for sure on this process's clock. Before the first answer only ``unknown_lapse_ms``
    bounds what earlier terms have granted. ``is_shared`` asks for listings more often.
    """

    def __init__(
        self,
        info: EndpointInfo,
        client: EndpointClient,
        settings: SchedulingSettings,
        *,
        on_listing: Callable[[EndpointListing], Callable[[], Awaitable[None]]],
        on_unreachable: Callable[[str], None],
        on_lapsed: Callable[[str], None],
        on_fenced: Callable[[str], None],
        unknown_lapse_ms: int,
    ):
        self.info = info
        self._client = client
        self._settings = settings
        self._on_listing = on_listing
        self._on_unreachable = on_unreachable
        self._on_lapsed = on_lapsed
        self._on_fenced = on_fenced
        self._lapse_ms = unknown_lapse_ms
        self._until_ms: int | None = None
        self._clock_ms = 0
        self._clock_read_ms = 0
        self._started_wall_ms = 0
        self._ack_number = 0
        self.is_shared = False
        self._is_reachable = False
        self._failures = 0
        self._has_lapsed = False
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        """Renew and list until cancelled."""
        with self.scope:
            try:
                while True:
                    await self._renew()
            finally:
                with trio.CancelScope(shield=True):
                    await self._client.aclose()

    def end(self) -> None:
        """Stop following this endpoint."""
        self.scope.cancel()

    async def start(self, order: StartTask) -> tuple[StartOutcome, bool]:
        """Order a start, again while no answer comes.

        Returns the last outcome, and whether an earlier try went without an answer.
        """
        was_unanswered = False
        outcome = StartOutcome.UNANSWERED
        for timeout_ms in START_TRIES_MS:
            if self._until_ms is None:
                return StartOutcome.UNHEALTHY, was_unanswered
            outcome = await self._client.start(
                order.task,
                order.run,
                order.text,
                order.checkpoint,
                order.ticket,
                self._until_ms,
                timeout_ms,
            )
            if outcome is not StartOutcome.UNANSWERED:
                return outcome, was_unanswered
            was_unanswered = True
        return outcome, was_unanswered

    async def stop(self, order: StopTask) -> bool:
        """Order a stop once; the scheduler repeats it while the run is listed."""
        return await self._client.stop(
            order.task, order.run, self._settings.endpoint_timeout_ms
        )

    async def pace(self, order: PaceTask) -> bool:
        """Order a pace once; returns whether the endpoint confirmed it."""
        return await self._client.pace(
            order.task, order.run, order.percent, self._settings.endpoint_timeout_ms
        )

    async def _renew(self) -> None:
        sent_ms = monotonic_ms()
        is_urgent = self._failures > 0 or not self._has_lease(sent_ms)
        wait_ms = 0 if is_urgent else self._listing_wait_ms()
        until_ms = self._next_until(sent_ms)
        answer = await self._client.renew(
            until_ms=until_ms,
            ack_number=self._ack_number,
            wait_ms=wait_ms,
            timeout_ms=wait_ms + self._settings.endpoint_timeout_ms,
        )
        if isinstance(answer, EndpointAnswer):
            await self._answered(answer, sent_ms, until_ms)
            return
        if answer.is_fenced:
            self._on_fenced(self.info.id)
        self._failures += 1
        self._extend_grant(until_ms)
        if self._failures >= FAILURES_BEFORE_LOST:
            self._note_unreachable(answer.detail)
            self._check_lapse()
            await trio.sleep(self._pause_ms() / 1000)

    def _has_lease(self, now_ms: int) -> bool:
        """Whether a start that is sent now reaches the endpoint within its lease."""
        if self._until_ms is None:
            return False
        needed_ms = min(sum(START_TRIES_MS), self._settings.lease_ms / 2)
        return self._until_ms - self._endpoint_clock_ms(now_ms) > needed_ms

    def _listing_wait_ms(self) -> int:
        if self.is_shared:
            return self._settings.shared_listing_wait_ms
        return self._settings.listing_wait_ms

    def _next_until(self, now_ms: int) -> int | None:
        if self._clock_read_ms == 0 or self._failures > 0:
            # An unanswered renewal may still be carried out, so only answered ones
            # are extended; else the leases of a lost endpoint would never run out.
            return self._until_ms
        until = self._endpoint_clock_ms(now_ms) + self._settings.lease_ms
        return until if self._until_ms is None else max(until, self._until_ms)

    def _endpoint_clock_ms(self, now_ms: int) -> int:
        """Return what the endpoint's clock shows, if it runs like this one."""
        return self._clock_ms + (now_ms - self._clock_read_ms)

    def _grant_until(self, until_ms: int) -> None:
        """Note a deadline that the endpoint may hold, and when it has passed."""
        self._until_ms = until_ms
        self._lapse_ms = self._clock_read_ms + longest_ms(until_ms - self._clock_ms)

    def _pause_ms(self) -> int:
        """Return the pause after an unanswered listing; it grows up to a bound."""
        beyond = self._failures - FAILURES_BEFORE_LOST
        return min(RETRY_MAX_MS, RETRY_MS * (1 + beyond))

    async def _answered(self, answer: EndpointAnswer, sent_ms, until_ms) -> None:
        now_ms = monotonic_ms()
        self._failures = 0
        is_reborn = answer.started_wall_ms != self._started_wall_ms
        if is_reborn:
            self._forget_incarnation(now_ms)
        self._started_wall_ms = answer.started_wall_ms
        self._clock_ms, self._clock_read_ms = answer.clock_ms, now_ms
        if until_ms is not None and not is_reborn:
            self._grant_until(until_ms)
        if not self._has_lease(now_ms):
            # Nothing can be started before a lease is granted, which needs the clock;
            # a renewal that was repeated after failures may have run out meanwhile.
            return
        if not self._is_reachable:
            log_event(
                "endpoint_regained", endpoint=self.info.id, born=answer.started_wall_ms
            )
        self._is_reachable = True
        self._has_lapsed = False
        listing = EndpointListing(
            self.info.id,
            answer.started_wall_ms,
            sent_ms,
            answer.running,
            answer.finished,
        )
        wait_committed = self._on_listing(listing)
        if answer.finished:
            await self._acknowledge_when(wait_committed, answer)

    def _forget_incarnation(self, now_ms: int) -> None:
        """Start anew with an endpoint that has: its clock and its numbers are others.

        Deadlines on the earlier clock may reach it too; it shortens them to the longest
        lease.
        """
        self._ack_number = 0
        if self._until_ms is not None:
            lapse_ms = now_ms + longest_ms(self._settings.lease_max_ms)
            self._lapse_ms = max(self._lapse_ms, lapse_ms)
        self._until_ms = None

    async def _acknowledge_when(self, wait_committed, answer: EndpointAnswer) -> None:
        """Take the listed ends once they are in the log.

        While the log is away the lease is renewed all the same, and the ends are
        listed again.
        """
        with trio.move_on_after(COMMIT_WAIT_MS / 1000) as scope:
            await wait_committed()
        if not scope.cancelled_caught:
            self._ack_number = max(row.number for row in answer.finished)

    def _extend_grant(self, until_ms: int | None) -> None:
        if until_ms is not None:
            # The renewal may have been carried out, or be carried out later.
            self._grant_until(max(until_ms, self._until_ms or 0))

    def _note_unreachable(self, detail: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            log_event("endpoint_lost", endpoint=self.info.id, detail=detail)
            self._on_unreachable(self.info.id)

    def _check_lapse(self) -> None:
        if not self._has_lapsed and monotonic_ms() > self._lapse_ms:
            self._has_lapsed = True
            log_event("endpoint_lapsed", endpoint=self.info.id)
            self._on_lapsed(self.info.id)
