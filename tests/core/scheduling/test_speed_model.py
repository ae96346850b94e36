"""Endpoint speeds are learned from listings, whatever the tasks and estimates are.

The load: tasks that differ by 15%, estimates that are wrong by a share that depends on
the queue, and listings of whole percents about once a second.
"""

import random

from harness import Harness

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.speed_belief import SpeedClass
from ragwortshelf.core.scheduling.speed_needs import speed_class

HALF = Resources(4_000, 4_000, 4)
LARGE = Resources(8_000, 8_000, 8)
UNEVEN = (0.6, 1.0, 1.6)
LISTING_MS = 1_000


class Fleet:
    """Drives a harness whose endpoints work at given speeds.

    ``work_ms`` of a task is drawn at its start; members of a gang progress from the
    time when all of them have started, and end together.
    """

    def __init__(self, speeds, seed=1, racks=1):
        self.harness = Harness(endpoints=len(speeds), racks=racks)
        self.speed_by_id = {f"e{n}": speed for n, speed in enumerate(speeds)}
        self.draw = random.Random(seed)
        self.done_by_task = {}
        self.work_ms_by_task = {}
        self.orders = {}
        self.job_work_ms = {}
        self.job_number = 0

    def submit(self, work_ms, error=0.0, queue="p2", **step):
        """Submit a job whose estimate is wrong by up to ``error``."""
        self.job_number += 1
        job_id = f"j{self.job_number}"
        self.job_work_ms[job_id] = work_ms
        estimate_ms = int(work_ms * (1 + self.draw.uniform(-error, error)))
        self.harness.submit(job_id, queue, estimate_ms=estimate_ms, **step)
        self.start()
        return job_id

    def start(self):
        for order in self.harness.accept_starts():
            work_ms = self.job_work_ms[order.unit_key.job_id]
            self.work_ms_by_task[order.task] = work_ms * self.draw.uniform(0.85, 1.15)
            self.done_by_task[order.task] = 0.0
            self.orders[order.task] = order

    def run(self, ms, step_ms=50):
        """Let time pass; endpoints are listed in turn, each once a second."""
        harness = self.harness
        names = list(self.speed_by_id)
        for _ in range(0, ms, step_ms):
            harness.now += step_ms
            for task, order in self.orders.items():
                speed = self.speed_by_id[order.endpoint_id]
                self.done_by_task[task] += step_ms * speed
            for n, name in enumerate(names):
                phase_ms = n * LISTING_MS // len(names) // step_ms * step_ms
                if harness.now % LISTING_MS == phase_ms:
                    harness.list(name, percent=self._percents())
            self._end_finished()
            self.start()

    def _share(self, task):
        return self.done_by_task[task] / self.work_ms_by_task[task]

    def _percents(self):
        return {t: min(99, int(100 * self._share(t))) for t in self.orders}

    def _end_finished(self):
        unfinished = {
            order.unit_key for t, order in self.orders.items() if self._share(t) < 1
        }
        for task, order in list(self.orders.items()):
            if order.unit_key not in unfinished:
                del self.orders[task]
                self.harness.end(order.endpoint_id, task)

    def endpoint(self, name):
        return self.harness.scheduler.endpoint_by_id[name]

    def speeds(self, speed):
        """Return what is believed of the endpoints of this speed."""
        names = (n for n, own in self.speed_by_id.items() if own == speed)
        return [self.endpoint(name).speed for name in names]

    def classes(self, speed):
        return [
            speed_class(self.endpoint(name))
            for name, own in self.speed_by_id.items()
            if own == speed
        ]


def _share(classes, expected):
    return sum(c is expected for c in classes) / len(classes)


