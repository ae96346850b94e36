"""Stalls of the event loop are reported."""

import trio

from ragwortshelf.daemon.metrics import Metrics
from ragwortshelf.scheduler import loop_monitor
from ragwortshelf.scheduler.clock import monotonic_ms
from ragwortshelf.scheduler.loop_monitor import STALL_MIN_MS, LoopMonitor


async def test_only_a_loop_that_stands_still_is_reported(autojump_clock, monkeypatch):
    events = []
    stalled_ms = 0
    monkeypatch.setattr(
        loop_monitor, "log_event", lambda name, **fields: events.append((name, fields))
    )
    monkeypatch.setattr(loop_monitor, "boot_ms", lambda: monotonic_ms() + stalled_ms)
    metrics = Metrics()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(LoopMonitor(metrics).run)
        await trio.sleep(60.1)
        assert not events
        stalled_ms = STALL_MIN_MS
        await trio.sleep(60)
        nursery.cancel_scope.cancel()
    assert events == [("loop_stalled", {"late_ms": STALL_MIN_MS})]
    assert "ragwortshelf_loop_stalls_total 1" in metrics.text()
