"""Counters and latency histograms, and the text of ``/metrics``."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

_LOWEST_MS = 1
_HIGHEST_MS = 24 * 3600 * 1000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_SERIES_MAX = 2_000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The metrics of one process.

    Names end in their unit. The number of series is bounded, so that labels made from
    callers' input cannot exhaust the memory. Further series of a name are combined into
    one with the label ``overflow``.
    """

    def __init__(self):
        self._counters: Counter[tuple[str, Labels]] = Counter()
        self._histogram_by_series: dict[tuple[str, Labels], HdrHistogram] = {}
        self._gauge_by_name: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase the counter ``name``."""
        series = self._series(self._counters, name, labels)
        self._counters[series] += amount

    def observe_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Record a latency in milliseconds."""
        series = self._series(self._histogram_by_series, name, labels)
        histogram = self._histogram_by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS)
            self._histogram_by_series[series] = histogram
        histogram.record_value(max(_LOWEST_MS, min(_HIGHEST_MS, round(value_ms))))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge, which reports ``read()`` at each collection."""
        self._gauge_by_name[name] = read

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"ragwortshelf_{name}{_format_labels(labels)} {value}")
        for name, read in sorted(self._gauge_by_name.items()):
            lines.append(f"ragwortshelf_{name} {read()}")
        for (name, labels), histogram in sorted(
            self._histogram_by_series.items(), key=lambda item: item[0]
        ):
            lines.extend(_summary_lines(name, labels, histogram))
        return "\n".join(lines) + "\n"

    def _series(self, existing_series, name: str, labels: dict[str, str]):
        series = (name, tuple(sorted(labels.items())))
        if series not in existing_series and len(existing_series) >= _SERIES_MAX:
            return (name, (("overflow", "true"),))
        return series


def _summary_lines(name: str, labels: Labels, histogram: HdrHistogram) -> list[str]:
    lines = []
    for percentile in _PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        quantile = (*labels, ("quantile", f"{percentile / 100:g}"))
        lines.append(f"ragwortshelf_{name}{_format_labels(quantile)} {value}")
    count = histogram.get_total_count()
    lines.append(f"ragwortshelf_{name}_count{_format_labels(labels)} {count}")
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return (
        "{" + ",".join(f'{key}="{_escape_label(value)}"' for key, value in labels) + "}"
    )


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
