"""Crowds of clients that keep no rule, against the program itself.

Nobody serves the store in these tests, so every call is answered with status 503. The
checks don't depend on the machine's speed; time limits only end a test that hangs.
"""

import contextlib
import json
import os
import re
import socket
import subprocess
import sys
from pathlib import Path

import h11
import pytest
import trio

PROGRAM = Path(__file__).parents[2] / "platform" / "main.py"

MEMORY_MB = 80
MAX_FDS = 1_024
CROWD = 100
SMALL_CROWD = 30

WAIT_S = 60
"""Bound of each step, which ends a test that would otherwise hang."""

HOLD_S = 15
"""How long clients stay connected; longer than the server's read timeout."""

BODY_LIMIT_BYTES = 1024 * 1024
HEAD_LIMIT_BYTES = 16 * 1024
FAR_OVER_BYTES = 4 * BODY_LIMIT_BYTES
PART_BYTES = 64 * 1024

JOB_PATH = "/q/0123456789abcdef"
PATHS = {"frontend": JOB_PATH, "readiness": "/api/readyz", "metrics": "/metrics"}
METRICS_PORT = 9102

POST = f"POST {JOB_PATH} HTTP/1.1\r\nhost: h\r\n"
CHUNKED = f"{POST}transfer-encoding: chunked\r\n\r\n".encode()


