"""Random series of overlapping disruptions, drawn from a seed, in virtual time.

``RAGWORTSHELF_TAKEOVER_SEEDS=100:200`` runs these seeds instead of the usual few. With
``PYTHONHASHSEED=0`` a seed gives the same run each time.
"""

import os
import random
from collections import defaultdict
from itertools import pairwise
from types import SimpleNamespace

import pytest
import trio
from cluster import holders, state_of, wait_until
from disruptions import CLOCK_RATE_MIN, EPOCH_S, DisruptedCluster

from ragwortshelf.core.scheduling import JobState
from ragwortshelf.core.scheduling.listings import RunEnd
from ragwortshelf.scheduler.settings import SchedulingSettings

SEEDS = range(
    *map(int, os.environ.get("RAGWORTSHELF_TAKEOVER_SEEDS", "0:3").split(":"))
)

SERIES_S = 35
FINISH_S = 14
"""Time after the healing by which everything accepted is at work, or has ended."""

END_S = 1
"""Time allowed from the end of the last run until its job is shown as completed."""

RESTART_MS = SchedulingSettings("").lease_ms / CLOCK_RATE_MIN + 2_000
"""Time from the loss of an endpoint, which the holder saw, to the new start."""


class _World(DisruptedCluster):
    """A cluster whose runs are checked."""

    def runs_by_task(self):
        runs_by_task = defaultdict(list)
        for endpoint in self.endpoints:
            endpoint.advance()
            for run in endpoint.history.values():
                runs_by_task[run.task].append((run.started_ms, endpoint.info.id, run))
        return {
            task: sorted(rows, key=lambda r: r[:2])
            for task, rows in runs_by_task.items()
        }

    def runs_at_once(self):
        """Return pairs of runs of a task of which the second started too early."""
        pairs = []
        for rows in self.runs_by_task().values():
            for (_, _, before), (_, _, after) in pairwise(rows):
                free_ms = before.ended_ms
                if before.end is RunEnd.DONE:
                    free_ms = before.voided_ms
                if free_ms is None or free_ms > after.started_ms:
                    pairs.append((before, after))
        return pairs

    async def open_jobs(self):
        """Return the accepted jobs that are not shown as completed."""
        return [
            job_id
            for job_id in self.spec_by_id
            if await state_of(self.instances[0], job_id) is not JobState.COMPLETED
        ]

    async def tasks_not_at_work(self):
        """Return the tasks of accepted jobs that neither run nor are done."""
        runs_by_task = self.runs_by_task()
        tasks = []
        for job_id in await self.open_jobs():
            spec = self.spec_by_id[job_id]
            for index in range(spec.steps[0].count):
                runs = runs_by_task.get(f"{job_id}.0.0.{index}", [])
                if not any(run.end in (None, RunEnd.DONE) for _, _, run in runs):
                    tasks.append((f"{job_id}.0.0.{index}", runs))
        return tasks


def _wall_ns():
    """Return the time of day, which passes with virtual time."""
    return int(1e9 * (EPOCH_S + trio.current_time()))


