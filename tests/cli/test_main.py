"""Exit statuses, messages and output of the command-line tool."""

import contextlib
import io
import json
import threading

import pytest
import trio

from ragwortshelf.cli.commands import COMMANDS
from ragwortshelf.cli.main import main
from ragwortshelf.cli.output import Output
from ragwortshelf.net.http_messages import json_response
from ragwortshelf.net.http_server import HttpServer

JOB = {
    "job_id": "j1",
    "phase": "completed",
    "is_final": True,
    "reason": "task_succeeded",
    "grants": [],
}


ANSWER_DELAY_S = 0.01
"""Longer than the shortest timeout in the tests, 1 ms, so that a wait polls once."""


class Terminal(io.StringIO):
    def isatty(self):
        return True


@contextlib.contextmanager
def server_answering(response, requests):
    """Serve one fixed response on loopback from a thread of its own."""
    address = []
    stop = []
    is_up = threading.Event()

    async def serve():
        async def handler(request):
            requests.append(request)
            await trio.sleep(ANSWER_DELAY_S)
            return response

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        address.append(f"127.0.0.1:{port}")
        server = HttpServer(handler)
        stop.append((trio.lowlevel.current_trio_token(), server))
        is_up.set()
        await server.serve(listeners)

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    is_up.wait()
    try:
        yield address[0]
    finally:
        token, server = stop[0]
        token.run_sync_soon(server.drain)
        thread.join()


def run(words, *, as_json=False, environment=None):
    stdout, stderr = io.StringIO(), Terminal()
    output = Output(as_json=as_json, stdout=stdout, stderr=stderr)
    status = main(["ragwortshelf", *words], environment or {}, output)
    return status, stdout.getvalue(), stderr.getvalue()


@pytest.mark.parametrize(
    ("words", "status"),
    [
        (["job", "dance"], 2),
        (["job", "status"], 2),
        (["job", "status", "j1", "extra"], 2),
        (["job", "submit", "--accelerators=none"], 2),
        (["request", "send", "/x", "--header=oops"], 2),
        (["release", "check", "/no/such/file"], 2),
        (["job", "status", "j1", "--servers=127.0.0.1:1"], 3),
    ],
)
def test_a_call_that_cannot_be_made_is_reported_on_standard_error(words, status):
    actual_status, stdout, stderr = run(words)
    assert (actual_status, stdout) == (status, "")
    assert stderr


@pytest.mark.parametrize(
    ("words", "response", "status"),
    [
        (["job", "wait", "j1"], json_response(200, JOB), 0),
        (
            ["job", "wait", "j1"],
            json_response(200, {**JOB, "phase": "interrupted", "reason": "cancelled"}),
            1,
        ),
        (
            ["job", "wait", "j1", "--timeout_ms=1"],
            json_response(200, {**JOB, "phase": "accepted", "is_final": False}),
            7,
        ),
        (["job", "status", "j1"], json_response(404, {"error": "no_such_job"}), 5),
        (["job", "status", "j1"], json_response(401, {"error": "unauthorised"}), 4),
        (["worker", "list"], json_response(403, {"error": "forbidden"}), 4),
        (
            ["request", "send", "/x"],
            json_response(503, {"outcome": "not_run", "retry_after_ms": 9}),
            1,
        ),
        (
            ["request", "send", "/x"],
            json_response(504, {"outcome": "unknown", "reason": "no_answer"}),
            6,
        ),
        (["request", "send", "/x"], json_response(200, {"outcome": "answered"}), 0),
        (
            ["job", "submit"],
            json_response(422, {"outcome": "not_run", "reason": "never_fits"}),
            1,
        ),
    ],
)
def test_each_outcome_has_its_exit_status(words, response, status):
    requests = []
    with server_answering(response, requests) as address:
        actual_status, _, stderr = run([*words, f"--servers={address}"])
    assert actual_status == status
    assert len(requests) == 1
    assert bool(stderr.strip()) == (status != 0)


def test_a_table_and_json_show_the_same_rows():
    rows = {"jobs": [{"job_id": "j1", "organisation": "org", "phase": "started"}]}
    with server_answering(json_response(200, rows), []) as address:
        words = ["job", "list", f"--servers={address}"]
        _, table, _ = run(words)
        _, text, _ = run(words, as_json=True)
    header, row = table.splitlines()
    assert header.split()[:3] == ["job_id", "organisation", "phase"]
    assert row.split()[:3] == ["j1", "org", "started"]
    assert json.loads(text) == rows


def test_the_token_comes_from_the_environment_unless_a_flag_gives_it():
    requests = []
    with server_answering(json_response(200, {"instances": []}), requests) as address:
        environment = {"RAGWORTSHELF_SERVERS": address, "RAGWORTSHELF_TOKEN": "one"}
        run(["instance", "list"], environment=environment)
        run(["instance", "list", "--token=two"], environment=environment)
    tokens = [request.header("authorization") for request in requests]
    assert tokens == ["Bearer one", "Bearer two"]


def test_the_next_instance_is_called_if_one_cannot_be_reached():
    with server_answering(json_response(200, {"instances": []}), []) as address:
        status, _, _ = run(["instance", "list", f"--servers=127.0.0.1:1,{address}"])
    assert status == 0


def test_no_command_name_is_a_prefix_of_another():
    for command in COMMANDS:
        others = [other for other in COMMANDS if other is not command]
        assert all(command.words[: len(o.words)] != o.words for o in others)
