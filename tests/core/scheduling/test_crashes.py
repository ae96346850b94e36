"""Which units are suspected of crashing their endpoints, and which are given up."""

import pytest
from harness import SMALL, Harness, configuration

from ragwortshelf.core.scheduling import (
    EndpointInfo,
    JobSpec,
    JobTable,
    Resources,
    Scheduler,
    Step,
)
from ragwortshelf.core.scheduling.listings import RunEnd, StartOutcome
from ragwortshelf.core.scheduling.model import GANG, Incarnation, UnitKey
from ragwortshelf.core.scheduling.record_codec import (
    decode_record,
    deletion_records,
    encode_record,
)
from ragwortshelf.core.scheduling.records import (
    EndpointForgotten,
    EndpointObserved,
    Suspicion,
    TaskCrashes,
    UnitCrashes,
)

WHOLE = Resources(8_000, 8_000, 8)
AWAY_MS = 3_400


class _Crashes(Harness):
    """Endpoints crash, and come back after ``AWAY_MS`` as another incarnation."""

    def __init__(self, endpoints=6, **config):
        super().__init__(endpoints, **config)
        self.born = dict.fromkeys(self.running, 1)

    def list(self, endpoint, **fields):
        fields.setdefault("started_wall_ms", getattr(self, "born", {}).get(endpoint, 1))
        super().list(endpoint, **fields)

    def lose(self, *endpoints):
        for endpoint in endpoints:
            self.scheduler.endpoint_unreachable(endpoint, self.now, self.now)
        self.plan()

    def restart(self, *endpoints):
        for endpoint in endpoints:
            self.running[endpoint].clear()
            self.born[endpoint] = self.now
        self.list_all()

    def crash(self, *endpoints):
        self.advance(10)
        self.lose(*endpoints)
        self.advance(AWAY_MS)
        self.restart(*endpoints)

    def list_all(self):
        for endpoint in self.running:
            self.list(endpoint)

    def settle(self):
        for _ in range(3):
            self.advance(700)
            self.list_all()

    def start(self):
        """Confirm all starts; returns the endpoint of each task's newest run."""
        return {order.task: order.endpoint_id for order in self.accept_starts()}

    def state(self, job_id):
        return self.table.job_by_id[job_id].state.value

    def crashes(self, job_id, member=0):
        key = UnitKey(job_id, 0, 0, member)
        return self.table.crashes_by_job_id.get(job_id, {}).get(key, UnitCrashes(key))

    def count(self, job_id, member=0):
        by_task = self.crashes(job_id, member).by_task
        return max((task.count for task in by_task), default=0)


def test_a_unit_that_crashed_two_endpoints_alone_is_given_up():
    harness = _Crashes()
    harness.submit("d")
    for _ in range(2):
        assert harness.state("d") == "running"
        harness.crash(*harness.start().values())
    assert harness.state("d") == "failed"
    harness.settle()
    assert not harness.starts


def test_a_run_that_has_settled_is_not_suspected_of_a_later_crash():
    harness = _Crashes()
    harness.submit("a", estimate_ms=60_000)
    for _ in range(3):
        (endpoint,) = harness.start().values()
        harness.settle()
        harness.crash(endpoint)
    assert harness.state("a") == "running"
    assert harness.crashes("a") == UnitCrashes(UnitKey("a", 0, 0, 0))


# The failure: runs that were lost together were placed together again.
def test_units_that_were_lost_together_start_apart():
    harness = _Crashes()
    for job_id in "abd":
        harness.submit(job_id)
    assert set(harness.start().values()) == {"e0"}
    harness.crash("e0")
    for _ in range(3):
        placed = harness.start()
        assert len(set(placed.values())) == len(placed)
        if "d.0.0.0" in placed:
            harness.crash(placed["d.0.0.0"])
        else:
            harness.settle()
    assert [harness.state(job_id) for job_id in "abd"] == [
        "running",
        "running",
        "failed",
    ]
    assert harness.count("a") == harness.count("b") == 0


def test_no_other_unit_starts_beside_a_suspect_that_has_not_settled():
    harness = _Crashes(endpoints=1)
    harness.submit("d")
    harness.crash(*harness.start().values())
    harness.start()
    harness.submit("a")
    assert not harness.starts
    harness.settle()
    assert set(harness.start()) == {"a.0.0.0"}


