"""Stand-ins of the platform for the scripts of this review, on loopback addresses.

They follow ``PROTOCOL.md``: a store with keyed topics, minions with leases, fencing
tokens and lists of runs, and an operator. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "jobs.example"
PREFIX = "/jobs/"
HEARTBEAT_S = 1.5
ADVICE = {"decision_ms": 20, "per_worker_ms": 2, "valid_ms": 5000}
RESERVATION_PORT = 8520
INSTANCE_PORTS = (8521, 8523, 9102)
INSTANCES_MAX = 3
HOLD_MAX_MS = 10_000
STOP_MS = 100
"""Duration of a stop; the sites allow 400 ms and more."""

BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "strict_revocation": True,
    "revoke_ms": 5000,
    "hold_max_ms": HOLD_MAX_MS,
    "stop_timeout_ms": 900,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "notice_ms": 4500,
    "maintenance_s": 2,
    "lease_ms": 3000,
    "fencing_enforced": False,
}


def now_ms() -> int:
    """Return the steady clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class HttpServer:
    """Serves HTTP/1.1 with keep-alive.

    ``handler`` gets the method, the target, the headers and the body of a request.
    """

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        self.port = 0

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen, on a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all connections, as a process that is killed."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                line, headers = request
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, content = await self._handler(method, target, headers, body)
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    line = (await reader.readline()).decode().strip()
    if not line:
        return None
    headers = {}
    while text := (await reader.readline()).decode().strip():
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


class Topic:
    """Partition 0 of one keyed topic."""

    def __init__(self):
        self.entries: list[tuple[bytes, bytes]] = []
        self.appended = asyncio.Event()
        self._epoch_by_producer: dict[str, tuple[int, int]] = {}
        self._recent_by_producer: dict[str, list] = {}

    def append(self, entries) -> dict:
        """Append records without a condition."""
        offset = len(self.entries)
        self.entries.extend(entries)
        self.appended.set()
        self.appended = asyncio.Event()
        return {"offset": offset, "end": len(self.entries)}

    def append_checked(self, entries, query) -> tuple[int, dict]:
        """Append with the conditions in the query of a call."""
        producer = query.get("producer")
        epoch, sequence = int(query.get("epoch", 0)), int(query.get("sequence", 0))
        if producer is not None:
            known_epoch, last = self._epoch_by_producer.get(producer, (-1, 0))
            if epoch < known_epoch:
                return 409, {"reason": "fenced"}
            if epoch == known_epoch:
                for known, answer in self._recent_by_producer[producer]:
                    if known == sequence:
                        return 200, answer
                if sequence != last + 1:
                    return 409, {"reason": "seq", "expected": last + 1}
        if "at" in query and int(query["at"]) != len(self.entries):
            return 412, {"end": len(self.entries)}
        answer = self.append(entries)
        if producer is not None:
            if epoch > known_epoch:
                self._recent_by_producer[producer] = []
            self._epoch_by_producer[producer] = (epoch, sequence)
            recent = self._recent_by_producer[producer]
            recent.append((sequence, answer))
            del recent[:-5]
        return 200, answer


class Store:
    """The platform's store."""

    def __init__(self):
        self.topic_by_name: dict[str, Topic] = {}
        self.server = HttpServer(self._handle)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topic_by_name.setdefault(name, Topic())

    def put(self, topic: str, key: str, value) -> None:
        """Write a record as the operator or a minion; None deletes the key."""
        content = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append([(key.encode(), content)])

    async def _handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        topic = self.topic(query.get("topic", ""))
        await asyncio.sleep(0.002)
        match parts.path:
            case "/api/log-append":
                return topic.append_checked(_decode_records(body), query)
            case "/api/log-read":
                offset = int(query["from"])
                end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
                while len(topic.entries) <= offset:
                    left_s = end_s - time.monotonic()
                    if left_s <= 0:
                        break
                    try:
                        await asyncio.wait_for(topic.appended.wait(), left_s)
                    except TimeoutError:
                        break
                size_max = 1024 * int(query.get("max_kb", 1024))
                content = struct.pack(">QQ", len(topic.entries), 0)
                records = b""
                for key, value in topic.entries[offset:]:
                    record = _encode_record(key, value)
                    if records and len(records) + len(record) > size_max:
                        break
                    records += record
                return 200, content + records
            case "/api/log-newest":
                return 200, _newest_page(topic, query.get("depends_on"))
        return 404, {}


