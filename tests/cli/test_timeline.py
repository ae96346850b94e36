"""The timeline of a job from the log lines of several instances."""

import json
import subprocess
import sys

from ragwortshelf.cli.main import main
from ragwortshelf.cli.timeline import build_timeline

JOB = "5c0e7a21d94b36f8"


def _line(second, message, instance="i1", prefix="", **fields):
    time = f"2026-01-01T00:00:{second:02d}.000Z"
    record = {"time": time, "instance": instance, "message": message, **fields}
    return prefix + json.dumps(record)


LINES = [
    _line(5, "start", "i2", task=f"{JOB}.0.0.1", run=1, endpoint="e1"),
    _line(1, "term_started", "i2", term=7),
    _line(2, "call", job=JOB, outcome="accepted", prefix="  2.0 i1 "),
    _line(3, "job_log_lost", "i2", detail="timeout"),
    _line(4, "unit", "i2", job=JOB, phase="placed", endpoints=["e1"]),
    _line(6, "endpoint_lost", "i2", endpoint="e1"),
    _line(6, "endpoint_lost", "i2", endpoint="e9"),
    _line(7, "unit", "i2", job="0" * 16, phase="done"),
    _line(8, "unit", "i2", job=JOB, phase="failed", reason="attempts spent"),
    _line(9, "term_ended", "i2", term=7),
    "no json",
    "{broken",
]


def test_the_timeline_is_in_order_and_holds_the_context():
    timeline = build_timeline(JOB, LINES)
    assert [line.message for line in timeline] == [
        "call",
        "job_log_lost",
        "unit",
        "start",
        "endpoint_lost",
        "unit",
    ]
    context = [line.message for line in timeline if line.is_context]
    assert context == ["job_log_lost", "endpoint_lost"]
    assert "reason=attempts spent" in timeline[-1].details


def test_a_job_that_no_line_names_has_no_timeline():
    assert build_timeline("f" * 16, LINES) == []


def test_the_command_reads_files_and_fails_for_unknown_jobs_and_files(tmp_path, capsys):
    path = tmp_path / "i1.log"
    path.write_text("\n".join(LINES))
    assert main(["ragwortshelf", "explain", JOB, f"--logs={path}"]) == 0
    assert "attempts spent" in capsys.readouterr().out
    assert main(["ragwortshelf", "explain", "f" * 16, f"--logs={path}"]) == 5
    assert main(["ragwortshelf", "explain", JOB, "--logs=/nowhere"]) == 2


def test_equal_lines_of_many_instances_are_folded_into_one():
    lines = [
        _line(1, "call", job=JOB, outcome="accepted"),
        *(
            _line(2, "configuration_in_force", f"i{n}", version=9, before=7)
            for n in range(97)
        ),
        _line(3, "configuration_in_force", "i3", version=11, before=9),
        _line(4, "unit", "i2", job=JOB, phase="done"),
    ]
    timeline = build_timeline(JOB, lines)
    assert [(entry.instance, entry.message) for entry in timeline] == [
        ("i1", "call"),
        ("97 instances", "configuration_in_force"),
        ("i3", "configuration_in_force"),
        ("i2", "unit"),
    ]


def test_a_reader_that_has_enough_ends_the_command_quietly(tmp_path):
    path = tmp_path / "i1.log"
    unit = _line(4, "unit", "i2", job=JOB, phase="placed", endpoints=["e1"])
    path.write_text("\n".join([unit] * 20_000))
    command = [sys.executable, "-c", "from ragwortshelf.cli.main import run; run()"]
    process = subprocess.Popen(
        [*command, "explain", JOB, f"--logs={path}"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    process.stdout.readline()
    process.stdout.close()
    assert process.stderr.read() == b""
    assert process.wait() == 0
