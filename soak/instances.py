"""Starts, signals and kills the daemon processes under test."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

__all__ = ["ProcessSet"]

ROOT = Path(__file__).resolve().parent.parent


class ProcessSet:
    """One daemon process per instance; a process that has ended can be restarted."""

    def __init__(self, directory: Path):
        self._directory = directory
        self._process_by_name: dict[str, subprocess.Popen] = {}
        self._settings_by_name: dict[str, Path] = {}

    def add(self, name: str, settings: dict) -> None:
        """Write an instance's settings file."""
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        self._settings_by_name[name] = path

    @property
    def names(self) -> list[str]:
        """Names of all instances."""
        return list(self._settings_by_name)

    def start(self, name: str) -> None:
        """Start an instance unless its process is running."""
        if self.is_running(name):
            return
        environment = os.environ | {
            "RAGWORTSHELF_BOOT": str(self._settings_by_name[name])
        }
        with (self._directory / f"{name}.log").open("ab") as output:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "main.py")],
                env=environment,
                stdout=output,
                stderr=output,
                cwd=ROOT,
            )

    def is_running(self, name: str) -> bool:
        """Tell whether the instance's process is running."""
        process = self._process_by_name.get(name)
        return process is not None and process.poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an instance if it is running."""
        if self.is_running(name):
            self._process_by_name[name].send_signal(number)

    def exit_statuses(self) -> dict[str, int | None]:
        """Return each process's exit status, or None while it is running."""
        return {name: p.poll() for name, p in self._process_by_name.items()}

    def kill_all(self) -> None:
        """Kill and reap all processes."""
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
