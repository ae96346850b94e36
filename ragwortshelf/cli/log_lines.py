"""Reading of the JSON lines that instances log."""

from __future__ import annotations

import contextlib
import json
import sys
from collections.abc import Iterable, Iterator, Mapping

__all__ = ["parse_lines", "read_lines"]


def parse_lines(lines: Iterable[str]) -> Iterator[Mapping]:
    """Return the records of log lines, in the order of the lines.

    Text before the first brace of a line is ignored, so that a log collector's prefix
    may remain. Lines that hold no JSON object with a ``message`` are skipped.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "message" in record:
            yield record


def read_lines(paths: Iterable[str]) -> Iterator[str]:
    """Return the lines of files, one after the other; ``-`` is standard input.

    An ``OSError`` is raised for a file that cannot be read.
    """
    for path in paths:
        if path == "-":
            yield from sys.stdin
            continue
        with contextlib.closing(open(path, errors="replace")) as file:
            yield from file
