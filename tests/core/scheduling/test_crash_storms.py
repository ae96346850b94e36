"""The load: deadly tasks among healthy ones, while endpoints are cut off or crash by
themselves, some at once, and the scheduler changes.

The limits are those of the platform's rules: a task is started at most twice more after
three endpoints have crashed under it, and a job may fail once two have.
"""

import random
from collections import Counter, defaultdict

import pytest
from harness import Harness, configuration

from ragwortshelf.core.scheduling import EndpointInfo, Resources, Scheduler
from ragwortshelf.core.scheduling.listings import RunEnd, StartOutcome

ENDPOINTS = 12
STEP_MS = 50
ARRIVALS_MS = 20_000
END_MS = 120_000
AWAY_MS = 3_400
LEASE_MS = 7_000
LISTING_MS = 1_000
RUN_MS = 2_000
CRASHES_MAX = 3
STARTS_AFTER_MAX = 2
CRASHES_BEFORE_FAILED = 2
REQUESTS = (Resources(1_000, 1_000, 1), Resources(4_000, 4_000, 4))


class _Storm(Harness):
    """Endpoints that crash, or are cut off, and know which runs they have."""

    def __init__(self, seed):
        super().__init__(endpoints=ENDPOINTS, attempts=4)
        self.draw = random.Random(seed)
        self.born = dict.fromkeys(self.running, 1)
        self.back_ms = {}
        self.cut_until_ms = {}
        self.lost_ms = {}
        self.started_ms = {}
        self.due = defaultdict(list)
        self.starts_of = defaultdict(list)
        self.crashes_of = Counter()
        self.third_crash_ms = {}
        self.is_adopting = False

    def list(self, endpoint, **fields):
        born = getattr(self, "born", {})
        started_ms = getattr(self, "started_ms", {})
        percent = {
            task: min(99, 100 * (self.now - started_ms[task, run]) // RUN_MS)
            for task, run in self.running[endpoint].items()
        }
        super().list(
            endpoint,
            percent=percent,
            started_wall_ms=born.get(endpoint, 1),
            **fields,
        )

    def play(self):
        events = (self._cut, self._crash_some, self._change_scheduler)
        number = 0
        while self.now < END_MS:
            if self.now < ARRIVALS_MS and self.draw.random() < 0.2:
                self._submit(number)
                number += 1
            if self.now < ARRIVALS_MS and self.draw.random() < 0.01:
                self.draw.choice(events)()
            self._answer_starts()
            self._answer_stops()
            self._end_runs()
            self._return_endpoints()
            if self.now % LISTING_MS < STEP_MS:
                for endpoint in list(self.running):
                    if not self._is_away(endpoint):
                        self.list(endpoint)
            self.advance(STEP_MS)

    def _submit(self, number):
        is_deadly = self.draw.random() < 0.1
        count = self.draw.choice((1, 1, 2, 4))
        self.submit(
            f"{'d' if is_deadly else 'h'}{number:03d}",
            self.draw.choice(("p0", "p1", "p2")),
            self.draw.choice("ab"),
            accepted=self.now,
            count=count,
            request=self.draw.choice(REQUESTS),
            is_gang=self.draw.random() < 0.4,
        )

    def _is_away(self, endpoint):
        is_cut = self.cut_until_ms.get(endpoint, 0) > self.now
        return endpoint in self.back_ms or is_cut

    def _answer_starts(self):
        orders, self.starts = self.starts, []
        for order in orders:
            if not self.scheduler.is_still_ordered(order):
                continue
            self.scheduler.start_sent(order)
            outcome = StartOutcome.STARTED
            if order.endpoint_id in self.back_ms:
                outcome = StartOutcome.UNHEALTHY
            elif self._is_away(order.endpoint_id):
                outcome = StartOutcome.UNANSWERED
            else:
                self._start(order)
            self.scheduler.start_answered(
                order.endpoint_id, order.task, order.run, outcome, False,
                self.now, self.now,
            )  # fmt: skip
        for order in orders:
            is_deadly = order.task[0] == "d" and order.task.endswith(".0")
            is_there = self.running[order.endpoint_id].get(order.task) == order.run
            if is_deadly and is_there:
                self._crash(order.endpoint_id)
        self.plan()

    def _start(self, order):
        self.running[order.endpoint_id][order.task] = order.run
        self.started_ms[order.task, order.run] = self.now
        self.starts_of[order.task].append(self.now)
        self.due[self.now + RUN_MS].append(order)

    def _answer_stops(self):
        orders, self.stops = self.stops, []
        for order in orders:
            if self._is_away(order.endpoint_id):
                continue
            if self.running[order.endpoint_id].get(order.task) == order.run:
                self.end(order.endpoint_id, order.task, RunEnd.STOPPED)
            self.scheduler.stop_confirmed(
                order.endpoint_id, order.task, order.run, self.now - 1
            )

    def _end_runs(self):
        for due_ms in [ms for ms in self.due if ms <= self.now]:
            for order in self.due.pop(due_ms):
                tasks = self.running[order.endpoint_id]
                if tasks.get(order.task) != order.run:
                    continue
                if self._is_away(order.endpoint_id):
                    self.due[self.now + STEP_MS].append(order)
                elif order.unit_key.member >= 0 or self._gang_is_whole(order):
                    self.end(order.endpoint_id, order.task)
                else:
                    self.end(order.endpoint_id, order.task, RunEnd.BROKEN)

    def _gang_is_whole(self, order):
        unit = self.scheduler.unit_by_key.get(order.unit_key)
        if unit is None or unit.phase.name == "DONE":
            return True
        at_work = sum(
            self.running[endpoint].get(unit.task(index)) == order.run
            for endpoint in self.running
            for index in range(unit.count)
        )
        return at_work == unit.count

    def _crash(self, endpoint):
        for task in self.running[endpoint]:
            self.crashes_of[task] += 1
            if self.crashes_of[task] == CRASHES_MAX:
                self.third_crash_ms[task] = self.now
        self.running[endpoint].clear()
        self.finished_count[endpoint] = 0
        self.back_ms[endpoint] = self.now + AWAY_MS
        self._lose(endpoint)

    def _lose(self, endpoint):
        self.lost_ms.setdefault(endpoint, self.now)
        self.scheduler.endpoint_unreachable(endpoint, self.now, self.now)

    def _crash_some(self):
        for endpoint in self.draw.sample(list(self.running), self.draw.randint(1, 4)):
            if endpoint not in self.back_ms:
                self._crash(endpoint)

    def _cut(self):
        until_ms = self.now + self.draw.choice((2_000, 10_000))
        for endpoint in self.draw.sample(list(self.running), self.draw.randint(1, 4)):
            if endpoint not in self.back_ms:
                self.cut_until_ms[endpoint] = until_ms
                self._lose(endpoint)

    def _return_endpoints(self):
        for endpoint, lost_ms in list(self.lost_ms.items()):
            if endpoint in self.back_ms and self.back_ms[endpoint] <= self.now:
                del self.back_ms[endpoint]
                self.born[endpoint] = self.now
            if not self._is_away(endpoint):
                del self.lost_ms[endpoint]
                self.list(endpoint)
            elif self.now - lost_ms > LEASE_MS:
                # Leases have run out, so that nothing runs there.
                self.running[endpoint].clear()
                self.scheduler.endpoint_lease_expired(endpoint, self.now, self.now)
                self.lost_ms[endpoint] = END_MS * 2
                self.plan()

    def _change_scheduler(self):
        self.starts, self.stops = [], []
        self.scheduler = Scheduler(
            self.scheduler.term + 1, self.table, configuration(attempts=4)
        )
        self.scheduler.adopt(self.now, self.now)
        for endpoint in self.running:
            rack = ("a", "r0")
            info = EndpointInfo(
                endpoint, "pool", endpoint, "dc", Resources(32_000, 64_000, 8), rack
            )
            self.scheduler.endpoint_updated(info, self.now)
            if not self._is_away(endpoint):
                self.list(endpoint)


@pytest.mark.parametrize("seed", range(6))
def test_deadly_tasks_end_and_healthy_ones_are_done(seed):
    storm = _Storm(seed)
    storm.play()
    for task, third_ms in storm.third_crash_ms.items():
        if task.startswith("d"):
            after = [ms for ms in storm.starts_of[task] if ms > third_ms]
            assert len(after) <= STARTS_AFTER_MAX
    for job_id, job in storm.table.job_by_id.items():
        crashes = max(
            (n for task, n in storm.crashes_of.items() if task.startswith(job_id)),
            default=0,
        )
        if job.state.value == "failed":
            assert crashes >= CRASHES_BEFORE_FAILED, job_id
        else:
            assert job.state.value == "completed" and job_id.startswith("h"), job_id