class Program:
    """One process of ``platform/main.py`` with its addresses by listener."""

    def __init__(self, folder: Path, memory_mb: int, max_fds: int):
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.open_fds_max = 0
        ip = _own_ip()
        with contextlib.ExitStack() as reserved:
            ports = [_reserve_port(ip, reserved) for _ in range(3)]
        self.address_by_listener = {
            "frontend": (ip, ports[0]),
            "readiness": (ip, ports[1]),
            "metrics": (ip, METRICS_PORT),
        }
        settings = {
            "node_name": "edge-a-1",
            "ip": ip,
            "zone": "a",
            "bind_addresses": {
                "frontend": f"{ip}:{ports[0]}",
                "readiness": f"{ip}:{ports[1]}",
            },
            "bounds": {"revoke_ms": 4000, "grace_s": 6, "hold_max_ms": 5000},
            "limits": {"memory_mb": memory_mb, "max_fds": max_fds},
            "platform": {"address": f"{ip}:{ports[2]}"},
        }
        path = folder / "settings.json"
        path.write_text(json.dumps(settings))
        self._log_path = folder / "log"
        with self._log_path.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(PROGRAM)],
                env=os.environ | {"RAGWORTSHELF_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )

    def is_alive(self) -> bool:
        return self._process.poll() is None

    def stop(self) -> None:
        self._process.kill()
        self._process.wait()

    async def wait_until_listening(self) -> None:
        with trio.fail_after(WAIT_S):
            for address in self.address_by_listener.values():
                while not await _accepts(address):
                    assert self.is_alive(), self._log_path.read_text()
                    await trio.sleep(0.05)

    def peak_memory_mb(self) -> float:
        """The largest resident memory so far, from VmHWM in KiB."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024 / 1e6

    def count_fds(self) -> None:
        open_fds = len(os.listdir(f"/proc/{self._process.pid}/fd"))
        self.open_fds_max = max(self.open_fds_max, open_fds)

    async def watch_fds(self) -> None:
        while self.is_alive():
            self.count_fds()
            await trio.sleep(0.02)


def _own_ip() -> str:
    """A loopback address of this test run, as the port of the metrics is fixed."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255}"


def _reserve_port(ip: str, reserved: contextlib.ExitStack) -> int:
    listener = reserved.enter_context(socket.socket())
    listener.bind((ip, 0))
    return listener.getsockname()[1]


async def _accepts(address) -> bool:
    try:
        stream = await trio.open_tcp_stream(*address)
    except OSError:
        return False
    await stream.aclose()
    return True


@contextlib.asynccontextmanager
async def running_program(folder: Path, memory_mb=MEMORY_MB, max_fds=MAX_FDS):
    """Start the program, and end it with the block."""
    program = Program(folder, memory_mb, max_fds)
    try:
        await program.wait_until_listening()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(program.watch_fds)
            yield program
            nursery.cancel_scope.cancel()
    finally:
        program.stop()


async def ask(program: Program, listener: str, method="GET", body=b""):
    """Send one request; return status and body of a complete answer, or Nones."""
    connection = h11.Connection(h11.CLIENT)
    headers = [("host", "h"), ("content-length", str(len(body)))]
    request = h11.Request(method=method, target=PATHS[listener], headers=headers)
    data = connection.send(request) + connection.send(h11.Data(data=body))
    try:
        with trio.fail_after(WAIT_S):
            stream = await trio.open_tcp_stream(*program.address_by_listener[listener])
            async with stream:
                await stream.send_all(data + connection.send(h11.EndOfMessage()))
                return await _read_answer(stream, connection)
    except (OSError, trio.BrokenResourceError, trio.TooSlowError):
        return None, None
    except h11.RemoteProtocolError:
        return None, None


async def _read_answer(stream, connection):
    status, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(PART_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        else:
            return None, None


class Crowd:
    """Clients that send, and then stay connected until they are refused.

    A client has sent once ``send`` returns, or its connection is refused or closed.
    Clients that do not read keep their connection for ``HOLD_S``.
    """

    def __init__(self, program: Program, listener: str, send, size: int, reads=True):
        self._address = program.address_by_listener[listener]
        self._send = send
        self._reads = reads
        self._sending = size
        self._open = size
        self._sent = trio.Event()
        self._ended = trio.Event()

    async def wait_sent(self) -> None:
        await self._sent.wait()

    async def wait_ended(self) -> None:
        await self._ended.wait()

    async def run_client(self) -> None:
        with contextlib.closing(self._new_socket()) as client:
            stream = trio.SocketStream(client)
            with (
                contextlib.suppress(OSError, trio.BrokenResourceError),
                trio.move_on_after(WAIT_S),
            ):
                await client.connect(self._address)
                await self._send(stream)
            self._sending -= 1
            if not self._sending:
                self._sent.set()
            await self.wait_sent()
            with trio.move_on_after(HOLD_S):
                await self._wait_closed(stream)
        self._open -= 1
        if not self._open:
            self._ended.set()

    def _new_socket(self):
        client = trio.socket.socket()
        if not self._reads:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        return client

    async def _wait_closed(self, stream) -> None:
        if not self._reads:
            await trio.sleep_forever()
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            while await stream.receive_some(PART_BYTES):
                pass


@contextlib.asynccontextmanager
async def run_crowds(*crowds: Crowd, size: int):
    """Run ``size`` clients of each crowd; the block begins when all have sent."""
    async with trio.open_nursery() as nursery:
        for crowd in crowds:
            for _ in range(size):
                nursery.start_soon(crowd.run_client)
        for crowd in crowds:
            await crowd.wait_sent()
        yield
        nursery.cancel_scope.cancel()


async def send_far_over_announced(stream) -> None:
    await stream.send_all(f"{POST}content-length: {10**9}\r\n\r\n".encode())
    for _ in range(FAR_OVER_BYTES // PART_BYTES):
        await stream.send_all(b"x" * PART_BYTES)


async def send_most_of_body(stream) -> None:
    announced_bytes = BODY_LIMIT_BYTES - 1
    await stream.send_all(f"{POST}content-length: {announced_bytes}\r\n\r\n".encode())
    await stream.send_all(b"x" * (announced_bytes * 9 // 10))


async def send_tiny_chunks(stream) -> None:
    await stream.send_all(CHUNKED)
    for _ in range(60):
        await stream.send_all(b"1\r\nx\r\n" * 1_000)


async def send_large_chunks(stream) -> None:
    await stream.send_all(CHUNKED)
    chunk = f"{PART_BYTES:x}\r\n".encode() + b"x" * PART_BYTES + b"\r\n"
    for _ in range(FAR_OVER_BYTES // PART_BYTES):
        await stream.send_all(chunk)


async def send_most_of_head(stream) -> None:
    head = f"{POST}x-filling: ".encode()
    await stream.send_all(head.ljust(HEAD_LIMIT_BYTES - 64, b"x"))


async def send_pipelined_requests(stream) -> None:
    request = f"GET {JOB_PATH} HTTP/1.1\r\nhost: h\r\n\r\n".encode()
    await stream.send_all(request * 500)


async def send_nothing(stream) -> None:
    pass


async def assert_answers(program: Program) -> None:
    status, _ = await ask(program, "frontend")
    assert status in (429, 503)
    status, _ = await ask(program, "readiness")
    assert status == 503


def assert_within_limits(program: Program, record_property) -> None:
    assert program.is_alive()
    record_property("peak_memory_mb", program.peak_memory_mb())
    record_property("open_fds_max", program.open_fds_max)
    assert program.peak_memory_mb() < program.memory_mb
    assert program.open_fds_max < program.max_fds


@pytest.mark.parametrize(
    ("send", "listener", "size", "reads"),
    [
        # Guards against memory taken for a body that was announced as far too large.
        pytest.param(
            send_far_over_announced, "frontend", CROWD, True, id="far-over-announced"
        ),
        # Guards against bodies just under the limit that together exceed the memory.
        pytest.param(send_most_of_body, "frontend", CROWD, True, id="held-frontend"),
        # Guards against the same where the platform checks readiness.
        pytest.param(send_most_of_body, "readiness", CROWD, True, id="held-readiness"),
        # Guards against the same where the metrics are read.
        pytest.param(send_most_of_body, "metrics", CROWD, True, id="held-metrics"),
        # Guards against an object in memory for each byte of a body.
        pytest.param(send_tiny_chunks, "frontend", SMALL_CROWD, True, id="tiny-chunks"),
        # Guards against memory taken for a body that states no length.
        pytest.param(send_large_chunks, "frontend", CROWD, True, id="large-chunks"),
        # Guards against heads that never end and together exceed the memory.
        pytest.param(send_most_of_head, "frontend", 3 * CROWD, True, id="held-heads"),
        # Guards against answers that are kept in memory for clients that don't read.
        pytest.param(
            send_pipelined_requests, "frontend", CROWD, False, id="unread-answers"
        ),
    ],
)
async def test_a_crowd_leaves_the_process_within_its_limits_and_answering(
    send, listener, size, reads, tmp_path, record_property
):
    async with running_program(tmp_path) as program:
        crowd = Crowd(program, listener, send, size, reads)
        async with run_crowds(crowd, size=size):
            await assert_answers(program)
            await crowd.wait_ended()
        assert_within_limits(program, record_property)
        await assert_answers(program)


# Guards against connections that use up the descriptors of the process.
@pytest.mark.parametrize(
    "listeners",
    [("frontend",), ("readiness",), ("metrics",), ("frontend", "readiness", "metrics")],
    ids="-".join,
)
async def test_idle_connections_leave_descriptors_within_the_limit(
    listeners, tmp_path, record_property
):
    max_fds = 200
    size = 300 // len(listeners)
    async with running_program(tmp_path, max_fds=max_fds) as program:
        crowds = [Crowd(program, name, send_nothing, size) for name in listeners]
        async with run_crowds(*crowds, size=size):
            for name in listeners:
                # Connections are accepted in order, so those before it were accepted.
                # It may itself be refused or left waiting.
                with trio.move_on_after(5):
                    await ask(program, name)
            program.count_fds()
        assert_within_limits(program, record_property)
        # The process may learn only later that the crowd's connections have ended.
        with trio.move_on_after(WAIT_S):
            while None in (
                (await ask(program, "frontend"))[0],
                (await ask(program, "readiness"))[0],
            ):
                await trio.sleep(0.1)
        await assert_answers(program)


# Guards against bounds that refuse a single request inside the limits of the pages.
@pytest.mark.parametrize("kind", ["submission", "large-body"])
async def test_a_single_large_request_is_served_in_calm(
    kind, tmp_path, record_property
):
    step = {
        "count": 39,
        "cpu": 500,
        "estimated_ms": 900,
        "affinity": "r1-3",
        "requirements": "b",
        "image": "web",
    }
    job = {"spec": "x" * 4_000, "steps": [step] * 256}
    body = json.dumps(job).encode()
    if kind == "large-body":
        body = body.ljust(900_000)
    async with running_program(tmp_path) as program:
        _, usual_answer = await ask(program, "frontend")
        status, answer = await ask(program, "frontend", "POST", body)
        assert status == 503
        # The answer of the scheduler itself, not a refusal of the request's size.
        assert json.loads(answer)["error"] == json.loads(usual_answer)["error"]
        assert_within_limits(program, record_property)
