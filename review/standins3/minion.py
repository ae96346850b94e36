"""A minion as the users' page "Running tasks" describes it.

It rejects what does not fit (``admission_control``), keeps a lease and the highest
fencing token, and lists its runs. What a task needs, and how long it works, stands in
the job's ``spec`` as JSON.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ragwortshelf.net.http_messages import HttpRequest, HttpResponse, json_response

__all__ = ["Minion", "Run"]

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_MS = 200
"""Time that a stop takes; the bound ``stop_timeout_ms`` of the site is 400."""

FINISHED_ROWS_MAX = 500


@dataclass
class Run:
    """One run of a task on one minion; times are in seconds of the script's clock."""

    task: str
    number: int
    minion_id: str
    needs: dict
    started_s: float
    ended_s: float | None = None
    how: str = ""
    stop_due_s: float | None = None

    @property
    def work_s(self) -> float | None:
        """Time that the task works; None if it lasts."""
        return None if self.needs.get("lasting") else self.needs["ms"] / 1000

    def percent(self, now_s: float) -> int:
        """Progress; a task that lasts is at work at 100."""
        span_s = (
            self.needs.get("startup_ms", 500) / 1000
            if self.work_s is None
            else self.work_s
        )
        return min(100, int(100 * (now_s - self.started_s) / span_s))


