"""Time from the acceptance of a release note until it is in force on every instance.

Instances read the log in virtual time with the daemon's follower, wait times and
retries, and apply notes with the real fold. While an instance is cut off, a poll in
flight or newly started hangs until its timeout. During an outage of the log, polls fail
at once, and a note is accepted by the first attempt after the outage.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ragwortshelf.core.releases import Accepted, ReleaseState, fold
from ragwortshelf.core.streams import (
    RELEASES_STREAM,
    LogHealth,
    ReleaseSubmitted,
    StreamFollower,
    encode_record,
)
from ragwortshelf.daemon.streams_following import POLL_WAIT_MS

__all__ = ["measure_in_force"]

DAY_MS = 86_400_000
SIMULATED_MS = 4 * 3_600_000
POLL_TIMEOUT_MS = POLL_WAIT_MS + 5_000
LATENCY_MS = 1
SUBMIT_RETRY_MS = 1_000
BUDGET_MS = 20_000


@dataclass(frozen=True, slots=True)
class _Scenario:
    """The size of a deployment and its faults, as periods in milliseconds.

    During ``outage`` the log fails for everyone. During ``cut_off`` the instances of
    the first data centre do not reach it.
    """

    name: str
    data_centres: int
    instances_per_data_centre: int
    notes_a_day: int
    outage: range = range(0)
    cut_off: range = range(0)


HOUR_MS = 3_600_000
SCENARIOS = (
    _Scenario("today", 3, 2, 20),
    _Scenario("two_years", 6, 4, 640),
    _Scenario("two_years_outage", 6, 4, 640, outage=range(HOUR_MS, 2 * HOUR_MS)),
    _Scenario(
        "two_years_partition",
        6,
        4,
        640,
        cut_off=range(HOUR_MS, HOUR_MS + 600_000),
    ),
)


@dataclass(eq=False)
class _Instance:
    """One instance; ``pending_poll`` numbers the poll that waits for a new record."""

    data_centre: int
    health: LogHealth
    follower: StreamFollower = field(
        default_factory=lambda: StreamFollower(RELEASES_STREAM)
    )
    state: ReleaseState = field(default_factory=ReleaseState)
    pending_poll: int | None = None


class _Simulation:
    """Simulates one scenario in virtual time."""

    def __init__(self, scenario: _Scenario, seed: int):
        self.scenario = scenario
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.records: list[bytes] = []
        self.accepted_ms: list[int] = []
        self.delays_ms: list[int] = []
        self.delays_after_heal_ms: list[int] = []
        self.instances = [
            _Instance(data_centre, LogHealth(self.rng))
            for data_centre in range(scenario.data_centres)
            for _ in range(scenario.instances_per_data_centre)
        ]
        self._sequence = itertools.count()
        self._event_queue: list[tuple[int, int, Callable[[], None]]] = []

    def run(self) -> None:
        for instance in self.instances:
            self._after(self.rng.randrange(1_000), lambda i=instance: self._poll(i))
        mean_ms = DAY_MS / self.scenario.notes_a_day
        at_ms = self.rng.expovariate(1 / mean_ms)
        while at_ms < SIMULATED_MS:
            self._after(int(at_ms), self._submit)
            at_ms += self.rng.expovariate(1 / mean_ms)
        while self._event_queue and self.now_ms < SIMULATED_MS + HOUR_MS // 2:
            self.now_ms, _, action = heapq.heappop(self._event_queue)
            action()
        assert len({i.state.configuration.revision for i in self.instances}) == 1
        assert len(self.delays_ms) == len(self.records) * len(self.instances)

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        entry = (self.now_ms + delay_ms, next(self._sequence), action)
        heapq.heappush(self._event_queue, entry)

    def _is_cut(self, instance: _Instance) -> bool:
        return instance.data_centre == 0 and self.now_ms in self.scenario.cut_off

    def _submit(self) -> None:
        if self.now_ms in self.scenario.outage:
            self._after(SUBMIT_RETRY_MS, self._submit)
            return
        offset = len(self.records)
        kind = "changed" if offset else "added"
        note = {
            "note_id": f"n{offset}",
            "against_revision": offset - 1,
            "author": "operator",
            "rules": {kind: {"retry_budget": 1 + offset % 10}},
        }
        record = ReleaseSubmitted(f"n{offset}", "operator", json.dumps(note), 0)
        self.records.append(encode_record(record))
        self.accepted_ms.append(self.now_ms)
        for instance in self.instances:
            if instance.pending_poll is not None and not self._is_cut(instance):
                self._answer(instance, instance.pending_poll)

    def _poll(self, instance: _Instance) -> None:
        if self._is_cut(instance):
            self._after(POLL_TIMEOUT_MS, lambda: self._fail(instance))
        elif self.now_ms in self.scenario.outage:
            self._after(2 * LATENCY_MS, lambda: self._fail(instance))
        elif instance.follower.next_offset < len(self.records):
            self._answer(instance, None)
        else:
            number = next(self._sequence)
            instance.pending_poll = number
            self._after(POLL_WAIT_MS, lambda: self._answer(instance, number))

    def _answer(self, instance: _Instance, poll: int | None) -> None:
        """Answer a poll; None stands for one that did not have to wait.

        Nothing happens if the poll was answered before.
        """
        if poll is not None and instance.pending_poll != poll:
            return
        instance.pending_poll = None
        if self._is_cut(instance):
            remaining_ms = POLL_TIMEOUT_MS - POLL_WAIT_MS
            self._after(remaining_ms, lambda: self._fail(instance))
            return
        instance.health.on_answer()
        self._after(2 * LATENCY_MS, lambda: self._apply(instance))

    def _apply(self, instance: _Instance) -> None:
        start = instance.follower.next_offset
        page = tuple(self.records[start:])
        for delivery in instance.follower.deliver(start, page, len(self.records)):
            offset = delivery.offset
            instance.state, result = fold(instance.state, offset, delivery.record)
            assert result == Accepted(offset), result
            self.delays_ms.append(self.now_ms - self.accepted_ms[offset])
            healed_ms = self.scenario.cut_off.stop
            if instance.data_centre == 0 and self.accepted_ms[offset] in (
                self.scenario.cut_off
            ):
                self.delays_after_heal_ms.append(self.now_ms - healed_ms)
        self._poll(instance)

    def _fail(self, instance: _Instance) -> None:
        instance.health.on_failure(self.now_ms)
        wait_ms = instance.health.retry_delay_ms()
        self._after(wait_ms, lambda: self._poll(instance))


def measure_in_force(seed: int) -> Iterator[dict]:
    """Yield the percentiles of the time until in force for each scenario.

    In a scenario with a cut, the budget is compared only with the times of instances
    that were cut off, for the notes accepted meanwhile, from the end of the cut.
    """
    for scenario in SCENARIOS:
        simulation = _Simulation(scenario, seed)
        simulation.run()
        line = {
            "measure": "time_to_in_force",
            "scenario": scenario.name,
            "instances": len(simulation.instances),
            "notes": len(simulation.records),
            **_percentiles(simulation.delays_ms),
        }
        if simulation.delays_after_heal_ms:
            healed = _percentiles(simulation.delays_after_heal_ms)
            line |= {f"after_heal_{key}": value for key, value in healed.items()}
            line["is_within_budget"] = max(simulation.delays_after_heal_ms) <= BUDGET_MS
        else:
            line["is_within_budget"] = max(simulation.delays_ms) <= BUDGET_MS
        yield line


def _percentiles(values: list[int]) -> dict[str, int]:
    ordered = sorted(values)
    return {
        "p50_ms": ordered[len(ordered) // 2],
        "p99_ms": ordered[int((len(ordered) - 1) * 0.99)],
        "max_ms": ordered[-1],
    }
