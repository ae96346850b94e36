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

flags.DEFINE_integer("seed", None, "Seed; one of the clock without.")
flags.DEFINE_float("seconds", 20.0, "How long faults are injected.", lower_bound=1)
flags.DEFINE_integer("instances", 4, "Processes of the daemon.", 1, 200)
flags.DEFINE_integer("endpoints", 8, "Stand-ins of endpoints.", 1, 200)
flags.DEFINE_string("logs", None, "Where logs are kept if a promise is broken.")


def main(_) -> int:
    """Run one seed; the exit status is 1 if a promise was broken."""
    seed = FLAGS.seed if FLAGS.seed is not None else time.time_ns() % 1_000_000
    directory = Path(tempfile.mkdtemp(prefix="soak-"))
    verdict = trio.run(
        run_soak, seed, FLAGS.seconds, FLAGS.instances, FLAGS.endpoints, directory
    )
    print(
        f"seed {seed}: {verdict.jobs} jobs, {verdict.accepted} accepted, "
        f"{verdict.runs} runs, {len(verdict.injected)} faults injected: "
        f"{len(verdict.faults)} promises broken"
    )
    for fault in verdict.faults:
        print(f"  {fault}")
    if not verdict.faults:
        shutil.rmtree(directory)
        return 0
    kept = Path(FLAGS.logs or directory)
    if kept != directory:
        shutil.move(directory, kept)
    (kept / "faults.txt").write_text("\n".join(verdict.injected) + "\n")
    print(f"  logs: {kept}")
    return 1


if __name__ == "__main__":
    app.run(lambda arguments: sys.exit(main(arguments)))
