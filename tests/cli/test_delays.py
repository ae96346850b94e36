"""Where the time of late jobs went, from the log lines of several instances."""

import json
import time

import pytest

from ragwortshelf.cli.delays import analyse_delays
from ragwortshelf.cli.main import main

JOB, OTHER, VICTIM = "5c0e7a21d94b36f8", "1111111111111111", "2222222222222222"


def _line(at_ms, message, instance="i1", **fields):
    stamp = f"2026-01-01T00:00:{at_ms // 1000:02d}.{at_ms % 1000:03d}Z"
    return json.dumps(
        {"time": stamp, "instance": instance, "message": message, **fields}
    )


def _accepted(at_ms, job, **fields):
    return _line(
        at_ms, "call", call="POST", job=job, outcome="accepted", took_ms=10,
        queue="q", organisation="o", slack_factor=1.5, target_latency_ms=250, **fields,
    )  # fmt: skip


def _placed(at_ms, job, run=1, endpoints=("e1",), waited_ms=0):
    # Jobs of these tests are accepted at 1010 ms, with 1.5 times 1 s and 250 ms to go.
    slack_ms = 1_010 + 250 + 1_500 - 1_000 - at_ms
    return _line(
        at_ms, "unit", job=job, unit="0/0/-1", phase="placed", run=run,
        reason="placed", slack_ms=slack_ms, estimate_ms=1_000,
        endpoints=list(endpoints), waited_ms=waited_ms,
    )  # fmt: skip


def _started(at_ms, job, run=1, endpoint="e1"):
    return _line(
        at_ms, "start", task=f"{job}.0.0.0", run=run, endpoint=endpoint,
        outcome="started",
    )  # fmt: skip


def _ended(at_ms, job, phase="done", run=1, reason="done", waited_ms=0, endpoints=()):
    return _line(
        at_ms, "unit", job=job, unit="0/0/-1", phase=phase, run=run, reason=reason,
        slack_ms=None, estimate_ms=None, endpoints=list(endpoints),
        waited_ms=waited_ms,
    )  # fmt: skip


def _stopped(at_ms, job, reason, claimant=None, run=1):
    return _line(
        at_ms, "stop", task=f"{job}.0.0.0", run=run, endpoint="e1", reason=reason,
        claimant=claimant,
    )  # fmt: skip


def _only(lines):
    (delay,) = analyse_delays(lines).delays
    return delay


def test_a_job_that_is_done_within_its_objective_is_not_late():
    lines = [
        _accepted(1_010, JOB), _placed(1_020, JOB), _started(1_030, JOB),
        _ended(2_700, JOB),
    ]  # fmt: skip
    report = analyse_delays(lines)
    assert report.delays == ()
    assert report.jobs_by_queue == {"q": 1}


def test_a_wait_is_divided_into_room_a_stop_and_the_time_without_a_scheduler():
    lines = [
        _line(0, "started", data_centre="dc"),
        _accepted(1_010, JOB),
        _ended(1_200, OTHER),
        _line(2_200, "term_started", "i2"),
        _line(8_000, "term_ended"),
        _stopped(3_000, VICTIM, "preempted", JOB),
        _placed(3_210, JOB), _started(3_220, JOB), _ended(4_220, JOB),
    ]  # fmt: skip
    delay = _only(lines)
    assert delay.ms_by_cause["no scheduler"] == 1_000
    assert delay.ms_by_cause["waiting for a stop"] == 210
    assert delay.ms_by_cause["waiting for room"] == 990
    assert delay.ms_by_cause["work"] == 1_000
    assert (delay.cause, delay.data_centre) == ("no scheduler", "dc")
    assert delay.late_ms == 4_220 - (1_000 + 250 + 1_500)


def test_an_end_that_waited_for_the_log_is_counted_from_the_decision():
    lines = [
        _accepted(1_010, JOB), _placed(1_020, JOB), _started(1_030, JOB),
        _ended(5_030, JOB, waited_ms=3_000),
    ]  # fmt: skip
    delay = _only(lines)
    assert delay.ms_by_cause["waiting for the log"] == 3_000
    assert delay.ms_by_cause["work"] == 1_000


def test_time_on_a_slow_endpoint_is_no_work():
    lines = [
        _line(500, "speed_learned", endpoint="e2", speed=0.25),
        _accepted(1_010, JOB), _placed(1_020, JOB, endpoints=["e1", "e2"]),
        _started(1_030, JOB), _ended(5_030, JOB),
    ]  # fmt: skip
    delay = _only(lines)
    assert delay.ms_by_cause["work"] == 1_000
    assert delay.cause == "slow endpoint"


@pytest.mark.parametrize(
    ("end", "stop", "cause"),
    [
        ("stopped", "reclaimed", "stopped: reclaimed"),
        ("lapsed", None, "run again: lapsed"),
        ("failed", None, "run again: failed"),
    ],
)
def test_the_time_of_an_earlier_run_has_the_reason_of_its_end(end, stop, cause):
    lines = [_accepted(1_010, JOB), _placed(1_020, JOB), _started(1_030, JOB)]
    if stop:
        lines.append(_stopped(6_000, JOB, stop, OTHER))
    lines += [
        _ended(6_200, JOB, "ending", reason=end, endpoints=["e1"]),
        _placed(6_300, JOB, run=2), _started(6_310, JOB, run=2),
        _ended(7_310, JOB, run=2),
    ]  # fmt: skip
    if end == "failed":
        # A failed run counts as work: the objective allows for it.
        assert analyse_delays(lines).delays == ()
        return
    assert _only(lines).cause == cause