@pytest.fixture
def world(seed, monkeypatch):
    # What else is random, or depends on the speed of the machine.
    state = random.getstate()
    random.seed(seed)
    monkeypatch.setattr("trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr("trio._core._run._r", random.Random(seed))
    virtual = SimpleNamespace(perf_counter=trio.current_time)
    monkeypatch.setattr("ragwortshelf.scheduler.leadership.time", virtual)
    virtual = SimpleNamespace(time_ns=_wall_ns)
    monkeypatch.setattr("ragwortshelf.daemon.clock.time", virtual)
    yield _World(random.Random(seed))
    random.setstate(state)


async def _disrupt(world, at_s, disruption):
    await trio.sleep_until(at_s)
    await disruption()


# Guards against accepted tasks that run twice, or that nobody starts any more, when
# disruptions overlap in ways that no other test has thought of.
@pytest.mark.parametrize("seed", SEEDS)
async def test_no_task_runs_twice_or_is_lost_in_random_disruptions(
    autojump_clock, world
):
    draw = world.draw
    disruptions = [
        *[world.cut_off, world.cut_off_from_one, world.crash, world.kill_holder] * 2,
        *[world.unlist, world.log_fault, world.lose_answers, world.submit_short] * 2,
        *[world.kill_twice, world.kill_all, world.resign],
    ]
    async with trio.open_nursery() as nursery:
        await world.run(nursery)
        for _ in range(draw.randint(2, 3)):
            await world.submit((20, 60), draw.randint(1, 3))
        await world.submit((5, 30), draw.randint(2, 4), gang=True)
        began_s = trio.current_time()
        async with trio.open_nursery() as series:
            for _ in range(draw.randint(8, 24)):
                at_s = began_s + draw.uniform(0, SERIES_S)
                series.start_soon(_disrupt, world, at_s, draw.choice(disruptions))
        for faults in world.faults_by_name.values():
            faults.lose_append_answers = 0
        for endpoint in world.endpoints:
            endpoint.lose_start_answers = 0
        world.note("healed")
        await trio.sleep(FINISH_S)
        assert not world.runs_at_once(), world.trace
        assert not await world.tasks_not_at_work(), world.trace
        # Until all jobs are shown as completed, or their time is over.
        work_s = max(world.work_ms_by_job.values()) / 1000
        with trio.move_on_after(work_s + END_S):
            while await world.open_jobs():
                await trio.sleep(1)
        assert not world.runs_at_once(), world.trace
        assert not await world.open_jobs(), world.trace
        nursery.cancel_scope.cancel()


async def _lose_for_good(world, lost):
    """Cut endpoints off, and wait until the holder has noted that in the log."""
    lost_ms = 1000 * trio.current_time()
    (holder,) = holders(world.instances)
    for endpoint in lost:
        world.note("lost", endpoint.info.id, sorted(endpoint.running))
        endpoint.is_disconnected = True
    by_id = holder.election.leadership._scheduler.endpoint_by_id
    await wait_until(lambda: not any(by_id[e.info.id].is_reachable for e in lost))
    await trio.sleep(0.1)
    return lost_ms


# Guards against leases that are counted anew by each holder of the role, whichever way
# it changes, while little else goes on. A successor treats runs that began within 15 s
# before its term in another way.
@pytest.mark.parametrize("age_s", [2, 16])
@pytest.mark.parametrize("seed", SEEDS)
async def test_what_the_holder_saw_lost_starts_again_in_time(
    autojump_clock, world, age_s
):
    draw = world.draw
    async with trio.open_nursery() as nursery:
        await world.run(nursery)
        for gang in (False, False, True):
            await world.submit((60, 90), draw.randint(2, 4), gang=gang)
        await trio.sleep(age_s + draw.uniform(0, 3))
        busy = [endpoint for endpoint in world.endpoints if endpoint.running]
        lost = draw.sample(busy, min(len(busy), draw.randint(1, 2)))
        tasks = {(task, run) for e in lost for task, (run, _) in e.running.items()}
        lost_ms = await _lose_for_good(world, lost)
        if draw.random() < 0.5:
            world.platform.reports.append([(lost[0].info.id, b"")])
        for _ in range(draw.randint(0, 3)):
            await trio.sleep(draw.uniform(0, 1))
            if 1000 * trio.current_time() - lost_ms > 5_000:
                break
            how = draw.choice([world.kill_holder, world.kill_all, world.resign])
            await how()
            await wait_until(lambda: holders(world.instances))
        await trio.sleep_until((lost_ms + RESTART_MS + world.without_power_ms) / 1000)
        started = {
            (run.task, run.run)
            for rows in world.runs_by_task().values()
            for _, _, run in rows
        }
        for task, run in tasks:
            assert any(t == task and r > run for t, r in started), (task, world.trace)
        assert not world.runs_at_once(), world.trace
        nursery.cancel_scope.cancel()
