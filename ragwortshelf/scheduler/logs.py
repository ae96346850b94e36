"""The topics of the platform's log that an instance uses, with their metrics."""

from __future__ import annotations

from dataclasses import dataclass

from ..daemon.metrics import Metrics
from .interfaces import KeyedLog, OutsideWorld
from .metered_log import MeteredLog

__all__ = ["Logs", "open_logs"]


@dataclass(frozen=True, slots=True)
class Logs:
    """One client for each topic, and the registry that all of them count in."""

    jobs: KeyedLog
    operator: KeyedLog
    endpoints: KeyedLog
    metrics: Metrics


def open_logs(world: OutsideWorld, metrics: Metrics) -> Logs:
    """Return metered clients of the world's topics."""
    return Logs(
        MeteredLog(world.job_log(), "jobs", metrics),
        MeteredLog(world.operator_log(), "operator", metrics),
        MeteredLog(world.endpoint_log(), "endpoints", metrics),
        metrics,
    )