def test_two_ends_of_one_run_are_not_waited_for_twice():
    lines = [
        _accepted(1_010, JOB), _placed(1_020, JOB), _started(1_030, JOB),
        _ended(2_000, JOB, "ending", reason="lapsed", endpoints=["e1"]),
        _ended(4_000, JOB, "ending", reason="lapsed", endpoints=[""]),
        _placed(5_000, JOB, run=2), _started(5_000, JOB, run=2),
        _ended(6_000, JOB, run=2),
    ]  # fmt: skip
    delay = _only(lines)
    assert delay.ms_by_cause["waiting for room"] == 3_010
    assert sum(delay.ms_by_cause.values()) == delay.took_ms


def test_a_job_that_never_ends_is_late_by_the_end_of_the_log():
    lines = [
        _accepted(1_010, JOB), _placed(1_020, JOB), _started(1_030, JOB),
        _ended(1_500, JOB, "ending", reason="lapsed", endpoints=["e1"]),
        _line(50_000, "stopped"),
    ]  # fmt: skip
    delay = _only(lines)
    assert not delay.is_done
    assert delay.cause == "waiting for room"


def test_a_job_whose_end_may_have_been_left_out_of_the_log_is_unknown():
    lines = [
        _accepted(1_010, JOB), _placed(1_020, JOB),
        _line(40_000, "start", task=f"{OTHER}.0.0.0", run=1, outcome="started",
              endpoint="e1", left_out=7),
    ]  # fmt: skip
    report = analyse_delays(lines)
    assert report.delays == ()
    assert (report.lines_left_out, report.unknown_count) == (7, 1)


def test_cancelled_and_failed_jobs_owe_nothing():
    cancel = _line(9_000, "call", call="DELETE", job=OTHER, outcome="accepted")
    lines = [
        _accepted(1_010, OTHER), _placed(1_020, OTHER), cancel,
        _accepted(1_010, JOB), _placed(1_020, JOB),
        _ended(30_000, JOB, "failed", reason="attempts spent"),
    ]  # fmt: skip
    assert analyse_delays(lines).delays == ()


def test_stops_are_counted_once_with_what_came_of_their_claimants():
    late = [_accepted(1_010, JOB), _placed(9_000, JOB), _ended(11_000, JOB)]
    lines = [
        *late,
        _started(1_000, VICTIM),
        _stopped(3_000, VICTIM, "preempted", JOB),
        _stopped(3_600, VICTIM, "still listed"),
        _stopped(4_000, OTHER, "preempted", VICTIM),
    ]
    (stop,) = analyse_delays(lines).stops
    assert (stop.reason, stop.runs, stop.task_ms) == ("preempted", 2, 2_000)
    assert (stop.claimants, stop.claimants_late) == (2, 1)


def test_lines_of_other_formats_are_skipped():
    lines = ["no json", "{broken", '{"message": "unit"}', _line(1, "unknown")]
    lines += [_line(1, "unit"), _line(1, "start", task=7, run=1, outcome="started")]
    lines += [_line(1, "stop", task=f"{JOB}.0.0.0")]
    report = analyse_delays(lines)
    assert report.delays == ()
    assert report.unreadable_count == 3


def test_the_command_prints_a_table_and_json_and_fails_for_unreadable_files(
    tmp_path, capsys
):
    path = tmp_path / "i1.log"
    lines = [
        _accepted(1_010, JOB), _placed(6_000, JOB), _started(6_010, JOB),
        _ended(7_010, JOB),
    ]  # fmt: skip
    path.write_text("\n".join(lines))
    assert main(["ragwortshelf", "delays", f"--logs={path}"]) == 0
    assert "waiting for room" in capsys.readouterr().out
    assert main(["ragwortshelf", "delays", "--json", f"--logs={path}"]) == 0
    fields = json.loads(capsys.readouterr().out)
    assert fields["late"][0]["job"] == JOB
    assert fields["causes"][0]["cause"] == "waiting for room"
    assert main(["ragwortshelf", "delays", "--logs=/nowhere"]) == 2
    assert main(["ragwortshelf", "delays"]) == 2


def test_the_logs_of_a_large_deployment_are_read_in_seconds():
    lines = []
    for n in range(4_000):
        job = f"{n:016x}"
        at_ms = 10 * n
        lines += [
            _accepted(at_ms + 10, job), _placed(at_ms + 20, job),
            _started(at_ms + 30, job), _ended(at_ms + 6_000, job),
        ]  # fmt: skip
    began_s = time.process_time()
    assert analyse_delays(lines).jobs_by_queue == {"q": 4_000}
    assert time.process_time() - began_s < 10