def _fill(fleet, work_ms=3_000, error=0.5):
    """Fill the fleet with gangs of five, as urgent and other jobs would."""
    for _ in range(len(fleet.speed_by_id) // 5):
        fleet.submit(work_ms, error, count=10, request=HALF, is_gang=True)


def test_three_speeds_are_known_after_two_seconds_of_load():
    # Guards against speeds that count only after several runs have ended.
    fleet = Fleet(UNEVEN * 20)
    _fill(fleet)
    fleet.run(2_000)
    assert set(fleet.classes(1.0)) == {SpeedClass.USUAL}
    assert SpeedClass.FAST not in fleet.classes(0.6)
    assert SpeedClass.SLOW not in fleet.classes(1.6)
    # One run each is known, so that classes need a second one where the bias is large.
    assert _share(fleet.classes(0.6), SpeedClass.SLOW) > 0.5
    slow, fast = fleet.speeds(0.6), fleet.speeds(1.6)
    assert sum(speed < 0.85 for speed in slow) >= 0.9 * len(slow)
    assert sum(speed > 1.2 for speed in fast) >= 0.9 * len(fast)
    assert max(slow) < min(fast)


def test_estimates_wrong_by_nine_tenths_make_no_endpoint_slow():
    # Guards against taking the error of an estimate for the speed of the one endpoint
    # on which the whole step runs.
    fleet = Fleet((1.0,) * 24)
    for _ in range(6):
        for _ in range(24):
            fleet.submit(3_000, 0.9, count=2, request=HALF)
        fleet.run(5_000)
    assert _share(fleet.classes(1.0), SpeedClass.USUAL) > 0.9


def test_a_data_centre_of_slow_endpoints_is_slow():
    # Guards against comparing siblings only: all run on endpoints of the same speed.
    fleet = Fleet((0.6,) * 12 + (1.0,) * 24)
    for _ in range(10):
        for _ in range(18):
            fleet.submit(3_000, 0.2, count=2, request=LARGE, is_gang=True)
        fleet.run(7_000)
    assert _share(fleet.classes(0.6), SpeedClass.SLOW) > 0.9
    assert _share(fleet.classes(1.0), SpeedClass.SLOW) == 0


def test_an_endpoint_that_slows_down_in_the_middle_of_a_gang_is_learned_anew():
    # Guards against so much confidence from the past that a change takes minutes.
    fleet = Fleet((1.0,) * 10)
    for _ in range(8):
        _fill(fleet, 3_000, 0.2)
        fleet.run(4_000)
    _fill(fleet, 6_000, 0.2)
    fleet.run(2_500)
    fleet.speed_by_id["e3"] = 0.4
    fleet.run(14_000)
    for _ in range(3):
        _fill(fleet, 3_000, 0.2)
        fleet.run(9_000)
    assert fleet.endpoint("e3").speed < 0.7
    assert fleet.classes(1.0).count(SpeedClass.SLOW) == 0


def test_tail_tasks_of_seven_times_the_work_make_no_endpoint_slow():
    # Guards against one long task speaking against its endpoint.
    fleet = Fleet((1.0,) * 12)
    for _ in range(4):
        for _ in range(2):
            fleet.submit(2_000, 0.2, count=12, request=HALF)
        tail = [f"j{fleet.job_number}.0.0.{n}" for n in range(3)]
        for task in tail:
            fleet.work_ms_by_task[task] *= 7
        fleet.run(3_500)
        assert SpeedClass.SLOW not in fleet.classes(1.0)
        fleet.run(12_000)
    assert SpeedClass.SLOW not in fleet.classes(1.0)


def test_a_replaced_endpoint_starts_at_the_prior():
    fleet = Fleet(UNEVEN * 4)
    for _ in range(3):
        _fill(fleet)
        fleet.run(6_000)
    name = next(n for n, s in fleet.speed_by_id.items() if s == 0.6)
    assert speed_class(fleet.endpoint(name)) is SpeedClass.SLOW
    fleet.harness.list(name, started_wall_ms=2)
    assert fleet.endpoint(name).speed == 1.0
    assert speed_class(fleet.endpoint(name)) is SpeedClass.USUAL


def test_beliefs_fade_while_an_endpoint_is_idle():
    fleet = Fleet(UNEVEN * 4)
    for _ in range(3):
        _fill(fleet)
        fleet.run(6_000)
    fleet.run(8_000)
    before = fleet.endpoint("e0").speed_error
    fleet.run(60_000)
    assert fleet.endpoint("e0").speed_error > 1.2 * before


def test_a_pause_of_the_scheduler_makes_no_endpoint_slow():
    # Guards against counting the time without listings as time at work.
    fleet = Fleet((1.0,) * 10)
    _fill(fleet, 6_000, 0.0)
    for _ in range(5):
        fleet.run(1_000)
        fleet.harness.now += 4_000  # Nothing was listed, nor worked meanwhile.
    assert set(fleet.classes(1.0)) == {SpeedClass.USUAL}


def test_a_task_that_hangs_says_nothing_of_its_endpoint():
    fleet = Fleet((1.0,) * 10)
    _fill(fleet, 6_000, 0.0)
    fleet.run(2_500)
    before = fleet.endpoint("e0").speed
    fleet.speed_by_id["e0"] = 0.0
    fleet.run(3_000)
    assert fleet.endpoint("e0").speed > before - 0.05


def test_a_gang_that_waits_for_a_member_tells_nothing_of_the_others():
    # Members progress only once all of them have started.
    harness = Harness(endpoints=2)
    harness.submit("g", count=2, request=LARGE, is_gang=True, estimate_ms=2_000)
    late = harness.starts.pop()
    (first,) = harness.accept_starts()
    for _ in range(3):
        harness.advance(1_000)
        harness.list(first.endpoint_id)
    harness.starts.append(late)
    harness.accept_starts()
    for percent in (25, 75):
        harness.advance(500 if percent == 25 else 1_000)
        for order in (first, late):
            harness.list(order.endpoint_id, percent={order.task: percent})
    for order in (first, late):
        endpoint = harness.scheduler.endpoint_by_id[order.endpoint_id]
        assert abs(endpoint.speed - 1) < 0.05