def test_a_cut_link_is_no_crash():
    harness = _Crashes()
    harness.submit("a")
    (endpoint,) = harness.start().values()
    harness.advance(10)
    harness.lose(endpoint)
    assert harness.crashes("a").suspected
    harness.advance(1_000)
    harness.list(endpoint)
    assert harness.crashes("a") == UnitCrashes(UnitKey("a", 0, 0, 0))


def test_a_crash_is_known_by_another_endpoint_at_the_address():
    harness = _Crashes()
    harness.submit("d")
    (endpoint,) = harness.start().values()
    harness.advance(10)
    harness.lose(endpoint)
    harness.scheduler.endpoint_removed(endpoint)
    info = harness.scheduler.endpoint_by_id[endpoint].info
    del harness.running[endpoint], harness.born[endpoint]
    harness.born["new"] = 1
    harness.running["new"] = {}
    harness.scheduler.endpoint_updated(
        type(info)("new", "pool", info.address, "dc", info.capacity, info.labels),
        harness.now,
    )
    assert harness.count("d") == 0
    harness.list("new")
    assert harness.count("d") == 1
    assert [start.run for start in harness.starts] == [2]


def test_a_crash_known_only_after_the_lease_has_run_out_counts():
    harness = _Crashes()
    harness.submit("d")
    # It may have crashed after the run had lapsed, so that one more crash is needed.
    for _ in range(3):
        (endpoint,) = harness.start().values()
        harness.advance(10)
        harness.lose(endpoint)
        harness.advance(7_600)
        harness.scheduler.endpoint_lease_expired(endpoint, harness.now, harness.now)
        harness.plan()
        started_before_word = list(harness.starts)
        harness.advance(1_000)
        harness.restart(endpoint)
    # After a second loss the unit waits until it is known whether that was a crash.
    assert not started_before_word
    assert harness.state("d") == "failed"


def test_a_unit_waits_in_vain_for_word_of_a_lost_endpoint_only_for_a_time():
    harness = _Crashes()
    harness.submit("a")
    for _ in range(2):
        (endpoint,) = harness.start().values()
        harness.lose(endpoint)
        harness.scheduler.endpoint_lease_expired(endpoint, harness.now, harness.now)
        harness.plan()
    assert not harness.starts
    harness.advance(5_000)
    assert harness.state("a") == "running" and harness.starts


@pytest.mark.parametrize("idle", [[], ["e4", "e5"]])
def test_a_power_cut_blames_nobody_alone(idle):
    # Endpoints without fresh runs are lost as well, so that those explain nothing.
    harness = _Crashes()
    harness.submit("a", request=WHOLE)
    for _ in range(2):
        (endpoint,) = harness.start().values()
        harness.crash(endpoint, *[e for e in idle if e != endpoint])
    assert harness.state("a") == ("running" if idle else "failed")


def test_the_end_of_a_leaving_endpoint_blames_nobody():
    harness = _Crashes()
    harness.submit("a")
    (endpoint,) = harness.start().values()
    harness.add_endpoint(endpoint, is_draining=True, remaining_ms=9_000)
    harness.crash(endpoint)
    assert harness.crashes("a") == UnitCrashes(UnitKey("a", 0, 0, 0))


def test_siblings_of_a_suspect_wait_for_its_trial():
    harness = _Crashes(endpoints=2)
    harness.submit("d", count=4, request=WHOLE)
    harness.submit("a", count=1, request=WHOLE)
    first = harness.start()
    assert len(first) == 2
    harness.crash(*first.values())
    # One suspect at a time, and neither of the two tasks that have never run.
    assert len([s for s in harness.starts if s.unit_key.job_id == "d"]) == 1
    placed = harness.start()
    harness.crash(*(e for task, e in placed.items() if task.startswith("d")))
    assert harness.state("d") == "failed"


def test_few_suspects_start_at_a_time():
    harness = _Crashes(endpoints=16)
    for number in range(12):
        harness.submit(f"d{number}", request=WHOLE)
    harness.crash(*harness.start().values())
    assert len(harness.starts) == 8


