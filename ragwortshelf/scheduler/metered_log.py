"""Metrics for the calls to a keyed log."""

from __future__ import annotations

from ..daemon.metrics import Metrics
from .clock import monotonic_ms
from .interfaces import Entry, KeyedLog, ProducerFence

__all__ = ["MeteredLog"]


class MeteredLog(KeyedLog):
    """Forwards calls to ``log`` and records their outcomes, sizes and durations.

    ``name`` is the metrics' ``log`` label. The ``outcome`` label is the class name of
    the outcome in lower case. Bytes of answers that did not arrive whole are counted
    under ``way="discarded"``.
    """

    def __init__(self, log: KeyedLog, name: str, metrics: Metrics):
        self._log = log
        self._name = name
        self._metrics = metrics

    async def append(
        self,
        entries: list[Entry],
        *,
        timeout_ms: int,
        at: int | None = None,
        fence: ProducerFence | None = None,
    ):
        """See ``KeyedLog.append``."""
        began = monotonic_ms()
        outcome = await self._log.append(
            entries, timeout_ms=timeout_ms, at=at, fence=fence
        )
        size = sum(len(key) + len(value) for key, value in entries)
        self._metrics.count("log_bytes_total", size, log=self._name, way="out")
        self._metrics.observe_ms(
            "log_append_ms", monotonic_ms() - began, log=self._name
        )
        return self._count_outcome("append", outcome)

    async def read(
        self, offset: int, *, wait_ms: int, timeout_ms: int, is_brief: bool = False
    ):
        """See ``KeyedLog.read``."""
        outcome = await self._log.read(
            offset, wait_ms=wait_ms, timeout_ms=timeout_ms, is_brief=is_brief
        )
        self._count_entries(outcome)
        return self._count_outcome("read", outcome)

    async def newest(self, after_key: str | None, *, timeout_ms: int):
        """See ``KeyedLog.newest``."""
        outcome = await self._log.newest(after_key, timeout_ms=timeout_ms)
        self._count_entries(outcome)
        return self._count_outcome("newest", outcome)

    def _count_entries(self, outcome) -> None:
        size = sum(len(k) + len(v) for k, v in getattr(outcome, "entries", ()))
        self._metrics.count("log_bytes_total", size, log=self._name, way="in")

    def _count_outcome(self, call: str, outcome):
        received_bytes = getattr(outcome, "received_bytes", 0)
        if received_bytes:
            self._metrics.count(
                "log_bytes_total", received_bytes, log=self._name, way="discarded"
            )
        self._metrics.count(
            "log_calls_total",
            log=self._name,
            call=call,
            outcome=type(outcome).__name__.lower(),
        )
        return outcome
