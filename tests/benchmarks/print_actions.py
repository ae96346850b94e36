"""Prints a digest of all actions of a simulated heavy day; run by ``test_fleet_load``.

The argument is the number of objects to allocate between the scheduler's, so that its
objects lie at other addresses in each run.
"""

import hashlib
import sys

from benchmarks.fleet_load import FleetDay, draw_arrivals
from ragwortshelf.core.scheduling import Scheduler

ENDPOINTS = 24
SECONDS = 20


class RecordingScheduler(Scheduler):
    """Adds every action to a digest, in order, and allocates objects in between."""

    objects_max = 0
    digest = hashlib.sha256()
    count = 0

    def take_actions(self):
        kept = [object() for _ in range(self.objects_max)]
        actions = super().take_actions()
        for action in actions:
            RecordingScheduler.count += 1
            self.digest.update(repr(action).encode())
        del kept[::2]
        self._kept = kept
        return actions


def main():
    RecordingScheduler.objects_max = int(sys.argv[1])
    arrivals = draw_arrivals(1, ENDPOINTS, SECONDS, 1.2)
    day = FleetDay(arrivals, ENDPOINTS, make_scheduler=RecordingScheduler)
    day.run(SECONDS + 10)
    print(RecordingScheduler.count, RecordingScheduler.digest.hexdigest())


if __name__ == "__main__":
    main()
