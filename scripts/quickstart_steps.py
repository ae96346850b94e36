"""Runs a job end to end on the stand-ins and prints each step with its result."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from ragwortshelf.standins.deployment import Deployment  # noqa: E402
from ragwortshelf.standins.launcher import Launcher  # noqa: E402

DEPLOYMENT = ROOT / "deployments" / "agency"
OPERATOR_TOKEN = "quickstart-operator-token"
CALLER_TOKEN = "quickstart-postings-token"
USAGE_TIMEOUT_S = 20.0
# Both in accelerator milliseconds. The charge may be lower than expected, since each of
# up to 8 workers rounds each report to whole milliseconds per accelerator.
EXPECTED_CHARGE_MS = 32 * 1500
ROUNDING_TOLERANCE_MS = 2 * 32


class Steps:
    """Runs commands of the command-line tool and prints each as a numbered step."""

    def __init__(self, launcher: Launcher):
        self._launcher = launcher
        addresses = launcher.deployment.api_address_by_instance.values()
        self._servers = list(addresses)
        self._number = 0

    def run(self, title: str, *words: str, token: str = CALLER_TOKEN, at: int = 0):
        """Run a command at instance number ``at``, from 0, and print its output."""
        self._number += 1
        print(f"\n{self._number}. {title}")
        print(f"   $ ragwortshelf {' '.join(words)}")
        result = self._command(words, token, at)
        for line in (result.stdout + result.stderr).splitlines():
            print(f"   {line}")
        if result.returncode != 0:
            sys.exit(f"step {self._number} failed with status {result.returncode}")

    def query(self, *words: str, token: str = CALLER_TOKEN) -> dict:
        """Run a command without printing it and return its JSON output."""
        return json.loads(self._command((*words, "--json"), token, 0).stdout)

    def _command(self, words, token: str, at: int) -> subprocess.CompletedProcess:
        server = self._servers[at % len(self._servers)]
        arguments = [f"--servers={server}", f"--token={token}"]
        return subprocess.run(
            [sys.executable, "-m", "ragwortshelf.cli.main", *words, *arguments],
            capture_output=True,
            text=True,
            cwd=ROOT,
        )


def main() -> None:
    """Start the deployment, run the job, and stop all processes."""
    started_s = time.monotonic()
    deployment = Deployment.load(DEPLOYMENT / "deployment.toml")
    with (
        tempfile.TemporaryDirectory() as directory,
        Launcher(deployment, Path(directory)) as launcher,
    ):
        print("0. start the stand-ins of the platform and 6 instances")
        launcher.start_platform()
        for name in deployment.api_address_by_instance:
            launcher.start_instance(
                name,
                operator_tokens=OPERATOR_TOKEN,
                organisation_tokens=f"postings={CALLER_TOKEN}",
            )
        for name in deployment.api_address_by_instance:
            launcher.wait_live(name)
        print(f"   all live after {time.monotonic() - started_s:.1f} s")
        _main_job(Steps(launcher), launcher)
        _show_decisions(launcher)
        name = next(iter(deployment.api_address_by_instance))
        print(f"\nstop {name} with SIGTERM: exit status {launcher.terminate(name)}")
    print(f"done in {time.monotonic() - started_s:.1f} s")


def _main_job(steps: Steps, launcher: Launcher) -> None:
    note = str((DEPLOYMENT / "release.toml").relative_to(ROOT))
    operator = OPERATOR_TOKEN
    steps.run("check the release note", "release", "check", note, token=operator)
    steps.run("apply it", "release", "apply", note, token=operator)
    launcher.wait_until(
        lambda: _is_in_force_everywhere(steps), "the release to be in force"
    )
    steps.run("see it in force everywhere", "release", "status", token=operator, at=3)
    steps.run(
        "submit a gang job of 32 accelerators in one rack",
        *("job", "submit", "--accelerators=32", "--adjacency=rack", "--tasks=32"),
        *("--job_key=overnight-1", '--command={"run_ms": 1500}'),
    )
    job = "postings.key.overnight-1"
    steps.run("wait for it at another instance", "job", "wait", job, at=5)
    steps.run("see why it ran where it ran", "explain", job)
    steps.run(
        "send a request to an endpoint",
        *("request", "send", "/balance", "--body=hello", "--header=x-run-ms=20"),
        at=4,
    )
    launcher.wait_until(
        lambda: _charge(steps) >= EXPECTED_CHARGE_MS - ROUNDING_TOLERANCE_MS,
        "the charge",
        timeout_s=USAGE_TIMEOUT_S,
    )
    steps.run("see the charge", "organisation", "usage", "postings")
    steps.run("list the instances", "instance", "list", token=operator)


def _is_in_force_everywhere(steps: Steps) -> bool:
    status = steps.query("release", "status", token=OPERATOR_TOKEN)
    return all(row["revision"] == 0 for row in status["instances"])


def _charge(steps: Steps) -> int:
    return steps.query("organisation", "usage", "postings")["ran_accelerator_ms"]


def _show_decisions(launcher: Launcher) -> None:
    print("\nthe decision log of the instances:")
    for name in launcher.deployment.api_address_by_instance:
        for line in launcher.output(name).splitlines():
            if '"decision"' in line:
                decision = json.loads(line)["decision"]
                print(
                    f"   {name}: {decision['kind']} {decision['subject']} -> "
                    f"{decision['choice']}: {decision['reason']}"
                )


if __name__ == "__main__":
    main()
