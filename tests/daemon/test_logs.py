"""Log lines are rate limited, and a stalled reader blocks nothing."""

import json
import logging
import os
import time

from ragwortshelf.daemon.logs import LineBudget, LineWriter


def _record(message, **fields):
    record = logging.LogRecord("absl", logging.INFO, "", 0, message, (), None)
    record.fields = fields
    return record


def _lines(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            part = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            break
        if not part:
            break
        data += part
    return [json.loads(line) for line in data.splitlines()]


def test_a_line_holds_its_fields_and_the_instance():
    reader, writer = os.pipe()
    LineWriter("i1", writer).emit(_record("call", job="j", outcome="accepted"))
    (line,) = _lines(reader)
    assert line["instance"] == "i1"
    assert line["message"] == "call"
    assert line["job"] == "j"


def test_lines_of_one_kind_above_the_budget_are_dropped_and_counted():
    clock_s = [10.0]
    reader, writer = os.pipe()
    budget = LineBudget(lines_per_second=5, clock=lambda: clock_s[0])
    handler = LineWriter("i1", writer, budget)
    for _ in range(20):
        handler.emit(_record("start"))
    handler.emit(_record("other"))
    clock_s[0] += 1
    handler.emit(_record("start"))
    lines = _lines(reader)
    assert [line["message"] for line in lines] == ["start"] * 5 + ["other", "start"]
    assert lines[-1]["left_out"] == 15
    assert budget.dropped == 15


def test_a_blocked_reader_causes_dropped_lines_without_delay():
    reader, writer = os.pipe()
    handler = LineWriter("i1", writer, LineBudget(lines_per_second=100_000))
    started = time.monotonic()
    for _ in range(3_000):
        handler.emit(_record("start", text="x" * 100))
    assert time.monotonic() - started < 5
    assert handler.budget.dropped > 0
    _lines(reader)
    handler.emit(_record("start"))
    (line,) = _lines(reader)
    assert line["left_out"] == handler.budget.dropped


def test_a_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    handler = LineWriter("i1", writer)
    handler.emit(_record("start"))
    assert handler.budget.dropped == 1


def test_a_line_that_is_too_long_is_cut_within_its_texts():
    reader, writer = os.pipe()
    handler = LineWriter("i1", writer)
    handler.emit(_record("long", detail="x" * 9_000 + "the error", task="t"))
    handler.emit(_record("many", **{f"field{n}": "y" * 100 for n in range(900)}))
    first, second = _lines(reader)
    assert first["detail"].endswith("the error")
    assert (first["message"], first["task"]) == ("long", "t")
    assert second["instance"] == "i1"
