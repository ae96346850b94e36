"""Reads of a log that was lost."""

import pytest
import trio

from ragwortshelf.scheduler.interfaces import LogPage, LogUnanswered
from ragwortshelf.scheduler.log_regaining import regain_log
from ragwortshelf.scheduler.settings import SchedulingSettings

SETTINGS = SchedulingSettings("i")

CATCH_UP_S = 4
"""Time within which an instance is to follow a log that answers again, by the
platform's specification."""


class _Log:
    """A log that is silent until a time, and answers after a delay from then on."""

    def __init__(self, silent_until_s, delay_ms):
        self.silent_until_s = silent_until_s
        self.delay_ms = delay_ms
        self.calls = 0
        self.is_read = False

    async def read(self, offset, *, wait_ms, timeout_ms, is_brief=False):
        self.calls += 1
        is_sent_late_enough = trio.current_time() >= self.silent_until_s
        if is_sent_late_enough and self.delay_ms < timeout_ms:
            await trio.sleep(self.delay_ms / 1000)
            self.is_read |= not is_brief
            return LogPage((), offset, offset)
        await trio.sleep(timeout_ms / 1000)
        return LogUnanswered("silent")


async def _regain(log):
    async def read(timeout_ms):
        page = await log.read(0, wait_ms=0, timeout_ms=timeout_ms)
        if isinstance(page, LogUnanswered):
            await trio.sleep(SETTINGS.log_retry_ms / 1000)

    await regain_log(
        log,
        next_offset=lambda: 0,
        read=read,
        is_regained=lambda: log.is_read,
        settings=SETTINGS,
    )


# Guards against a log that is never regained while its answers begin later than a read
# waits for that is to notice the end of a silent outage.
@pytest.mark.parametrize("delay_ms", [10, 390, 410, 690])
@pytest.mark.parametrize("silent_s", [0, 3.0, 3.3, 3.6])
async def test_a_log_is_regained_however_late_its_answers_begin(
    autojump_clock, delay_ms, silent_s
):
    log = _Log(trio.current_time() + silent_s, delay_ms)
    with trio.fail_after(silent_s + CATCH_UP_S):
        await _regain(log)


# Guards against an end of a silent outage that is noticed later as another call waits
# for longer.
@pytest.mark.parametrize("silent_ms", range(5_000, 5_700, 100))
async def test_the_end_of_a_silent_outage_is_noticed_soon(autojump_clock, silent_ms):
    log = _Log(trio.current_time() + silent_ms / 1000, 4)
    limit_ms = SETTINGS.log_probe_timeout_ms + SETTINGS.log_retry_ms + 4
    with trio.fail_after((silent_ms + limit_ms) / 1000):
        await _regain(log)


# Guards against a store that is flooded by all instances that wait for its return.
async def test_a_silent_log_is_read_at_intervals(autojump_clock):
    log = _Log(trio.current_time() + 1_000, 4)
    with trio.move_on_after(10):
        await _regain(log)
    per_second = 1_000 / (SETTINGS.log_probe_timeout_ms + SETTINGS.log_retry_ms)
    per_second += 1_000 / SETTINGS.read_timeout_ms(0)
    assert log.calls <= 10 * per_second + 2