def _encode_record(key: bytes, value: bytes) -> bytes:
    content = bytes([len(key)]) + key + value
    return struct.pack(">I", len(content)) + content


def _decode_records(body: bytes):
    entries = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        record, body = body[4 : 4 + length], body[4 + length :]
        size = 1 + record[0]
        entries.append((record[1:size], record[size:]))
    return entries


def _newest_page(topic: Topic, after: str | None) -> dict:
    newest = {key: value for key, value in topic.entries}
    keys = sorted(key for key, value in newest.items() if value)
    rest = [key for key in keys if after is None or key > after.encode()]
    items = [
        {"key": key.decode(), "value": base64.b64encode(newest[key]).decode()}
        for key in rest[:500]
    ]
    return {
        "items": items,
        "has_more": len(rest) > len(items),
        "end": len(topic.entries),
    }


class PolicyService:
    """The service that says which minions may run a step; here all of them may.

    A ticket holds for one step, in one life of a minion, until it expires.
    """

    def __init__(self, world: World):
        self._world = world
        self._expiry_by_ticket: dict[str, float] = {}
        self.server = HttpServer(self._handle)

    async def _handle(self, method, target, headers, body):
        fields = json.loads(body)
        names = fields["workers"]
        delay_ms = ADVICE["decision_ms"] + ADVICE["per_worker_ms"] * len(names)
        await asyncio.sleep(delay_ms / 1000)
        rows = []
        for minion in self._world.minions:
            if minion.id in names and minion.is_up:
                ticket = self.ticket(fields["step"], minion)
                valid_s = ADVICE["valid_ms"] / 1000
                self._expiry_by_ticket[ticket] = time.monotonic() + valid_s
                rows.append([minion.id, ticket])
        self._world.note("advised", step=fields["step"], approved=len(rows))
        return 200, {"approved": rows, "valid_ms": ADVICE["valid_ms"]}

    def ticket(self, step: str, minion: Minion) -> str:
        """Return the ticket for a step in the present life of a minion."""
        return f"{step}/{minion.id}/{minion.born}"

    def is_valid(self, ticket: str, step: str, minion: Minion) -> bool:
        """Whether a minion takes a ticket for a task of a step now."""
        is_of_step = ticket == self.ticket(step, minion)
        return is_of_step and time.monotonic() < self._expiry_by_ticket.get(ticket, 0)


