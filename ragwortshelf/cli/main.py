"""Entry point of the command-line tool."""

from __future__ import annotations

import os
import sys

import trio
from absl import flags

from .client import ApiClient
from .commands import COMMANDS, Command, Context
from .output import Output
from .status import CommandFailure, ExitStatus

__all__ = ["main", "run"]

_DEFAULT_SERVERS = "127.0.0.1:8000"


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of all commands."""
    string, integer, boolean = _flag_definers(values)
    string("servers", None, "Instances to call, IP:port, tried in order.")
    string("token", None, "Bearer token.")
    boolean("json", False, "Print JSON.")
    string("organisation", None, "Organisation to act for.")
    integer("timeout_ms", 60_000, "Milliseconds to wait for an outcome.", 1)
    string("priority", None, "urgent, normal or low.")
    boolean("idempotent", False, "Whether running twice does no harm.")
    integer("accelerators", 1, "job submit: size of the whole group.", 1)
    string("adjacency", None, "job submit: worker, rack or data_centre.")
    string("kind", None, "job submit: kind of job, for learning its size.")
    string("home_data_centre", None, "job submit: where to run it.")
    string("job_key", None, "job submit: key under which a repeat is the same job.")
    boolean("checkpointable", False, "job submit: whether it can be resumed.")
    integer("tasks", None, "job submit: number of processes.", 1)
    integer("declared_run_ms", None, "job submit: expected run time.", 0)
    integer("declared_memory_bytes", None, "job submit: expected memory.", 0)
    integer("deadline_in_ms", None, "job submit: milliseconds from now.", 1)
    string("command", None, "job submit: what the workers run.")
    integer("limit", 50, "job list: rows at most.", 1)
    string("request_id", None, "request send: a reserved id, to repeat a request.")
    string("class", None, "request send: quick, ordinary or long.")
    string("method", None, "request send: HTTP method.")
    string("body", None, "request send: body; - reads standard input.")
    flags.DEFINE_multi_string(
        "header", [], "request send: NAME=VALUE.", flag_values=values
    )
    flags.DEFINE_list(
        "logs",
        [],
        "explain and delays: read these log files; - is standard input.",
        flag_values=values,
    )
    boolean("release", False, "worker quarantine: take it back into use.")


def _flag_definers(values: flags.FlagValues):
    def string(name, default, help_text):
        flags.DEFINE_string(name, default, help_text, flag_values=values)

    def integer(name, default, help_text, minimum):
        flags.DEFINE_integer(
            name, default, help_text, lower_bound=minimum, flag_values=values
        )

    def boolean(name, default, help_text):
        flags.DEFINE_boolean(name, default, help_text, flag_values=values)

    return string, integer, boolean


def main(arguments: list[str], environment=os.environ, output=None) -> int:
    """Run one command and return its exit status."""
    values = flags.FlagValues()
    define_flags(values)
    flags.DEFINE_boolean("help", False, "Show this help.", flag_values=values)
    values.set_gnu_getopt(True)
    try:
        words = values(arguments)[1:]
    except flags.Error as error:
        (output or Output(as_json=False)).print_failure(
            str(error), "ragwortshelf --help"
        )
        return ExitStatus.USAGE
    output = output or Output(as_json=values.json)
    if values.help or not words:
        print(_help_text(values))
        return ExitStatus.SUCCESS if values.help else ExitStatus.USAGE
    return _run_command(words, values, environment, output)


def _run_command(words, values, environment, output) -> int:
    command = _find_command(words)
    if command is None:
        output.print_failure(f"no command {' '.join(words)!r}", "ragwortshelf --help")
        return ExitStatus.USAGE
    arguments = words[len(command.words) :]
    if len(arguments) != len(command.arguments):
        usage = " ".join((*command.words, *command.arguments))
        output.print_failure(f"usage: ragwortshelf {usage}", "ragwortshelf --help")
        return ExitStatus.USAGE
    if any("=" not in header for header in values.header):
        output.print_failure("--header takes NAME=VALUE")
        return ExitStatus.USAGE
    context = Context(_build_client(values, environment), output, values)
    result = trio.run(command.run, context, *arguments)
    if isinstance(result, CommandFailure):
        output.print_failure(result.detail, result.next_step)
        return result.status
    return result


def _build_client(values, environment) -> ApiClient:
    servers = values.servers or environment.get(
        "RAGWORTSHELF_SERVERS", _DEFAULT_SERVERS
    )
    token = values.token or environment.get("RAGWORTSHELF_TOKEN", "")
    return ApiClient(tuple(servers.split(",")), token, values.organisation or "")


def _find_command(words: list[str]) -> Command | None:
    for command in COMMANDS:
        if tuple(words[: len(command.words)]) == command.words:
            return command
    return None


def _help_text(values: flags.FlagValues) -> str:
    lines = ["usage: ragwortshelf COMMAND [--flag=value …]", "", "commands:"]
    for command in COMMANDS:
        line = " ".join((*command.words, *command.arguments))
        lines.append(f"  {line:<26}{command.help}")
    lines += ["", "exit statuses:"]
    lines += [f"  {status.value}  {status.name.lower()}" for status in ExitStatus]
    lines += ["", "flags:", values.main_module_help() or values.get_help()]
    return "\n".join(lines)


def run() -> None:
    """Run the tool as the console script ``ragwortshelf``."""
    try:
        status = main(sys.argv)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, such as `head`, has all it wanted. Standard output is replaced,
        # since the interpreter flushes it once more as it exits.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = ExitStatus.SUCCESS
    sys.exit(status)


if __name__ == "__main__":
    run()
