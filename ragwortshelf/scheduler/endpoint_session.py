"""Renews one endpoint's lease, lists its tasks and sends it orders."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from ..core.scheduling.actions import PaceTask, StartTask, StopTask
from ..core.scheduling.listings import EndpointInfo, EndpointListing, StartOutcome
from ..daemon.logs import log_event, log_failure
from .clock import boot_ms, monotonic_ms
from .interfaces import EndpointAnswer, EndpointClient
from .settings import SchedulingSettings
from .start_gate import StartGate

__all__ = ["EndpointSession", "StartResult", "max_local_duration_ms"]

CLOCK_RATE_MIN = 0.98
"""Minimum rate of an endpoint's clock relative to this one, stated by the platform."""

START_TIMEOUTS_MS = (400, 600, 900)
"""Timeouts of successive attempts at one start. A single lost answer is the common case
and needs one retry. Their sum is shorter than the time limit for assembling a gang."""

FAILURES_BEFORE_UNREACHABLE = 2
"""Consecutive unanswered renewals after which an endpoint receives no new tasks. A
single answer may be lost; the second renewal requests an immediate answer."""

RETRY_MS = 200
RETRY_MAX_MS = 800
"""Initial and maximum pause between renewals of an unresponsive endpoint. Dozens of
endpoints may become unreachable at once, and each attempt opens a connection."""

ROLE_CHECK_INTERVAL_MS = 50
"""Interval between checks whether an order that is held back may be sent."""

COMMIT_WAIT_MS = 500
"""Maximum delay of a renewal while finished runs are being committed to the log. An
append takes 8 ms, or 0.5 s while the log is slow."""


def max_local_duration_ms(endpoint_ms: float) -> int:
    """Return how long an endpoint's clock takes at most to advance by ``endpoint_ms``.

    The result is in milliseconds of the local clock.

    >>> max_local_duration_ms(980)
    1001
    """
    return int(endpoint_ms / CLOCK_RATE_MIN) + 1


@dataclass(frozen=True, slots=True)
class StartResult:
    """The last outcome of a start, and whether an earlier attempt went unanswered.

    ``is_known_incarnation`` is set if the run started in the known incarnation.
    """

    outcome: StartOutcome
    was_unanswered: bool = False
    is_known_incarnation: bool = False


@dataclass(frozen=True, slots=True)
class _ClockReading:
    """An endpoint's clock, and when the call was sent and answered that showed it.

    ``sent_boot_ms`` counts suspensions of this instance.
    """

    clock_ms: int
    sent_boot_ms: int
    read_ms: int

    def rules_out_restart(self, clock_ms: int | None) -> bool:
        """Whether a clock that is shown now is not that of a later incarnation.

        That one began after the call was sent, and its clock began at zero.
        """
        return clock_ms is not None and clock_ms > boot_ms() - self.sent_boot_ms


class _OpenCall:
    """A call with a deadline, which is carried out by ``latest_ms`` at the latest."""

    def __init__(self, latest_ms: int):
        self.latest_ms = latest_ms
        self.is_answered = False


