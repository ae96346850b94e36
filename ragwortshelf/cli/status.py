"""Exit statuses and failures of the commands."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["CommandFailure", "ExitStatus"]


class ExitStatus(enum.IntEnum):
    """Exit statuses of the tool, which its help lists."""

    SUCCESS = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    DENIED = 4
    NOT_FOUND = 5
    UNKNOWN_OUTCOME = 6
    STILL_WAITING = 7


@dataclass(frozen=True, slots=True)
class CommandFailure:
    """Why a command did not succeed, and what to do next."""

    status: ExitStatus
    detail: str
    next_step: str = ""
