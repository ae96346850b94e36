"""Command line of the soak."""

from __future__ import annotations

import shutil
import sys
import tempfile
import time
from pathlib import Path

import trio
from absl import app, flags

from .run import run_soak

FLAGS = flags.FLAGS

flags.DEFINE_integer("seed", None, "Seed; taken from the clock if not given.")
flags.DEFINE_float(
    "seconds", 20.0, "Seconds during which faults are injected.", lower_bound=1
)
flags.DEFINE_integer("instances", 4, "Number of daemon processes.", 1, 200)
flags.DEFINE_integer("endpoints", 8, "Number of endpoint stand-ins.", 1, 200)
flags.DEFINE_string("logs", None, "Directory for the logs if a guarantee is violated.")


def main(_) -> int:
    """Run one seed and return the exit status, 1 if a guarantee was violated."""
    seed = FLAGS.seed if FLAGS.seed is not None else time.time_ns() % 1_000_000
    directory = Path(tempfile.mkdtemp(prefix="soak-"))
    result = trio.run(
        run_soak, seed, FLAGS.seconds, FLAGS.instances, FLAGS.endpoints, directory
    )
    print(
        f"seed {seed}: {result.jobs} jobs, {result.accepted} accepted, "
        f"{result.runs} runs, {len(result.injected_faults)} faults injected: "
        f"{len(result.violations)} violations"
    )
    for violation in result.violations:
        print(f"  {violation}")
    if not result.violations:
        shutil.rmtree(directory)
        return 0
    log_directory = Path(FLAGS.logs or directory)
    if log_directory != directory:
        shutil.move(directory, log_directory)
    (log_directory / "faults.txt").write_text("\n".join(result.injected_faults) + "\n")
    print(f"  logs: {log_directory}")
    return 1


if __name__ == "__main__":
    app.run(lambda arguments: sys.exit(main(arguments)))