class EndpointSession:
    """The scheduler's connection to one endpoint during one term.

    The session records the latest lease deadline that it has sent, on the endpoint's
    clock, and in ``lease_expiry_ms`` the local time by which all leases of the known
    incarnation have certainly expired. ``earlier_leases_expiry_ms`` and, in whichever
    incarnation, ``earlier_any_expiry_ms`` (local times) bound the leases granted
    in earlier terms, or by an earlier session.
    ``known_started_wall_ms`` is the incarnation that those knew, 0 if none, and
    ``are_earlier_calls_fenced`` whether it refuses calls sent to one before it.
    ``listing_wait_ms`` is how long the next renewals wait for changes, and so the
    interval of listings.

    An endpoint may restart under its id, with a new clock, on which an earlier deadline
    lies far ahead: a call that was sent before the restart then grants the longest
    lease. So the session raises its fencing token above those sent before, to what
    ``next_token`` returns, and uses the endpoint once an answer shows that it refuses
    the lower ones. An incarnation that is not known yet may even have received the
    newest calls; ``any_leases_expiry_ms`` bounds leases there.

    While ``may_order`` returns False nothing is sent: a process that was paused may
    have lost the role meanwhile. While ``may_extend_lease`` returns False, renewals
    carry no deadline, as a successor bounds the leases granted before.
    Starts also wait for the ``start_gate``, and are not sent once ``is_still_ordered``
    returns False for them.

    While ``are_leases_ending``, the log holds a note that no lease is extended here,
    from which a successor counts. ``on_leases_ending`` writes it once renewals fail
    again and again. Once one is answered, ``resume_leases`` is awaited, which takes the
    note back in the log; leases are extended, and the endpoint is used, only then.

    ``on_lease_expired`` is called with the endpoint's id, and with True once leases in
    any incarnation have expired, and not only those in the known one.
    """

    def __init__(
        self,
        info: EndpointInfo,
        client: EndpointClient,
        settings: SchedulingSettings,
        *,
        on_listing: Callable[[EndpointListing], Callable[[], Awaitable[None]]],
        on_unreachable: Callable[[str], None],
        on_lease_expired: Callable[[str, bool], None],
        on_leases_ending: Callable[[EndpointSession], None],
        resume_leases: Callable[[str], Awaitable[None]],
        on_fenced: Callable[[str], None],
        may_order: Callable[[], bool],
        may_extend_lease: Callable[[], bool],
        start_gate: StartGate,
        is_still_ordered: Callable[[StartTask], bool],
        next_token: Callable[[int], Awaitable[int]],
        token: int,
        earlier_leases_expiry_ms: int,
        earlier_any_expiry_ms: int,
        are_leases_ending: bool,
        known_started_wall_ms: int,
        are_earlier_calls_fenced: bool,
    ):
        self.info = info
        self._client = client
        self._settings = settings
        self._on_listing = on_listing
        self._on_unreachable = on_unreachable
        self._on_lease_expired = on_lease_expired
        self._on_leases_ending = on_leases_ending
        self._resume_leases = resume_leases
        self.are_leases_ending = are_leases_ending
        self._on_fenced = on_fenced
        self._may_order = may_order
        self._may_extend_lease = may_extend_lease
        self._start_gate = start_gate
        self._is_still_ordered = is_still_ordered
        self._next_token = next_token
        self._token = token
        # These bound leases that are not due to a deadline on the present clock.
        self._earlier_leases_expiry_ms = earlier_leases_expiry_ms
        self._earlier_any_expiry_ms = earlier_any_expiry_ms
        self._restart_expiry_ms = 0
        self._deadline_expiry_ms = 0
        self._call_expiry_ms = 0
        self._open_calls: list[_OpenCall] = []
        self._deadline_ms: int | None = None
        self._clock: _ClockReading | None = None
        self.started_wall_ms = known_started_wall_ms
        self.are_earlier_calls_fenced = are_earlier_calls_fenced
        self._is_token_due = not are_earlier_calls_fenced
        self._ack_number = 0
        self.listing_wait_ms = settings.listing_wait_ms
        self._is_reachable = False
        self._failures = 0
        self._expiry_watch: trio.CancelScope | None = None
        self._expiry_changed = trio.Event()
        # How often the endpoint was lost, or was found to have started anew.
        self._loss_count = 0
        self.scope = trio.CancelScope()

    @property
    def lease_expiry_ms(self) -> int:
        """Local time by which leases of the known incarnation have expired."""
        return max(
            self._earlier_leases_expiry_ms,
            self._restart_expiry_ms,
            self._deadline_expiry_ms,
        )

    @property
    def any_leases_expiry_ms(self) -> int:
        """Local time by which leases have expired, whichever incarnation has them."""
        open_calls = (
            self._longest_lease_expiry_ms(call.latest_ms) for call in self._open_calls
        )
        return max(
            self.lease_expiry_ms,
            self._earlier_any_expiry_ms,
            self._call_expiry_ms,
            *open_calls,
        )

    def shorten_earlier_leases(self, expiry_ms: int, any_expiry_ms: int) -> None:
        """Note that leases of earlier terms expire by then, where that is sooner.

        The first time is for leases in the known incarnation, the second for any.
        """
        self._earlier_leases_expiry_ms = min(self._earlier_leases_expiry_ms, expiry_ms)
        self._earlier_any_expiry_ms = min(self._earlier_any_expiry_ms, any_expiry_ms)
        self._expiry_changed.set()
        self._expiry_changed = trio.Event()

    async def run(self) -> None:
        """Renew the lease and list tasks until cancelled."""
        with self.scope:
            try:
                async with trio.open_nursery() as self._nursery:
                    while True:
                        await self._renew_or_pause()
            finally:
                with trio.CancelScope(shield=True):
                    await self._client.aclose()

    def end(self) -> None:
        """Cancel ``run``, which then closes the connections."""
        self.scope.cancel()

    async def start(self, order: StartTask) -> StartResult:
        """Start a task, retrying while no answer arrives.

        An endpoint that is out of contact is sent none. One that is lost meanwhile may
        have crashed by the first attempt, and is not sent another. Nor is one whose run
        was stopped or is listed meanwhile, or whose session was replaced.
        """
        was_unanswered = False
        losses = self._loss_count
        for timeout_ms in START_TIMEOUTS_MS:
            await self._wait_to_start()
            if not self._is_still_ordered(order):
                return StartResult(StartOutcome.ABANDONED, was_unanswered)
            has_ended = self.scope.cancel_called
            if was_unanswered and (has_ended or self._loss_count != losses):
                return StartResult(StartOutcome.UNANSWERED, was_unanswered)
            if self._deadline_ms is None or has_ended or not self._is_reachable:
                return StartResult(StartOutcome.UNHEALTHY, was_unanswered)
            clock, started_wall_ms = self._clock, self.started_wall_ms
            with self._counted_call(timeout_ms) as call:
                answer = await self._client.start(
                    order.task,
                    order.run,
                    order.text,
                    order.checkpoint,
                    order.ticket,
                    self._start_until_ms(),
                    timeout_ms,
                )
                call.is_answered = answer.outcome is not StartOutcome.UNANSWERED
            if answer.outcome is not StartOutcome.UNANSWERED:
                is_known = (
                    not was_unanswered
                    and started_wall_ms == self.started_wall_ms
                    and clock.rules_out_restart(answer.clock_ms)
                )
                return StartResult(answer.outcome, was_unanswered, is_known)
            was_unanswered = True
        return StartResult(StartOutcome.UNANSWERED, was_unanswered)

    def _start_until_ms(self) -> int:
        """Return until when the endpoint may carry out a start that is sent now.

        A connection that is cut may deliver a start seconds after it was given up, so a
        start is also refused as late once the bound of evacuations may have passed. The
        lease is not shortened, since endpoints keep the latest deadline.
        """
        remaining_ms = self._start_gate.remaining_ms()
        if remaining_ms is None:
            return self._deadline_ms
        elapsed_ms = monotonic_ms() - self._clock.read_ms
        until_ms = self._clock.clock_ms + int(
            CLOCK_RATE_MIN * (elapsed_ms + remaining_ms)
        )
        return min(self._deadline_ms, until_ms)

    async def stop(self, order: StopTask) -> bool:
        """Send one stop order; the scheduler repeats it while the run is listed."""
        await self._wait_for_role()
        return await self._client.stop(
            order.task, order.run, self._settings.endpoint_timeout_ms
        )

    async def pace(self, order: PaceTask) -> bool:
        """Send one pace order; returns whether the endpoint confirmed it."""
        await self._wait_for_role()
        return await self._client.pace(
            order.task, order.run, order.percent, self._settings.endpoint_timeout_ms
        )

    async def _wait_to_start(self) -> None:
        """Wait while starts are held back; the role may be lost meanwhile."""
        while not (self._may_order() and self._start_gate.is_open()):
            await self._wait_for_role()
            await self._start_gate.wait()

    async def _wait_for_role(self) -> None:
        """Wait while orders are held back; the end of the term cancels it."""
        while not self._may_order():
            await trio.sleep(ROLE_CHECK_INTERVAL_MS / 1000)

    async def _renew_or_pause(self) -> None:
        try:
            await self._renew()
        except Exception as error:
            # Costs this endpoint new tasks, and no other endpoint anything. Its lease
            # is renewed further, as its tasks may be at work.
            log_failure("endpoint_failed", endpoint=self.info.id)
            self._mark_unreachable(repr(error))
            await trio.sleep(RETRY_MAX_MS / 1000)

    async def _renew(self) -> None:
        if self._is_token_due:
            await self._raise_token()
        if self.are_leases_ending and self._clock is not None and not self._failures:
            await self._resume_leases(self.info.id)
            self.are_leases_ending = False
            if self._expiry_watch is not None:
                self._expiry_watch.cancel()
                self._expiry_watch = None
        await self._wait_for_role()
        sent_ms, sent_boot_ms = monotonic_ms(), boot_ms()
        needs_lease = not self._has_time_to_start(sent_ms) and self._may_extend_lease()
        is_urgent = self._failures > 0 or needs_lease
        wait_ms = 0 if is_urgent else self.listing_wait_ms
        until_ms = self._next_deadline_ms(sent_ms)
        timeout_ms = wait_ms + self._settings.endpoint_timeout_ms
        if until_ms is not None:
            self._record_sent_deadline(until_ms)
        with self._counted_call(timeout_ms, until_ms is not None) as call:
            answer = await self._client.renew(
                until_ms=until_ms,
                ack_number=self._ack_number,
                wait_ms=wait_ms,
                timeout_ms=timeout_ms,
            )
            call.is_answered = isinstance(answer, EndpointAnswer)
        if isinstance(answer, EndpointAnswer):
            await self._handle_answer(answer, sent_ms, sent_boot_ms, until_ms)
            return
        if answer.is_fenced:
            self._on_fenced(self.info.id)
        self._failures += 1
        self._record_unanswered_deadline(until_ms)
        if self._failures >= FAILURES_BEFORE_UNREACHABLE:
            self._mark_unreachable(answer.detail)
            if self._expiry_watch is None:
                self._expiry_watch = trio.CancelScope()
                self._nursery.start_soon(self._watch_expiry, self._expiry_watch)
            if not self.are_leases_ending:
                self.are_leases_ending = True
                self._on_leases_ending(self)
            await trio.sleep(self._pause_ms() / 1000)

    def _has_time_to_start(self, now_ms: int) -> bool:
        """Whether the lease leaves enough time for a start that is sent now."""
        if self._deadline_ms is None:
            return False
        needed_ms = min(sum(START_TIMEOUTS_MS), self._settings.lease_ms / 2)
        return self._deadline_ms - self._endpoint_clock_ms(now_ms) > needed_ms

    def _next_deadline_ms(self, now_ms: int) -> int | None:
        """Return the deadline that the next renewal carries; None to extend no lease.

        An unanswered renewal may still take effect. No further one extends the lease,
        so that that of an unreachable endpoint expires.
        """
        if self._clock is None or self._failures > 0 or self.are_leases_ending:
            return None
        if not self._may_extend_lease():
            return None
        # On a slow clock, so that no lease is longer than a successor expects.
        elapsed_ms = int(CLOCK_RATE_MIN * (now_ms - self._clock.read_ms))
        until_ms = self._clock.clock_ms + elapsed_ms + self._settings.lease_ms
        return (
            until_ms if self._deadline_ms is None else max(until_ms, self._deadline_ms)
        )

    def _endpoint_clock_ms(self, now_ms: int) -> int:
        """Estimate the endpoint's clock, assuming the same rate as the local clock."""
        return self._clock.clock_ms + (now_ms - self._clock.read_ms)

    def _record_sent_deadline(self, until_ms: int) -> None:
        """Record that the endpoint may hold a deadline from now on.

        The session may end before the answer, and another one take its place.
        """
        expiry_ms = self._local_expiry_ms(until_ms)
        self._deadline_expiry_ms = max(self._deadline_expiry_ms, expiry_ms)

    def _record_deadline(self, until_ms: int) -> None:
        """Record a deadline that the endpoint may hold, and its local expiry time."""
        self._deadline_ms = until_ms
        self._deadline_expiry_ms = self._local_expiry_ms(until_ms)

    @contextmanager
    def _counted_call(self, timeout_ms: int, has_deadline: bool = True):
        """Count a call with a deadline, which may reach an incarnation not known yet.

        Without an answer it may be carried out until its time limit.
        """
        call = _OpenCall(monotonic_ms() + timeout_ms)
        if not has_deadline:
            yield call
            return
        self._open_calls.append(call)
        try:
            yield call
        finally:
            self._open_calls.remove(call)
            end_ms = monotonic_ms() if call.is_answered else call.latest_ms
            expiry_ms = self._longest_lease_expiry_ms(end_ms)
            self._call_expiry_ms = max(self._call_expiry_ms, expiry_ms)

    def _longest_lease_expiry_ms(self, granted_ms: int) -> int:
        return granted_ms + max_local_duration_ms(self._settings.lease_max_ms)

    def _local_expiry_ms(self, until_ms: int) -> int:
        """Return the local time by which the endpoint's clock has reached a time."""
        duration_ms = max_local_duration_ms(until_ms - self._clock.clock_ms)
        return self._clock.read_ms + duration_ms

    def _pause_ms(self) -> int:
        """Return the pause before the next renewal, which grows up to its maximum."""
        extra_failures = self._failures - FAILURES_BEFORE_UNREACHABLE
        return min(RETRY_MAX_MS, RETRY_MS * (1 + extra_failures))

    async def _handle_answer(
        self, answer: EndpointAnswer, sent_ms, sent_boot_ms, until_ms
    ) -> None:
        now_ms = monotonic_ms()
        self._failures = 0
        is_same_incarnation = answer.started_wall_ms == self.started_wall_ms
        if not is_same_incarnation:
            self._reset_incarnation(answer, now_ms)
        elif not self.are_earlier_calls_fenced:
            # Calls sent before the restart may have been carried out until now.
            self.are_earlier_calls_fenced = True
            self._bound_earlier_leases(now_ms)
        self._clock = _ClockReading(answer.clock_ms, sent_boot_ms, now_ms)
        if until_ms is not None and is_same_incarnation:
            self._record_deadline(until_ms)
        if self.are_leases_ending:
            return
        if not self._has_time_to_start(now_ms):
            # Tasks start only under a lease, and granting one needs the clock from the
            # first answer. A deadline repeated after failures may have expired.
            if answer.finished and not self._may_extend_lease():
                # The next answer would not wait either, as no end is acknowledged.
                await trio.sleep(COMMIT_WAIT_MS / 1000)
            return
        if not self._is_reachable:
            log_event(
                "endpoint_regained",
                endpoint=self.info.id,
                address=self.info.address,
                born=answer.started_wall_ms,
            )
        self._is_reachable = True
        listing = EndpointListing(
            self.info.id,
            answer.started_wall_ms,
            sent_ms,
            answer.running,
            answer.finished,
            answer.clock_ms,
        )
        wait_committed = self._on_listing(listing)
        if answer.finished:
            await self._acknowledge_after_commit(wait_committed, answer)

    def _reset_incarnation(self, answer: EndpointAnswer, now_ms: int) -> None:
        """Reset the session for another incarnation, with a new clock and numbering.

        Calls sent before the restart may have been carried out, or may still be.
        """
        is_restart = self.started_wall_ms != 0
        self.started_wall_ms = answer.started_wall_ms
        self._ack_number = 0
        self._loss_count += 1
        self._deadline_ms = None
        self._deadline_expiry_ms = 0
        if is_restart:
            self.are_earlier_calls_fenced = False
            self._is_token_due = True
            self._bound_earlier_leases(now_ms)
            self._mark_unreachable("restarted")

    def _bound_earlier_leases(self, now_ms: int) -> None:
        """Allow for the longest lease by a call that was carried out by now."""
        expiry_ms = self._longest_lease_expiry_ms(now_ms)
        self._restart_expiry_ms = max(self._restart_expiry_ms, expiry_ms)

    async def _raise_token(self) -> None:
        """Raise the fencing token above all that were sent before."""
        self._token = await self._next_token(self._token)
        self._client.raise_token(self._token)
        self._is_token_due = False

    async def _acknowledge_after_commit(
        self, wait_committed, answer: EndpointAnswer
    ) -> None:
        """Acknowledge the finished runs once they are in the log.

        If the log is unavailable, the lease is still renewed and the endpoint lists
        the finished runs again.
        """
        with trio.move_on_after(COMMIT_WAIT_MS / 1000) as scope:
            await wait_committed()
        if not scope.cancelled_caught:
            self._ack_number = max(row.number for row in answer.finished)

    def _record_unanswered_deadline(self, until_ms: int | None) -> None:
        if until_ms is not None:
            # The renewal may have taken effect, or may do so later.
            self._record_deadline(max(until_ms, self._deadline_ms or 0))

    def _mark_unreachable(self, detail: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._loss_count += 1
            now_ms = monotonic_ms()
            log_event(
                "endpoint_lost",
                endpoint=self.info.id,
                detail=detail,
                lease_ms=self.lease_expiry_ms - now_ms,
                any_lease_ms=self.any_leases_expiry_ms - now_ms,
            )
            self._on_unreachable(self.info.id)

    async def _watch_expiry(self, scope: trio.CancelScope) -> None:
        """Report when leases have expired, until they are extended again.

        Calls that time out do not delay it.
        """
        with scope:
            await self._report_expiry_after(lambda: self.lease_expiry_ms, False)
            await self._report_expiry_after(lambda: self.any_leases_expiry_ms, True)

    async def _report_expiry_after(
        self, expiry_ms: Callable[[], int], is_any_incarnation: bool
    ) -> None:
        while (left_ms := expiry_ms() - monotonic_ms()) >= 0:
            with trio.move_on_after((left_ms + 1) / 1000):
                await self._expiry_changed.wait()
        while not self._report_lease_expiry(is_any_incarnation):
            await trio.sleep(RETRY_MAX_MS / 1000)

    def _report_lease_expiry(self, is_any_incarnation: bool) -> bool:
        """Report that leases have expired; returns whether that succeeded."""
        try:
            self._on_lease_expired(self.info.id, is_any_incarnation)
            return True
        except Exception:
            log_failure("endpoint_failed", endpoint=self.info.id)
            return False
