"""Sends the scheduler's orders and reports their outcomes back to it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import contextmanager

import trio

from ..core.advice import OpenQuestion
from ..core.scheduling import Scheduler
from ..core.scheduling.actions import AskAdvice, PaceTask, StartTask, StopTask
from ..core.scheduling.listings import StartOutcome
from ..daemon.logs import log_event, log_failure
from ..daemon.metrics import Metrics
from .clock import monotonic_ms, wall_ms
from .endpoint_session import EndpointSession, StartResult
from .interfaces import PlatformAdapter
from .start_gate import StartGate

__all__ = ["OrderSender"]

CAPACITY_AGE_MAX_MS = 2_000
"""Maximum age of the reports of endpoints at a start that would not be refused for want
of room. They are read every 0.4 s, and endpoints report every 1.5 s."""

CAPACITY_CHECK_INTERVAL_MS = 50
"""Interval between checks whether the reports have been read again."""


class OrderSender:
    """Carries out individual actions; each method runs as a separate task.

    ``reports_age_ms`` returns the age of the endpoints' reports, or None before the
    first. ``on_outcome`` is called after an outcome was reported to the scheduler, with
    True if the scheduler should plan again.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        session_by_id: Mapping[str, EndpointSession],
        adapter: PlatformAdapter,
        metrics: Metrics,
        reports_age_ms: Callable[[], int | None],
        start_gate: StartGate,
        on_outcome: Callable[[bool], None],
    ):
        self._scheduler = scheduler
        self._session_by_id = session_by_id
        self._adapter = adapter
        self._metrics = metrics
        self._reports_age_ms = reports_age_ms
        self._start_gate = start_gate
        self._on_outcome = on_outcome

    async def start(self, order: StartTask) -> None:
        """Start a task, unless its run was abandoned while its record was written."""
        try:
            await self._start(order)
        except Exception:
            log_failure("order_failed", order=repr(order))
            with self._boundary(order):
                self._report_start(order, StartResult(StartOutcome.UNANSWERED, True))

    async def stop(self, order: StopTask) -> None:
        """Stop a run and report a confirmed stop to the scheduler."""
        with self._boundary(order):
            await self._stop(order)

    async def pace(self, order: PaceTask) -> None:
        """Set a run's pace and report an unconfirmed order to the scheduler."""
        with self._boundary(order):
            await self._pace(order)

    async def ask_advice(self, order: AskAdvice) -> None:
        """Put a question to the policy service and report its answer."""
        is_reported = False
        with self._boundary(order):
            is_reported = await self._ask_advice(order.question)
        if not is_reported:
            self._scheduler.advice_unanswered(monotonic_ms())
            self._on_outcome(False)

    @contextmanager
    def _boundary(self, order: StartTask | StopTask | PaceTask | AskAdvice):
        """Log an unexpected error in one order, which costs no other order anything."""
        try:
            yield
        except Exception:
            log_failure("order_failed", order=repr(order))

    async def _start(self, order: StartTask) -> None:
        session = self._session_by_id.get(order.endpoint_id)
        if session is None:
            return
        # A start that is dropped here was never sent, so nothing has to be stopped.
        if not self._start_gate.is_open():
            await self._start_gate.wait()
            self._scheduler.start_released(order, monotonic_ms())
        await self._wait_for_reports(order)
        if not self._scheduler.is_still_ordered(order):
            return
        result = StartResult(StartOutcome.NO_ROOM)
        if self._scheduler.may_send(order):
            self._scheduler.start_sent(order)
            result = await session.start(order)
        outcome = result.outcome.value
        self._metrics.count("orders_total", order="start", outcome=outcome)
        log_event(
            "start",
            task=order.task,
            run=order.run,
            endpoint=order.endpoint_id,
            outcome=outcome,
        )
        if result.outcome is StartOutcome.ABANDONED:
            # The scheduler took the order back, or has seen the run in a listing.
            return
        self._report_start(order, result)

    async def _wait_for_reports(self, order: StartTask) -> None:
        """Hold a start back while the endpoint's capacity may have shrunk unnoticed."""
        while self._scheduler.needs_recent_capacity(order):
            age_ms = self._reports_age_ms()
            if age_ms is not None and age_ms <= CAPACITY_AGE_MAX_MS:
                return
            await trio.sleep(CAPACITY_CHECK_INTERVAL_MS / 1000)

    def _report_start(self, order: StartTask, result: StartResult) -> None:
        self._scheduler.start_answered(
            order.endpoint_id,
            order.task,
            order.run,
            result.outcome,
            result.was_unanswered,
            monotonic_ms(),
            wall_ms(),
            result.is_known_incarnation,
        )
        self._on_outcome(result.outcome is not StartOutcome.STARTED)

    async def _stop(self, order: StopTask) -> None:
        log_event(
            "stop",
            task=order.task,
            run=order.run,
            endpoint=order.endpoint_id,
            reason=order.reason,
            claimant=order.claimant_job_id or None,
        )
        session = self._session_by_id.get(order.endpoint_id)
        if session is None:
            return
        is_confirmed = await session.stop(order)
        self._count("stop", is_confirmed)
        if is_confirmed:
            self._scheduler.stop_confirmed(
                order.endpoint_id, order.task, order.run, monotonic_ms()
            )

    async def _pace(self, order: PaceTask) -> None:
        session = self._session_by_id.get(order.endpoint_id)
        if session is None:
            return
        is_confirmed = await session.pace(order)
        self._count("pace", is_confirmed)
        log_event(
            "pace",
            task=order.task,
            run=order.run,
            endpoint=order.endpoint_id,
            percent=order.percent,
            confirmed=is_confirmed,
        )
        if not is_confirmed:
            self._scheduler.pace_unconfirmed(order)

    def _count(self, order: str, is_confirmed: bool) -> None:
        outcome = "confirmed" if is_confirmed else "unconfirmed"
        self._metrics.count("orders_total", order=order, outcome=outcome)

    async def _ask_advice(self, question: OpenQuestion) -> bool:
        """Put a question; returns whether an answer was reported to the scheduler."""
        endpoint_ids = tuple(question.started_wall_ms_by_id)
        terms = question.terms
        figures = {
            "step": question.step,
            "asked": len(endpoint_ids),
            "expected_ms": terms.answer_ms(len(endpoint_ids)),
        }
        if terms.is_too_slow_for(len(endpoint_ids)):
            self._metrics.count("advice_late_total")
            log_event(
                "advice_late",
                **figures,
                decision_ms=terms.decision_ms,
                per_endpoint_ms=terms.per_endpoint_ms,
                valid_ms=terms.valid_ms,
            )
        asked_ms = monotonic_ms()
        answer = await self._adapter.ask_advice(
            question.step,
            endpoint_ids,
            timeout_ms=max(1, question.deadline_ms - asked_ms),
        )
        now_ms = monotonic_ms()
        log_event(
            "advice",
            **figures,
            approved=len(answer.ticket_by_id) if answer else None,
            answer_ms=now_ms - asked_ms,
            valid_ms=answer.valid_ms if answer else None,
        )
        self._metrics.observe_ms("advice_answer_ms", now_ms - asked_ms)
        if answer is None:
            return False
        self._scheduler.advice_received(
            question, answer.ticket_by_id, answer.valid_ms, asked_ms, now_ms
        )
        self._on_outcome(True)
        return True