# The failure: each run of a gang crashed all of its endpoints.
def test_a_suspected_gang_starts_one_task_first():
    harness = _Crashes()
    harness.submit("d", count=4, is_gang=True, request=WHOLE)
    placed = harness.start()
    assert len(set(placed.values())) == 4
    harness.crash(placed["d.0.0.2"])
    for task, endpoint in placed.items():
        if task != "d.0.0.2":
            harness.end(endpoint, task, RunEnd.BROKEN)
    assert [start.task for start in harness.starts] == ["d.0.0.2"]
    harness.crash(*harness.start().values())
    assert harness.state("d") == "failed"


def test_a_suspected_gang_starts_whole_once_its_trial_has_passed():
    harness = _Crashes()
    harness.submit("g", count=4, is_gang=True, request=WHOLE)
    placed = harness.start()
    harness.advance(10)
    harness.lose(placed["g.0.0.2"])
    harness.scheduler.endpoint_lease_expired(
        placed["g.0.0.2"], harness.now, harness.now
    )
    for task, endpoint in placed.items():
        if task != "g.0.0.2":
            harness.end(endpoint, task, RunEnd.BROKEN)
    assert [start.task for start in harness.starts] == ["g.0.0.2"]
    harness.start()
    harness.advance(300)
    assert {start.task for start in harness.starts} == {f"g.0.0.{n}" for n in (0, 1, 3)}


def test_a_successor_counts_the_crashes_of_earlier_terms():
    harness = _Crashes()
    harness.submit("d")
    harness.crash(*harness.start().values())
    harness.start()
    harness.scheduler = Scheduler(2, harness.table, configuration())
    harness.scheduler.adopt(harness.now, harness.now)
    for endpoint in harness.running:
        harness.add_endpoint(endpoint)
    (endpoint,) = [e for e, tasks in harness.running.items() if tasks]
    harness.crash(endpoint)
    assert harness.state("d") == "failed"


# The failure: the run was ordered again on the endpoint that it had just crashed.
def test_a_successor_knows_an_endpoint_that_restarted_between_the_terms():
    harness = _Crashes()
    harness.submit("d")
    (endpoint,) = harness.start().values()
    harness.scheduler = Scheduler(2, harness.table, configuration())
    harness.scheduler.adopt(harness.now, harness.now)
    harness.running[endpoint].clear()
    harness.born[endpoint] = 2
    capacity = Resources(32_000, 64_000, 8)
    for name in harness.running:
        info = EndpointInfo(name, "pool", name, "dc", capacity, ("a", "r0"))
        harness.scheduler.endpoint_updated(info, harness.now)
    harness.list_all()
    assert harness.count("d") == 1
    assert [start.run for start in harness.starts] == [2]


@pytest.mark.parametrize(
    "record",
    [
        EndpointObserved(Incarnation("e1", "10.0.0.1:80", 1_700_000_000_000)),
        EndpointForgotten("e1"),
        UnitCrashes(
            UnitKey("j", 0, 1, GANG),
            (TaskCrashes(0, 2, 1),),
            1,
            (Suspicion(Incarnation("e1", "a", 5), (0, 3), (3,), 9),),
        ),
    ],
)
def test_evidence_is_read_as_it_was_written(record):
    assert decode_record(*encode_record(record)) == record


def test_evidence_of_a_forgotten_job_is_forgotten():
    table = JobTable()
    table.apply(UnitCrashes(UnitKey("j", 0, 0, 0), (TaskCrashes(0, 1, 1),)))
    table.apply(decode_record("j/j", b""))
    assert not table.crashes_by_job_id


def test_a_job_of_small_tasks_ends_in_spite_of_crashes_beside_it():
    harness = _Crashes(endpoints=3)
    harness.submit("a", count=6, request=SMALL)
    harness.submit("d", request=SMALL)
    harness.crash(*set(harness.start().values()))
    for _ in range(8):
        placed = harness.start()
        crashed = {e for task, e in placed.items() if task.startswith("d")}
        if crashed:
            harness.crash(*crashed)
        harness.settle()
    harness.start()
    assert harness.state("d") == "failed"
    for endpoint, tasks in harness.running.items():
        for task in list(tasks):
            harness.end(endpoint, task)
    harness.settle()
    assert harness.state("a") in ("running", "completed")
    assert all(harness.count("a", n) < 2 for n in range(6))


