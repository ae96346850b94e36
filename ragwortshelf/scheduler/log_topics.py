"""The log topics that an instance uses, with call metrics."""

from __future__ import annotations

from dataclasses import dataclass

from ..daemon.metrics import Metrics
from .interfaces import KeyedLog, PlatformAdapter
from .metered_log import MeteredLog

__all__ = ["LogTopics", "open_logs"]


@dataclass(frozen=True, slots=True)
class LogTopics:
    """A metered client per topic, and the metrics registry that they share."""

    jobs: KeyedLog
    operator: KeyedLog
    endpoints: KeyedLog
    metrics: Metrics


def open_logs(adapter: PlatformAdapter, metrics: Metrics) -> LogTopics:
    """Open the adapter's topics with call metrics."""
    return LogTopics(
        MeteredLog(adapter.job_log(), "jobs", metrics),
        MeteredLog(adapter.operator_log(), "operator", metrics),
        MeteredLog(adapter.endpoint_log(), "endpoints", metrics),
        metrics,
    )
