"""Plots of the measurements under ``docs/measurements/``."""

from __future__ import annotations

import json
from pathlib import Path

__all__ = ["draw"]

_WIDTH_IN = 7.0
_HEIGHT_IN = 4.0
_DPI = 120


def draw(directory: Path) -> None:
    """Draw every plot that has stored measurements, if matplotlib is installed."""
    try:
        import matplotlib
    except ImportError:
        print("no plots: matplotlib is not installed (the extra 'plots')")
        return
    matplotlib.use("Agg")
    for name, plot in _PLOT_BY_NAME.items():
        plot(directory, directory / f"{name}.png")


def _lines(directory: Path, name: str) -> list[dict]:
    path = directory / f"{name}.jsonl"
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def _save(figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=_DPI)


def _axes(title: str, y_label: str):
    from matplotlib.figure import Figure

    figure = Figure(figsize=(_WIDTH_IN, _HEIGHT_IN))
    axes = figure.subplots()
    axes.set_title(title)
    axes.set_ylabel(y_label)
    return figure, axes


def _completion_against_load(directory: Path, path: Path) -> None:
    rows = [row for row in _lines(directory, "requests") if row.get("fault") == "none"]
    if not rows:
        return
    figure, axes = _axes("Requests: goodput against load", "goodput / capacity")
    for policy in sorted({row["policy"] for row in rows}):
        points = sorted(
            (row["load"], row["goodput_of_capacity"])
            for row in rows
            if row["policy"] == policy
        )
        axes.plot(*zip(*points, strict=True), marker="o", label=policy)
    axes.set_xlabel("offered load / capacity")
    axes.legend()
    _save(figure, path)


def _placement_columns(directory: Path, path: Path) -> None:
    columns = ("fragmentation_mean", "quick_check_p99_s", "completion_mean_s")
    rows = _lines(directory, "placement-agency") + _lines(
        directory, "placement-workshops"
    )
    if not rows:
        return
    from matplotlib.figure import Figure

    figure = Figure(figsize=(_WIDTH_IN * 1.6, _HEIGHT_IN))
    for axes, column in zip(figure.subplots(1, 3), columns, strict=True):
        axes.set_title(column)
        labels = [f"{row['deployment']}\n{row['policy']}" for row in rows]
        axes.barh(labels, [row[column] for row in rows])
        axes.invert_yaxis()
        axes.tick_params(labelsize=6)
    _save(figure, path)


def _time_to_in_force(directory: Path, path: Path) -> None:
    rows = [
        row
        for row in _lines(directory, "control")
        if row.get("measure") == "time_to_in_force"
    ]
    if not rows:
        return
    figure, axes = _axes("Time to in force over all instances", "milliseconds")
    names = [row["scenario"] for row in rows]
    for column in ("p50_ms", "p99_ms", "max_ms"):
        values = [row.get(f"after_heal_{column}", row[column]) for row in rows]
        axes.plot(names, values, marker="o", linestyle="none", label=column)
    axes.axhline(20_000, linestyle="--", label="budget")
    axes.set_yscale("log")
    axes.legend()
    _save(figure, path)


_PLOT_BY_NAME = {
    "completion-against-load": _completion_against_load,
    "placement": _placement_columns,
    "time-to-in-force": _time_to_in_force,
}
