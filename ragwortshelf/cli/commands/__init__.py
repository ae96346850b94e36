"""Commands of the tool, with one module for each subject.

A command is a coroutine that takes a ``Context`` and the arguments after its name and
returns an ``ExitStatus`` or a ``CommandFailure``.
"""

from .context import Command, Context
from .delays import DELAY_COMMANDS
from .jobs import JOB_COMMANDS
from .operations import OPERATION_COMMANDS
from .releases import RELEASE_COMMANDS
from .requests import REQUEST_COMMANDS

__all__ = ["COMMANDS", "Command", "Context"]

COMMANDS: tuple[Command, ...] = (
    *RELEASE_COMMANDS,
    *JOB_COMMANDS,
    *REQUEST_COMMANDS,
    *OPERATION_COMMANDS,
    *DELAY_COMMANDS,
)