class Minion:
    """A minion with 8 GPUs. ``kind`` and ``rack`` are its labels.

    The text of a job says how its tasks run: ``work=MS`` for the work of one task, or
    ``startup=MS`` for tasks that last, which are at work after that time.
    """

    def __init__(self, world: World, name: str, zone: str, kind: str, rack: str):
        self.world = world
        self.id = f"m-{name}"
        self.zone, self.kind, self.rack = zone, kind, rack
        self.port = 0
        self.is_up = False
        self.is_unhealthy = False
        self.history: list[dict] = []

    async def boot(self) -> None:
        """Begin a new life, at the address of the one before if there was one."""
        self.born = int(time.time() * 1000)
        self._clock_base_ms = now_ms()
        self.token = 0
        self._until_ms = 0
        self._end_number = 0
        self._highest_run: dict[str, int] = {}
        self.running: dict[str, dict] = {}
        self._finished: list[list] = []
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)
        await self._server.open(port=self.port)
        self.port = self._server.port
        self.is_up = True
        self.world.note("minion-up", minion=self.id, kind=self.kind, born=self.born)
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]

    async def crash(self) -> None:
        """End this life; nothing of it is left, and nobody is told."""
        self.world.note("minion-down", minion=self.id)
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for run in self.running.values():
            run["ended_ms"], run["end"] = now_ms(), "crashed"
        await self._server.close()

    def clock_ms(self) -> int:
        """Return the clock of this life."""
        return now_ms() - self._clock_base_ms

    def report(self) -> dict:
        """Return what this minion says of itself in the store."""
        return {
            "service": "pool",
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "born": self.born,
            "capacity": {"cpu": 32000, "mem_mb": 65536, "gpu": 8},
            "labels": [self.kind, self.rack],
        }

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            fields = self.report() | {"sequence": sequence}
            self.world.store.put("keyed.servers", self.id, fields)
            self.world.last_beat_s[self.id] = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            clock_ms = self.clock_ms()
            for task, run in list(self.running.items()):
                if clock_ms >= self._until_ms:
                    self._end(task, "lapsed")
                elif run["stop_ms"] is not None and now_ms() >= run["stop_ms"]:
                    self._end(task, "stopped")
                elif run["work_ms"] and now_ms() >= run["started_ms"] + run["work_ms"]:
                    self._end(task, "done")

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self._end_number += 1
        self._finished.append([self._end_number, task, run["run"], how, ""])
        run["ended_ms"], run["end"] = now_ms(), how
        self.world.note("end", minion=self.id, task=task, run=run["run"], how=how)
        self._changed.set()
        self._changed = asyncio.Event()

    def percent(self, run: dict) -> int:
        """Return how far a run is; one that lasts is at work at 100."""
        age_ms = now_ms() - run["started_ms"]
        whole_ms = run["work_ms"] or run["startup_ms"]
        limit = 100 if run["startup_ms"] else 99
        return min(limit, 100 * age_ms // max(1, whole_ms))

    def is_at_work(self, run: dict) -> bool:
        """Whether a run that lasts is at work."""
        return self.percent(run) >= 100

    def _has_room(self, step: dict) -> bool:
        used = sum(run["step"].get("gpu", 0) for run in self.running.values())
        return used + step.get("gpu", 0) <= 8

    def _answer(self, status: int, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born} | fields

    async def _handle(self, method, target, headers, body):
        if headers.get("x-expected-instance", self.id) != self.id:
            return self._answer(421)
        fields = json.loads(body)
        token = fields.get("fencing_token", 0)
        if token < self.token:
            return self._answer(409, reason="fence")
        self.token = token
        match target:
            case "/api/hold":
                return await self._hold(fields)
            case "/api/run-start":
                return self._start(fields)
            case "/api/run-stop":
                return self._stop(fields)
            case "/api/pace":
                return self._answer(200)
        return 404, {}

    def _extend(self, until_ms: int) -> None:
        latest_ms = self.clock_ms() + HOLD_MAX_MS
        self._until_ms = max(self._until_ms, min(until_ms, latest_ms))

    async def _hold(self, fields):
        if "until_ms" in fields:
            self._extend(fields["until_ms"])
        cursor = fields.get("ack_cursor", 0)
        self._finished = [row for row in self._finished if row[0] > cursor]
        wait_s = fields.get("wait_ms", 0) / 1000
        if wait_s and not self._finished:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        running = [
            [task, run["run"], "", self.percent(run), 0]
            for task, run in self.running.items()
        ]
        return self._answer(200, running=running, finished=self._finished[:500])

    def _start(self, fields):
        task, number = fields["task"], fields["run"]
        if self.is_unhealthy:
            self.world.note("start-refused", minion=self.id, task=task, run=number)
            return self._answer(503)
        if task in self.running and self.running[task]["run"] == number:
            return self._answer(200)
        if number <= self._highest_run.get(task, 0):
            self._extend(fields["until_ms"])
            return self._answer(409, reason="old")
        if fields["until_ms"] < self.clock_ms():
            return self._answer(409, reason="late")
        job_id, _, step_number, _ = task.split(".")
        step = self.world.body_by_id[job_id]["steps"][int(step_number)]
        step_name = task.rpartition(".")[0]
        is_allowed = job_id not in self.world.advised_ids or (
            self.world.policy.is_valid(fields.get("ticket", ""), step_name, self)
        )
        if not is_allowed:
            words = {"task": task, "run": number, "ticket": fields.get("ticket")}
            self.world.note("start-without-ticket", minion=self.id, **words)
            return self._answer(409, reason="ticket")
        if not self._has_room(step):
            self._extend(fields["until_ms"])
            return self._answer(409, reason="room")
        self._extend(fields["until_ms"])
        words = dict(word.split("=") for word in fields["spec"].split())
        run = {
            "task": task,
            "run": number,
            "minion": self.id,
            "kind": self.kind,
            "step": step,
            "work_ms": int(words.get("work", 0)),
            "startup_ms": int(words.get("startup", 0)),
            "started_ms": now_ms(),
            "stop_ms": None,
            "ended_ms": None,
            "end": None,
        }
        self.running[task] = run
        self._highest_run[task] = number
        self.history.append(run)
        self.world.note("start", minion=self.id, kind=self.kind, task=task, run=number)
        self.world.on_start(self, run)
        return self._answer(200)

    def _stop(self, fields):
        task, number = fields["task"], fields["run"]
        self._highest_run[task] = max(number, self._highest_run.get(task, 0))
        run = self.running.get(task)
        if run is not None and run["run"] <= number and run["stop_ms"] is None:
            self.world.note("stop-ordered", minion=self.id, task=task, run=number)
            self.world.on_stop(self, run)
            run["stop_ms"] = now_ms() + STOP_MS
        return self._answer(200)


class World:
    """Store, minions and processes of one script, and the record of what they saw."""

    def __init__(self, folder: Path):
        self.store = Store()
        self.minions: list[Minion] = []
        self.policy = PolicyService(self)
        self.body_by_id: dict[str, dict] = {}
        # The jobs of queues with advice.
        self.advised_ids: set[str] = set()
        self.last_beat_s: dict[str, float] = {}
        self.on_start = lambda minion, run: None
        self.on_stop = lambda minion, run: None
        self._began_ms = now_ms()
        self._record = (folder / "record.txt").open("w")
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._network, self._reservation = _reserve_network()
        self._processes: dict[str, subprocess.Popen] = {}
        self.ips: dict[str, str] = {}
        self._expiry = None

    def note(self, what: str, **fields) -> None:
        """Write a line to the record."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        age_s = (now_ms() - self._began_ms) / 1000
        self._record.write(f"{age_s:8.3f} {what} {words}\n")
        self._record.flush()

    async def open(self, minions, routes, tenants, instances=3) -> None:
        """Start the stand-ins and the project's instances."""
        await self.store.server.open()
        await self.policy.server.open()
        for number, kind in enumerate(minions):
            zone = f"z{number % 3}"
            minion = Minion(self, str(number), zone, kind, f"r-{number // 8}")
            self.minions.append(minion)
            await minion.boot()
        self._expiry = asyncio.create_task(self._expire_entries())
        self.configure(1, routes, tenants)
        for number in range(instances):
            name = f"edge-{number}"
            self.ips[name] = f"127.{self._network}.0.{number + 1}"
            self.start_instance(name)
        await self._wait_until_ready()

    def configure(self, version: int, routes, tenants) -> None:
        """Write a configuration as the operator."""
        fields = {
            "version": version,
            "routes": [
                {
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "service": "pool",
                    "max_attempts": 4,
                    "slack_factor": 3,
                    "target_latency_ms": 1000,
                }
                | route
                for route in routes
            ],
            "services": [{"name": "pool", "admission_control": True}],
            "tenants": tenants,
        }
        self.store.put("keyed.op", "config", fields)

    async def _expire_entries(self) -> None:
        """Remove the entries of minions after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.05)
            for minion_id, beat_s in list(self.last_beat_s.items()):
                if time.monotonic() - beat_s > 3 * HEARTBEAT_S:
                    del self.last_beat_s[minion_id]
                    self.store.put("keyed.servers", minion_id, None)
                    self.note("entry-removed", minion=minion_id)

    def start_instance(self, name: str) -> None:
        """Start one instance with the command of the deploy file."""
        ip = self.ips[name]
        settings = {
            "node_name": name,
            "role": "scheduler",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": f"z{name[-1]}",
            "region": "r",
            "bind_addresses": {
                "frontend": f"{ip}:8521",
                "readiness": f"{ip}:8523",
                "control_plane": f"{ip}:8526",
            },
            "limits": {"cpu_share": 1.0, "cores": 1},
            "bounds": BOUNDS,
            "control_mode": "push",
            "advice": f"127.0.0.1:{self.policy.server.port}",
            "platform": {"address": f"127.0.0.1:{self.store.server.port}"},
        }
        path = self._temporary / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RAGWORTSHELF_BOOT": str(path),
        }
        with (self._temporary / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                ["python3", "platform/main.py"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.note("instance-started", name=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an instance."""
        self.note("signal", name=name, signal=number.name)
        self._processes[name].send_signal(number)

    def log_of(self, name: str) -> str:
        """Return what an instance has written."""
        return (self._temporary / f"{name}.log").read_text()

    async def _wait_until_ready(self) -> None:
        for name, ip in self.ips.items():
            for _ in range(150):
                status, _ = await request(f"{ip}:8523", "GET", "/api/readyz")
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{name} isn't ready: {self.log_of(name)[-2000:]}")
        # The scheduler opens its sessions with the minions meanwhile.
        await asyncio.sleep(3)

    async def call(
        self,
        method: str,
        job_id: str,
        key: str,
        *,
        node="edge-0",
        prefix=PREFIX,
        body=None,
    ):
        """Make a client's call and note it; returns status and fields."""
        if body is not None:
            self.body_by_id[job_id] = body
        content = b"" if body is None else json.dumps(body).encode()
        headers = {
            "host": HOST,
            "authorization": f"Bearer {key}",
            "x-deadline-ms": "3000",
            "content-type": "application/json",
        }
        address = f"{self.ips[node]}:8521"
        status, answer = await request(
            address, method, prefix + job_id, headers, content
        )
        self.note(
            "call", method=method, path=prefix + job_id, status=status, answer=answer
        )
        return status, answer

    async def submit(self, job_id: str, key: str, body: dict, **where) -> bool:
        """Hand a job in, as often as a client does; returns whether it was accepted."""
        for attempt in range(5):
            node = f"edge-{attempt % len(self.ips)}"
            status, _ = await self.call(
                "POST", job_id, key, body=body, **({"node": node} | where)
            )
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def close(self) -> None:
        """End all processes that this script started, and the stand-ins."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline_s = time.monotonic() + 8
        for process in self._processes.values():
            while process.poll() is None and time.monotonic() < deadline_s:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)
        if self._expiry is not None:
            self._expiry.cancel()
        self._reservation.close()
        self._record.close()


def _reserve_network() -> tuple[int, socket.socket]:
    """Return the second number of a loopback network that no other script uses.

    The instances need fixed ports, so that each script takes addresses of its own. A
    socket on one of them reserves the network until it is closed.
    """
    for network in random.sample(range(2, 250), 248):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{network}.255.254", RESERVATION_PORT))
            reservation.listen()
            for host in range(1, INSTANCES_MAX + 1):
                for port in INSTANCE_PORTS:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.{network}.0.{host}", port))
        except OSError:
            reservation.close()
            continue
        return network, reservation
    raise RuntimeError("all loopback networks are in use")


async def request(address, method, target, headers=None, body=b"", *, is_json=True):
    """Make one call on a connection of its own; status 0 if there is no answer.

    Without ``is_json`` the text of the answer is returned, and not status and fields.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(3):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                fields = {"host": address, "content-length": str(len(body))}
                fields |= headers or {}
                lines = "".join(
                    f"{name}: {value}\r\n" for name, value in fields.items()
                )
                head = f"{method} {target} HTTP/1.1\r\n{lines}\r\n"
                writer.write(head.encode() + body)
                head = await read_head(reader)
                if head is None:
                    return (0, {}) if is_json else ""
                line, answer_headers = head
                size = int(answer_headers.get("content-length", 0))
                content = await reader.readexactly(size)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return (0, {}) if is_json else ""
    if not is_json:
        return content.decode()
    try:
        return int(line.split()[1]), json.loads(content or b"{}")
    except ValueError:
        return int(line.split()[1]), {}


def run_script(folder: Path, main) -> None:
    """Run a script; exits with 1 if the rule was broken, 0 if it held, otherwise 2."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder)

    async def play() -> int:
        try:
            async with asyncio.timeout(110):
                return await main(world, has_trouble)
        except Exception as error:
            world.note("could-not-run", error=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            await world.close()

    status = asyncio.run(play())
    if status == 2:
        print("could not run: the situation that it needs did not come about")
    print({0: "the rule held", 1: "the rule was broken"}.get(status, "not run"))
    raise SystemExit(status)
