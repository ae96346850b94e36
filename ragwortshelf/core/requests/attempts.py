"""What follows from the result of one attempt: an outcome, or another attempt."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..model import Answered, NotRun, Reason, RequestOutcome, Unreachable
from .entries import Entry
from .events import NotSentToEndpoint
from .outcomes import failure_outcome
from .retries import RetryBudget, backoff_ms
from .run_times import RunTimes

__all__ = ["RETRY_AFTER_FAILURE_MS", "SERVER_ERROR", "Retry", "RetryRules"]

RETRY_AFTER_FAILURE_MS = 500
SERVER_ERROR = 500

Result = RequestOutcome | NotSentToEndpoint | Unreachable


@dataclass(frozen=True, slots=True)
class Retry:
    """The request may be sent again, not before this time."""

    not_before_ms: int


class RetryRules:
    """Decides between the final outcome and a retry."""

    def __init__(self, budget: RetryBudget, run_times: RunTimes, rng: random.Random):
        self._budget = budget
        self._run_times = run_times
        self._rng = rng

    def judge(
        self, entry: Entry, result: Result, now_ms: int
    ) -> RequestOutcome | Retry:
        """Return the outcome of a request, or when it may be tried again.

        Sets ``entry.may_have_run`` if the result is no proof that nothing ran.
        """
        is_server_error = isinstance(result, Answered) and result.status >= SERVER_ERROR
        if isinstance(result, Answered) and not (
            is_server_error and entry.request.is_idempotent
        ):
            return result
        if not _is_proof(result):
            entry.may_have_run = True
        pause_ms = 0 if _is_free(result) else backoff_ms(entry.attempt, self._rng)
        reason = self._reason_to_stop(entry, result, now_ms + pause_ms)
        if reason is None:
            return Retry(now_ms + pause_ms)
        if is_server_error:
            # The last word of an endpoint is more use to the caller than a reason.
            return result
        return failure_outcome(
            may_have_run=entry.may_have_run,
            reason=reason,
            detail=getattr(result, "detail", ""),
            retry_after_ms=RETRY_AFTER_FAILURE_MS,
        )

    def _reason_to_stop(self, entry, result, start_ms) -> Reason | None:
        """Return why there is no further attempt; None spends one retry."""
        request = entry.request
        if entry.may_have_run and not request.is_idempotent:
            return Reason.CONNECTION_LOST
        if entry.is_delegated:
            return Reason.ENDPOINT_FAILED
        run_ms = self._run_times.median_ms(request.request_class)
        if start_ms + run_ms > request.deadline_ms:
            return Reason.DEADLINE_UNREACHABLE
        if not _is_free(result) and not self._budget.take():
            return Reason.RETRY_BUDGET_SPENT
        return None


def _is_proof(result: Result) -> bool:
    """Whether an attempt provably did not run."""
    return isinstance(result, NotRun | NotSentToEndpoint) or (
        isinstance(result, Unreachable) and not result.may_have_applied
    )


def _is_free(result: Result) -> bool:
    """Whether a retry costs no budget: the receiver itself turned the attempt away."""
    return isinstance(result, NotRun) or (
        isinstance(result, NotSentToEndpoint) and result.is_refusal
    )
