"""Printing of results, as text or as JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence

__all__ = ["Output"]


class Output:
    """Prints results on standard output, failures and progress on standard error."""

    def __init__(self, *, as_json: bool, stdout=None, stderr=None):
        self.as_json = as_json
        self._stdout = stdout or sys.stdout
        self._stderr = stderr or sys.stderr
        self._has_progress = False

    def print_result(self, fields: Mapping, columns: Sequence[str] = ()) -> None:
        """Print one object, as JSON or with a line for each of ``columns`` it has."""
        if self.as_json:
            print(json.dumps(fields, indent=2), file=self._stdout)
            return
        names = [name for name in columns or fields if fields.get(name) is not None]
        width = max((len(name) for name in names), default=0)
        for name in names:
            print(f"{name:<{width}}  {_format_cell(fields[name])}", file=self._stdout)

    def print_table(self, fields: Mapping, key: str, columns: Sequence[str]) -> None:
        """Print the rows ``fields[key]`` as a table, or the whole object as JSON."""
        if self.as_json:
            print(json.dumps(fields, indent=2), file=self._stdout)
            return
        rows = [
            [_format_cell(row.get(name)) for name in columns] for row in fields[key]
        ]
        lines = [list(columns), *rows]
        widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
        for line in lines:
            cells = [cell.ljust(w) for cell, w in zip(line, widths, strict=True)]
            print("  ".join(cells).rstrip(), file=self._stdout)

    def show_progress(self, text: str) -> None:
        """Overwrite the progress line, if standard error is a terminal."""
        if self._stderr.isatty():
            print(f"\r\x1b[K{text}", end="", file=self._stderr, flush=True)
            self._has_progress = True

    def print_failure(self, detail: str, next_step: str = "") -> None:
        """Print what went wrong and what to do next."""
        self.end_progress()
        print(f"ragwortshelf: {detail}", file=self._stderr)
        if next_step:
            print(f"  next: {next_step}", file=self._stderr)

    def end_progress(self) -> None:
        """End the progress line, if there is one."""
        if self._has_progress:
            print(file=self._stderr)
            self._has_progress = False


def _format_cell(value) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(_format_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={_format_cell(item)}" for key, item in value.items())
    return str(value)