# The failure: endpoints crashed together, each counted against the gangs that had just
# started there, and healthy gangs were given up after one run.
def test_endpoints_that_crash_together_count_once_and_for_each_task():
    harness = _Crashes()
    for job_id in ("g", "h"):
        harness.submit(job_id, count=3, is_gang=True, request=WHOLE)
    harness.crash(*harness.start().values())
    for job_id in ("g", "h"):
        crashes = harness.crashes(job_id, GANG)
        assert [task.count for task in crashes.by_task] == [1, 1, 1]
        assert crashes.sole_crashes == 0
        assert harness.state(job_id) == "running"


def test_crashes_under_different_tasks_of_a_gang_do_not_give_it_up():
    harness = _Crashes(endpoints=9)
    harness.submit("g", count=3, is_gang=True, request=WHOLE)
    for index in range(3):
        placed = harness.start()
        harness.advance(300)
        placed.update(harness.start())
        harness.crash(placed[f"g.0.0.{index}"])
        for task, endpoint in placed.items():
            if task in harness.running[endpoint]:
                harness.end(endpoint, task, RunEnd.BROKEN)
    assert harness.state("g") == "running"
    assert harness.count("g", GANG) == 1


def test_a_start_that_was_refused_by_a_crashed_endpoint_is_not_suspected():
    harness = _Crashes()
    harness.submit("a")
    (order,) = harness.starts
    harness.scheduler.start_sent(order)
    harness.lose(order.endpoint_id)
    assert harness.crashes("a").suspected
    harness.refuse_start(StartOutcome.UNHEALTHY)
    assert harness.crashes("a") == UnitCrashes(UnitKey("a", 0, 0, 0))


def test_crashes_at_starts_without_an_answer_count_less():
    harness = _Crashes()
    harness.submit("a")
    for count in (1, 2, 3):
        assert harness.state("a") == "running"
        order = harness.starts[0]
        harness.scheduler.start_sent(order)
        harness.lose(order.endpoint_id)
        harness.refuse_start(StartOutcome.UNANSWERED)
        harness.advance(AWAY_MS)
        harness.restart(order.endpoint_id)
        assert harness.count("a") == count
        # The start may still arrive, until the new incarnation confirms a stop.
        stop = harness.stops[-1]
        harness.scheduler.stop_confirmed(
            stop.endpoint_id, stop.task, stop.run, harness.now
        )
        harness.advance(1)
        harness.list_all()
    assert harness.state("a") == "failed"


# The failure: a loss that the log told of was noted again by the successor, and counted
# twice.
def test_a_loss_before_a_change_of_scheduler_counts_once():
    harness = _Crashes()
    harness.submit("d")
    (endpoint,) = harness.start().values()
    harness.advance(10)
    harness.lose(endpoint)
    harness.scheduler = Scheduler(2, harness.table, configuration())
    harness.scheduler.adopt(harness.now, harness.now)
    capacity = Resources(32_000, 64_000, 8)
    for name in harness.running:
        info = EndpointInfo(name, "pool", name, "dc", capacity, ("a", "r0"))
        harness.scheduler.endpoint_updated(info, harness.now)
    harness.restart(endpoint)
    assert harness.count("d") == 1
    assert harness.crashes("d").sole_crashes == 1


# The failure: a unit that waited for word of its endpoints went on waiting after it.
def test_a_unit_whose_crashes_are_known_waits_no_longer():
    harness = _Crashes()
    harness.submit("g", count=2, is_gang=True, request=WHOLE)
    placed = harness.start()
    harness.lose(*placed.values())
    for endpoint in placed.values():
        harness.scheduler.endpoint_lease_expired(endpoint, harness.now, harness.now)
    harness.plan()
    assert not harness.starts
    harness.restart(*placed.values())
    assert len(harness.starts) == 1


def test_evidence_is_deleted_with_its_job():
    key = UnitKey("j", 0, 0, 1)
    other = key._replace(member=0)
    deleted = [key for key, _ in deletion_records("j", [other, key], [key])]
    assert deleted == ["u/j/0/0/0", "u/j/0/0/1", "k/j/0/0/1", "c/j", "j/j"]


