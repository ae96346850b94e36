"""Virtual clock, and fake endpoints with the faults of the benchmark."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from ragwortshelf.core.model import Answered, Unreachable
from ragwortshelf.core.requests import NotSentToEndpoint

from .workload import SLOTS, Arrival

__all__ = ["Clock", "Connection", "FakeEndpoint", "ENDPOINT_LATENCY_MS"]

ENDPOINT_LATENCY_MS = 1
SUCCESS = Answered(200, (), b"")
FAILURE = Answered(500, (), b"")


class Clock:
    """A virtual clock in milliseconds, with a queue of scheduled calls."""

    def __init__(self):
        self.now_ms = 0
        self._calls = []
        self._sequence = itertools.count()

    def at(self, when_ms: int, function: Callable, *args) -> None:
        """Schedule a call; calls for the same time run in the order of scheduling."""
        heapq.heappush(self._calls, (when_ms, next(self._sequence), function, args))

    def run(self, until_ms: int) -> None:
        """Advance to ``until_ms``, carrying out all calls that are due."""
        while self._calls and self._calls[0][0] <= until_ms:
            self.now_ms, _, function, args = heapq.heappop(self._calls)
            function(*args)
        self.now_ms = until_ms


class Connection:
    """A connection of an instance to an endpoint; ``request_id`` is None if idle."""

    __slots__ = ("answered_ms", "opened_ms", "request_id", "sent_ms")

    def __init__(self, now_ms: int):
        self.opened_ms = now_ms
        self.answered_ms = None
        self.request_id = None
        self.sent_ms = now_ms


class FakeEndpoint:
    """Runs up to `SLOTS` requests at once, and refuses more as not run.

    While ``is_failing`` is set, all requests fail. Connections that were opened before
    ``silent_opened_before_ms`` get no answers.
    """

    def __init__(self, clock: Clock, name: str):
        self.name = name
        self.is_failing = False
        self.silent_opened_before_ms = -1
        self.running = 0
        self.running_max = 0
        self.busy_ms = 0
        self._clock = clock

    def receive(
        self, arrival: Arrival, connection: Connection, reply: Callable
    ) -> None:
        """Handle a request; the answer goes to ``reply(connection, result)``."""
        if connection.opened_ms < self.silent_opened_before_ms:
            return
        if self.is_failing:
            self._answer(connection, reply, FAILURE)
        elif self.running >= SLOTS:
            refusal = NotSentToEndpoint("full", is_refusal=True)
            self._answer(connection, reply, refusal)
        else:
            self.running += 1
            self.running_max = max(self.running_max, self.running)
            done_ms = self._clock.now_ms + arrival.run_ms
            self._clock.at(done_ms, self._end, arrival, connection, reply)

    def _end(self, arrival, connection, reply) -> None:
        self.running -= 1
        self.busy_ms += arrival.run_ms
        result = Unreachable("failed") if self.is_failing else SUCCESS
        if connection.opened_ms >= self.silent_opened_before_ms:
            self._answer(connection, reply, result)

    def _answer(self, connection, reply, result) -> None:
        self._clock.at(
            self._clock.now_ms + ENDPOINT_LATENCY_MS, reply, connection, result
        )
