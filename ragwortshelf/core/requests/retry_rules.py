"""Retry rules: whether the result of an attempt is final or leads to a retry."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..model import Answered, NotRun, Reason, RequestOutcome, Unreachable
from .entries import Entry
from .events import NotSentToEndpoint
from .outcomes import failure_outcome
from .retries import RetryBudget, backoff_ms
from .run_times import RunTimes

__all__ = ["RETRY_AFTER_FAILURE_MS", "SERVER_ERROR_STATUS", "Retry", "RetryRules"]

RETRY_AFTER_FAILURE_MS = 500
SERVER_ERROR_STATUS = 500

Result = RequestOutcome | NotSentToEndpoint | Unreachable


@dataclass(frozen=True, slots=True)
class Retry:
    """The request is to be sent again, no earlier than ``not_before_ms``."""

    not_before_ms: int


class RetryRules:
    """Decides whether an attempt's result is final or the request is retried."""

    def __init__(self, budget: RetryBudget, run_times: RunTimes, rng: random.Random):
        self._budget = budget
        self._run_times = run_times
        self._rng = rng

    def resolve(
        self, entry: Entry, result: Result, now_ms: int
    ) -> RequestOutcome | Retry:
        """Return the final outcome of a request, or when to retry it.

        Sets ``entry.may_have_run`` unless the result proves that nothing ran.
        """
        is_server_error = (
            isinstance(result, Answered) and result.status >= SERVER_ERROR_STATUS
        )
        if isinstance(result, Answered) and not (
            is_server_error and entry.request.is_idempotent
        ):
            return result
        if not _proves_not_run(result):
            entry.may_have_run = True
        pause_ms = 0 if _is_exempt(result) else backoff_ms(entry.attempt, self._rng)
        reason = self._reason_to_stop(entry, result, now_ms + pause_ms)
        if reason is None:
            return Retry(now_ms + pause_ms)
        if is_server_error:
            # The endpoint's own error response tells the caller more than a reason code
            # of the scheduler.
            return result
        return failure_outcome(
            may_have_run=entry.may_have_run,
            reason=reason,
            detail=getattr(result, "detail", ""),
            retry_after_ms=RETRY_AFTER_FAILURE_MS,
        )

    def _reason_to_stop(self, entry, result, start_ms) -> Reason | None:
        """Return why the request is not retried, or None if it is.

        A retry that is not exempt takes one token of the retry budget.
        """
        request = entry.request
        if entry.may_have_run and not request.is_idempotent:
            return Reason.CONNECTION_LOST
        if entry.is_delegated:
            return Reason.ENDPOINT_FAILED
        run_ms = self._run_times.median_ms(request.request_class)
        if start_ms + run_ms > request.deadline_ms:
            return Reason.DEADLINE_UNREACHABLE
        if not _is_exempt(result) and not self._budget.take():
            return Reason.RETRY_BUDGET_SPENT
        return None


def _proves_not_run(result: Result) -> bool:
    """Whether the result proves that the attempt did not run."""
    return isinstance(result, NotRun | NotSentToEndpoint) or (
        isinstance(result, Unreachable) and not result.may_have_applied
    )


def _is_exempt(result: Result) -> bool:
    """Whether a retry needs neither a pause nor a token of the budget.

    This holds if the receiver itself refused the attempt.
    """
    return isinstance(result, NotRun) or (
        isinstance(result, NotSentToEndpoint) and result.is_refusal
    )