# The failure: the members that were never ordered occupied their endpoints for ever.
def test_held_members_of_a_gang_that_ends_early_release_their_room():
    harness = _Crashes(endpoints=4)
    harness.submit("g", count=4, is_gang=True, request=WHOLE)
    placed = harness.start()
    harness.crash(placed["g.0.0.2"])
    for task, endpoint in placed.items():
        if task != "g.0.0.2":
            harness.end(endpoint, task, RunEnd.BROKEN)
    (first,) = harness.start().items()
    harness.end(first[1], first[0], RunEnd.DONE)
    assert harness.state("g") == "completed"
    harness.advance(100)
    free = [e.free_gpus for e in harness.scheduler.endpoint_by_id.values()]
    assert free == [8] * 4


# The failure: suspects whose endpoints were back kept others from their trials, and
# healthy units waited for 20 s and more beside a stream of deadly ones.
def test_a_suspect_that_is_being_stopped_takes_no_trial():
    harness = _Crashes(endpoints=2)
    for job_id in "ab":
        harness.submit(job_id, request=WHOLE)
    harness.crash(*harness.start().values())
    assert len(harness.starts) == 1
    harness.start()
    harness.cancel("a")
    assert [start.unit_key.job_id for start in harness.starts] == ["b"]


# The failure: a job went on to fail because of a step that was done.
def test_crashes_that_are_known_after_the_end_of_a_gang_do_not_fail_its_job():
    harness = _Crashes(endpoints=4)
    first = Step(3, WHOLE, 2_000, is_gang=True)
    last = Step(1, WHOLE, 2_000, depends_on=(0,))
    harness.submit_spec(JobSpec("g", "p1", "pool", "a", "", (first, last)))
    harness.crash(harness.start()["g.0.0.1"])
    for index in (0, 2):
        harness.end(f"e{index}", f"g.0.0.{index}", RunEnd.BROKEN)
    placed = harness.start()
    harness.advance(300)
    placed |= harness.start()
    harness.lose(placed["g.0.0.1"], placed["g.0.0.2"])
    harness.end(placed["g.0.0.0"], "g.0.0.0")
    harness.restart(placed["g.0.0.1"])
    assert harness.state("g") == "running"
    assert [start.task for start in harness.starts] == ["g.0.1.0"]


# The failure: a run that had lapsed behind a cut link was blamed for a later crash.
def test_a_crash_long_after_the_loss_of_contact_is_not_certain():
    harness = _Crashes()
    harness.submit("a")
    (endpoint,) = harness.start().values()
    harness.lose(endpoint)
    harness.advance(7_100)
    harness.scheduler.endpoint_lease_expired(endpoint, harness.now, harness.now)
    harness.restart(endpoint)
    (task,) = harness.crashes("a").by_task
    assert (task.count, task.certain_count) == (1, 0)


# The failure: endpoints left while an earlier term was stopping a gang on them for that
# reason. The successor took their loss for crashes at the gang's start, and held the
# gang back while nearly all of the room was free.
def test_what_an_earlier_term_was_stopping_is_not_suspected():
    harness = _Crashes()
    harness.submit("g", count=3, is_gang=True, request=WHOLE)
    starts = harness.start()
    harness.advance(2_000)
    unit = harness.scheduler.unit_by_key[UnitKey("g", 0, 0, GANG)]
    harness.scheduler.stop_unit(unit, "endpoint leaves", harness.now)
    harness.collect()
    (first_task, first), *others = starts.items()
    harness.end(first, first_task, RunEnd.STOPPED)
    harness.scheduler = Scheduler(2, harness.table, configuration())
    harness.scheduler.adopt(harness.now, harness.now)
    for _, endpoint in others:
        del harness.running[endpoint]
    for endpoint in harness.running:
        harness.add_endpoint(endpoint)
    for _, endpoint in others:
        harness.scheduler.endpoint_lease_expired(endpoint, harness.now, harness.now)
    harness.starts.clear()
    harness.plan()
    assert not harness.scheduler.unit_by_key[unit.key].is_suspect
    assert [start.run for start in harness.starts] == [2, 2, 2]
