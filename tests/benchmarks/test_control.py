"""The control benchmark still runs, and counts the same bytes in each run."""

from __future__ import annotations

from benchmarks.control_cost import measure_cost
from benchmarks.control_in_force import SCENARIOS, measure_in_force
from benchmarks.control_sharing import SIZES, measure_sharing


def test_all_notes_are_in_force_everywhere_in_each_scenario(monkeypatch):
    monkeypatch.setattr("benchmarks.control_in_force.SCENARIOS", SCENARIOS[:1])
    (line,) = measure_in_force(seed=1)
    assert line["notes"] > 0
    assert line["is_within_budget"]


def test_cost_and_sharing_count_the_same_bytes_in_each_run(monkeypatch):
    monkeypatch.setattr("benchmarks.control_cost.SIZES", SIZES[:1])
    monkeypatch.setattr("benchmarks.control_sharing.SIZES", SIZES[:1])
    runs = []
    for _ in range(2):
        nodes = [line for line in measure_cost(1) if "bytes_per_s_by_part" in line]
        (shared,) = measure_sharing(1)
        runs.append(([line["bytes_per_s_by_part"] for line in nodes], shared))
    assert runs[0] == runs[1]
    by_way = runs[0][1]["bytes_per_s_sent_by_way"]
    assert by_way["changes"] < min(by_way["push"], by_way["digest"])
