"""Benchmarks of the control plane: time until in force, traffic and processor time.

Run ``python -m benchmarks.control --seed 1``; each line of output is a JSON object.
"""

from __future__ import annotations

import itertools
import json

from absl import app, flags

from .control_cost import measure_cost
from .control_in_force import measure_in_force
from .control_recovery import measure_recovery
from .control_sharing import measure_sharing
from .control_sockets import measure_sockets

_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random numbers.")


def main(argv: list[str]) -> None:
    """Print all measurements."""
    del argv
    seed = _SEED.value
    measures = (
        measure_in_force,
        measure_recovery,
        measure_sharing,
        measure_cost,
        measure_sockets,
    )
    for line in itertools.chain.from_iterable(m(seed) for m in measures):
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    app.run(main)
