"""The endpoint stand-in ends runs at the time they are due, however late it is read."""

import trio

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.listings import EndpointInfo, RunEnd
from ragwortshelf.standins.platform_endpoint import EndpointState


def _state(work_ms, **clock):
    info = EndpointInfo("e", "pool", "", "a", Resources(8_000, 8_000, 8))
    return EndpointState(info, work_ms, **clock)


async def _start(state, lease_ms):
    """Start a run and return its start time."""
    state.start("t", 1, state.clock_ms() + lease_ms, 1)
    return state.history["t", 1].started_ms


async def test_an_expired_lease_ends_the_run_at_its_expiry(autojump_clock):
    state = _state(work_ms=5_000)
    started_ms = await _start(state, lease_ms=1_000)
    await trio.sleep(8)
    state.advance()
    run = state.history["t", 1]
    assert (run.end, run.ended_ms) == (RunEnd.LAPSED, started_ms + 1_000)


async def test_work_completed_before_the_lease_expired_is_done(autojump_clock):
    state = _state(work_ms=500)
    started_ms = await _start(state, lease_ms=1_000)
    await trio.sleep(8)
    state.advance()
    run = state.history["t", 1]
    assert (run.end, run.ended_ms) == (RunEnd.DONE, started_ms + 500)
    assert run.voided_ms == started_ms + 1_000


async def test_an_acknowledged_end_is_not_voided(autojump_clock):
    state = _state(work_ms=500)
    await _start(state, lease_ms=1_000)
    await trio.sleep(0.6)
    await state.renew(None, 0, 0, 1)
    await state.renew(None, 1, 0, 1)
    await trio.sleep(8)
    state.advance()
    assert state.history["t", 1].voided_ms is None


async def test_a_slow_clock_lengthens_the_lease(autojump_clock):
    state = _state(work_ms=5_000, clock_rate=0.5, clock_offset_ms=10**6)
    started_ms = await _start(state, lease_ms=1_000)
    await trio.sleep(8)
    state.advance()
    assert state.history["t", 1].ended_ms == started_ms + 2_000


# The failure: the soak took the repeat of a run for a double one, though its end had
# been lost with the endpoint before anybody saw it.
async def test_a_crash_voids_the_ends_that_were_not_acknowledged(autojump_clock):
    state = _state(work_ms=500)
    until_ms = state.clock_ms() + 60_000
    state.start("seen", 1, until_ms, 1)
    await trio.sleep(0.6)
    await state.renew(until_ms, 0, 0, 1)
    await state.renew(until_ms, 1, 0, 1)
    state.start("lost", 1, until_ms, 1)
    await trio.sleep(0.6)
    state.start("cut", 1, until_ms, 1)
    state.crash()
    assert state.history["seen", 1].voided_ms is None
    assert state.history["lost", 1].voided_ms is not None
    assert state.history["cut", 1].end is RunEnd.LAPSED
    assert state.crashed_runs == [("cut", 1)]
    assert not state.running and not state.finished
