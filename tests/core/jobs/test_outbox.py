"""The outbox repeats appends until they are read back, and its backlog is ordered."""

from ragwortshelf.core.jobs import ActionResult
from ragwortshelf.core.jobs.outbox import (
    READ_BACK_TIMEOUT_MS,
    RETRY_INTERVAL_MS,
    Outbox,
)
from ragwortshelf.core.streams import AttemptStarted, CancelRequested


def test_pending_record_is_sent_once_and_again_only_when_due():
    outbox = Outbox()
    record = AttemptStarted("j", 1, 0)
    outbox.set_pending("j", record, 0)
    (action,) = outbox.due(0)
    assert outbox.due(RETRY_INTERVAL_MS) == []
    outbox.handle_answer(action, ActionResult.NO_ANSWER, 10)
    assert outbox.due(10 + RETRY_INTERVAL_MS) == [action]
    outbox.handle_answer(action, ActionResult.APPLIED, 600)
    assert outbox.due(700) == []
    assert outbox.due(10 + RETRY_INTERVAL_MS + READ_BACK_TIMEOUT_MS) == [action]
    outbox.drop("j", AttemptStarted)
    assert outbox.due(10**9) == []
    assert outbox.is_empty


def test_backlog_appends_one_record_at_a_time():
    outbox = Outbox()
    for name in ("a", "b"):
        outbox.push_backlog(CancelRequested(name, "me"))
    (first,) = outbox.due(0)
    assert outbox.due(1) == []
    outbox.handle_answer(first, ActionResult.NO_ANSWER, 1)
    assert outbox.due(1 + RETRY_INTERVAL_MS) == [first]
    outbox.handle_answer(first, ActionResult.APPLIED, 600)
    (second,) = outbox.due(600)
    assert second.record.job_id == "b"
