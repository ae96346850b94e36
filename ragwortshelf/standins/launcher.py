"""Starts and stops the processes of a deployment, for the quick start and tests.

The product itself does not use it, because its processes start no other processes.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import time
from pathlib import Path
from urllib.error import URLError
from urllib.request import Request, urlopen

from .deployment import Deployment, ProcessSpec

__all__ = ["Launcher", "call", "free_ports"]

_STOP_TIMEOUT_S = 40.0
_POLL_INTERVAL_S = 0.05

_PORTS = range(15_000, 30_000)
"""Ports of processes that are started. Systems take the ports of outgoing connections
from 32,768 on, and any of those may be taken before a process listens on it."""


def call(
    address: str, method: str, path: str, fields: dict | None = None, *, token: str = ""
) -> tuple[int, dict]:
    """Make one call and return its status, -1 if unreachable, and its JSON object."""
    data = None if fields is None else json.dumps(fields).encode()
    request = Request(f"http://{address}{path}", data=data, method=method)
    if token:
        request.add_header("authorization", f"Bearer {token}")
    try:
        with urlopen(request, timeout=60) as response:
            return response.status, _parse_object(response.read())
    except URLError as error:
        if not hasattr(error, "code"):
            return -1, {}
        return error.code, _parse_object(error.read())
    except OSError:
        return -1, {}


def _parse_object(body: bytes) -> dict:
    try:
        return json.loads(body)
    except ValueError:
        return {"text": body.decode(errors="replace")}


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are unused at the moment."""
    ports: list[int] = []
    with contextlib.ExitStack() as reserved:
        for port in random.SystemRandom().sample(_PORTS, len(_PORTS)):
            if len(ports) == count:
                break
            sock = reserved.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                ports.append(port)
    return ports


class Launcher:
    """Runs processes and writes their output to files in ``directory``.

    Used as a context manager, it kills all its processes on exit.
    """

    def __init__(self, deployment: Deployment, directory: Path):
        self.deployment = deployment
        self.directory = directory
        self.process_by_name: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> Launcher:
        return self

    def __exit__(self, *_) -> None:
        for name in list(self.process_by_name):
            self.kill(name)

    def start_platform(self) -> None:
        """Start the stand-ins and wait until all of them answer."""
        members_file = self.directory / "members.json"
        members_file.write_text(json.dumps(self.deployment.members()))
        for spec in self.deployment.platform_processes(members_file):
            self.start(spec)
        deployment = self.deployment
        for address in (
            deployment.log_address,
            deployment.list_address,
            *deployment.address_by_endpoint.values(),
            *deployment.address_by_worker.values(),
        ):
            self.wait_until(
                lambda address=address: call(address, "GET", "/faults")[0] == 200,
                f"the stand-in at {address}",
            )

    def start_instance(self, name: str, **settings: str) -> None:
        """Start one instance without waiting for it."""
        self.start(self.deployment.instance_process(name, **settings))

    def start(self, spec: ProcessSpec) -> None:
        """Start one process, with its output appended to ``NAME.log``."""
        with (self.directory / f"{spec.name}.log").open("ab") as output:
            self.process_by_name[spec.name] = subprocess.Popen(
                spec.arguments,
                env={**os.environ, **spec.environment},
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit status; kill it on timeout."""
        process = self.process_by_name.pop(name)
        process.terminate()
        try:
            return process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.process_by_name[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a suspended process."""
        self.process_by_name[name].send_signal(signal.SIGCONT)

    def output(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def wait_until(self, condition, description: str, *, timeout_s: float = 60.0):
        """Poll a condition and return its first true value, or raise TimeoutError."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if value := condition():
                return value
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"waited {timeout_s:g} s for {description}")

    def wait_live(self, name: str) -> None:
        """Wait until an instance answers ``/healthz``, whether or not it is ready."""
        address = self.deployment.api_address_by_instance[name]
        self.wait_until(
            lambda: call(address, "GET", "/healthz")[0] == 200, f"{name} to be live"
        )

    def wait_ready(self, name: str) -> None:
        """Wait until an instance reports on ``/readyz`` that it is ready."""
        address = self.deployment.api_address_by_instance[name]
        self.wait_until(
            lambda: call(address, "GET", "/readyz")[0] == 200, f"{name} to be ready"
        )