class Minion:
    """The minion of one machine; ``replace`` begins the life of the next one there."""

    def __init__(
        self,
        minion_id: str,
        machine: str,
        zone: str,
        labels: tuple[str, ...],
        capacity: dict,
        publish: Callable[[str, bytes], None],
        note: Callable[[str], None],
    ):
        self.id = minion_id
        self.machine = machine
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.address = ""
        self.service = "pool"
        self._publish = publish
        self._note = note
        self.history: list[Run] = []
        # Set while nothing reaches the minion and nothing comes back.
        self.is_cut = False
        self.is_down = False
        self._sequence = 0
        # Connections up to this serial number have gone silent.
        self._silent_serial = 0
        self.newest_serial: Callable[[], int] = lambda: 0
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self._born_s = trio.current_time()
        self._token = 0
        self._until_ms = 0
        self.running: dict[str, Run] = {}
        self._finished: list[tuple[int, Run]] = []
        self._end_count = 0
        self._highest_run_by_task: dict[str, int] = {}
        self._changed = trio.Event()

    # What a script does to it.

    def silence_connections(self) -> None:
        """Let all open connections go silent, without a reset; new ones work."""
        self._silent_serial = self.newest_serial()

    def die(self) -> None:
        """Lose power: all runs end, and nothing answers from now on."""
        self.is_down = True
        self._lose_runs()

    def replace(self, minion_id: str) -> None:
        """Begin the life of another minion on the same machine."""
        self._publish(self.id, b"")
        self._lose_runs()
        self.id = minion_id
        self.is_down = False
        self._begin_life()
        self.report()

    def _lose_runs(self) -> None:
        now_s = trio.current_time()
        for run in self.running.values():
            run.ended_s, run.how = now_s, "lost"
        self.running.clear()

    # Reports to the store.

    def report(self) -> None:
        """Write the entry ``servers/ID``."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "sequence": self._sequence,
            "born": self.born,
            "capacity": self.capacity,
            "labels": list(self.labels),
        }
        self._publish(self.id, json.dumps(entry).encode())

    async def run(self) -> None:
        """Report every heartbeat, and let runs and leases end, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat)
            while True:
                await trio.sleep(0.01)
                if not self.is_down:
                    self._advance()

    async def _beat(self) -> None:
        silent_beats = 0
        while True:
            await trio.sleep(HEARTBEAT_S)
            if not self.is_down:
                silent_beats = 0
                self.report()
                continue
            silent_beats += 1
            if silent_beats == 3:
                # The platform removes the entry after three heartbeats of silence.
                self._publish(self.id, b"")

    # The interface.

    def clock_ms(self) -> int:
        """The minion's steady clock."""
        return int((trio.current_time() - self._born_s) * 1000)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request; without a path to its sender there is no answer."""
        born = self.born
        if not self._reaches(request):
            await trio.sleep_forever()
        response = await self._answer(request)
        if not self._reaches(request) or born != self.born:
            await trio.sleep_forever()
        return response

    def _reaches(self, request: HttpRequest) -> bool:
        """Whether a request's connection carries anything now."""
        is_silent = request.connection <= self._silent_serial
        return not (self.is_cut or self.is_down or is_silent)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        if request.header("x-expected-instance") not in ("", self.id):
            return json_response(421, {"clock_ms": self.clock_ms()})
        fields = json.loads(request.body)
        if fields.get("fencing_token", 0) < self._token:
            return self._refuse("fence")
        self._token = fields.get("fencing_token", 0)
        match request.path:
            case "/api/hold":
                return await self._hold(fields)
            case "/api/run-start":
                return self._start(fields)
            case "/api/run-stop":
                return self._stop(fields)
            case "/api/pace":
                return json_response(200, {"clock_ms": self.clock_ms()})
        return HttpResponse(404)

    def _refuse(self, reason: str) -> HttpResponse:
        return json_response(409, {"clock_ms": self.clock_ms(), "reason": reason})

    def _extend(self, until_ms: int) -> None:
        latest_ms = self.clock_ms() + HOLD_MAX_MS
        self._until_ms = max(self._until_ms, min(until_ms, latest_ms))

    async def _hold(self, fields: dict) -> HttpResponse:
        acknowledged = fields.get("ack_cursor", 0)
        self._finished = [row for row in self._finished if row[0] > acknowledged]
        if "until_ms" in fields:
            self._extend(fields["until_ms"])
        with trio.move_on_after(min(2_000, fields.get("wait_ms", 0)) / 1000):
            while not self._finished:
                await self._changed.wait()
        now_s = trio.current_time()
        return json_response(
            200,
            {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": [
                    [run.task, run.number, "", run.percent(now_s), 0]
                    for run in self.running.values()
                ],
                "finished": [
                    [number, run.task, run.number, run.how, ""]
                    for number, run in self._finished[:FINISHED_ROWS_MAX]
                ],
            },
        )

    def _start(self, fields: dict) -> HttpResponse:
        task, number = fields["task"], fields["run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            self._extend(fields["until_ms"])
            return json_response(200, {"clock_ms": self.clock_ms()})
        if number <= self._highest_run_by_task.get(task, 0):
            self._extend(fields["until_ms"])
            return self._refuse("old")
        if fields["until_ms"] <= self.clock_ms():
            return self._refuse("late")
        needs = json.loads(fields["spec"])
        if not self._has_room(needs):
            self._extend(fields["until_ms"])
            return self._refuse("room")
        self._extend(fields["until_ms"])
        run = Run(task, number, self.id, needs, trio.current_time())
        self._highest_run_by_task[task] = number
        self.running[task] = run
        self.history.append(run)
        self._note(f"{self.id} starts {task} run {number}")
        return json_response(200, {"clock_ms": self.clock_ms()})

    def _has_room(self, needs: dict) -> bool:
        return all(
            sum(run.needs.get(name, 0) for run in self.running.values())
            + needs.get(name, 0)
            <= amount
            for name, amount in self.capacity.items()
        )

    def _stop(self, fields: dict) -> HttpResponse:
        task, number = fields["task"], fields["run"]
        highest = self._highest_run_by_task.get(task, 0)
        self._highest_run_by_task[task] = max(number, highest)
        run = self.running.get(task)
        if run is not None and run.number <= number and run.stop_due_s is None:
            run.stop_due_s = trio.current_time() + STOP_MS / 1000
            self._note(f"{self.id} is told to stop {task} run {number}")
        return json_response(200, {"clock_ms": self.clock_ms()})

    def _advance(self) -> None:
        now_s = trio.current_time()
        has_lapsed = self.clock_ms() > self._until_ms
        for run in list(self.running.values()):
            if has_lapsed:
                self._end(run, "lapsed")
            elif run.stop_due_s is not None and now_s >= run.stop_due_s:
                self._end(run, "stopped")
            elif run.work_s is not None and now_s >= run.started_s + run.work_s:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        run.ended_s, run.how = trio.current_time(), how
        del self.running[run.task]
        self._end_count += 1
        self._finished.append((self._end_count, run))
        self._note(f"{self.id} ends {run.task} run {run.number}: {how}")
        self._changed.set()
        self._changed = trio.Event()
