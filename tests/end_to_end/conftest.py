"""A deployment of real processes: two data centres with two instances each."""

from types import MappingProxyType

import pytest

from ragwortshelf.standins.deployment import Deployment
from ragwortshelf.standins.launcher import Launcher, call, free_ports

OPERATOR = "operator-token-1"
TOKENS = {"savings": "savings-token-01", "loans": "loans-token-0001"}
DATA_CENTRES = ("north", "south")
_FIELDS = {
    "name": "test",
    "worker": {"accelerators": 4},
    "endpoint": {"slots": 4, "connections": 16},
    "data_centres": {
        name: {
            "region": "land",
            "instances": [f"{name}-a", f"{name}-b"],
            "endpoints": [f"{name}-m1", f"{name}-m2"],
            "racks": {f"{name}-r1": [f"{name}-w1", f"{name}-w2"]},
        }
        for name in DATA_CENTRES
    },
}
NOTE = (
    """
note_id = "first"
against_revision = -1
author = "ayse"

[rules.added]
reclaim_grace_ms = 500
"""
    + "".join(
        f"""
[data_centres.added.{name}]
region = "land"
[[data_centres.added.{name}.racks]]
name = "{name}-r1"
workers = ["{name}-w1", "{name}-w2"]
accelerators_per_worker = 4
"""
        for name in DATA_CENTRES
    )
    + """
[organisations.added.savings]
home_region = "land"
[[organisations.added.savings.guarantees]]
data_centre = "north"
accelerators = 4
adjacency = "worker"

[organisations.added.loans]
home_region = "land"
"""
)


class Cluster:
    """A running deployment, called as an operator or as an organisation."""

    tokens = MappingProxyType(TOKENS)

    def __init__(self, launcher: Launcher):
        self.launcher = launcher
        self.deployment = launcher.deployment

    def call(self, instance, method, path, fields=None, token=OPERATOR):
        address = self.deployment.api_address_by_instance[instance]
        return call(address, method, path, fields, token=token)

    def call_address(self, address, method, path, fields=None):
        """Call a stand-in at its address."""
        return call(address, method, path, fields)

    def start(self, *instances):
        for name in instances:
            self.launcher.start_instance(
                name,
                operator_tokens=OPERATOR,
                organisation_tokens=",".join(f"{o}={t}" for o, t in TOKENS.items()),
                drain_deadline_ms="20000",
            )

    def fault(self, address, **faults):
        assert call(address, "POST", "/faults", faults)[0] == 200

    def worker_state(self, worker):
        return call(self.deployment.address_by_worker[worker], "GET", "/state")[1]

    def runs_of(self, request_id):
        """Return how often all endpoints together ran a request."""
        return sum(
            call(address, "GET", "/counters")[1]["runs_by_id"].get(request_id, 0)
            for address in self.deployment.address_by_endpoint.values()
        )

    def submit(self, instance, organisation="savings", **fields):
        """Submit a job, check that it is accepted, and return its id."""
        status, job = self.call(
            instance, "POST", "/v1/jobs", fields, token=TOKENS[organisation]
        )
        assert status == 202, job
        return job["job_id"]

    def job(self, instance, job_id, wait_ms=0):
        path = f"/v1/jobs/{job_id}?wait_ms={wait_ms}"
        return self.call(instance, "GET", path)[1]

    def wait_phase(self, instance, job_id, *phases):
        """Wait until the job is in one of the phases, and return the job."""

        def current_job():
            job = self.job(instance, job_id)
            return job if job.get("phase") in phases else None

        return self.launcher.wait_until(current_job, f"{job_id} to be {phases}")

    def placer_of(self, data_centre, seen_from):
        _, answer = self.call(seen_from, "GET", "/v1/instances")
        for row in answer.get("instances", ()):
            if row["data_centre"] == data_centre and row["is_placer"]:
                return row["name"]
        return None


@pytest.fixture
def cluster(tmp_path):
    """A cluster with all processes ready and the first release note in force."""
    deployment = Deployment(_FIELDS, ports=free_ports(20))
    with Launcher(deployment, tmp_path) as launcher:
        cluster = Cluster(launcher)
        launcher.start_platform()
        names = list(deployment.api_address_by_instance)
        cluster.start(*names)
        for name in names:
            launcher.wait_live(name)
        # Without a configuration no instance is ready.
        assert cluster.call(names[0], "GET", "/readyz")[0] == 503
        status, verdict = cluster.call(
            names[0], "POST", "/v1/releases", {"note": NOTE, "format": "toml"}
        )
        assert (status, verdict["verdict"]) == (200, "accepted")
        for name in names:
            launcher.wait_ready(name)
        launcher.wait_until(
            lambda: all(
                cluster.placer_of(data_centre, name)
                for data_centre in DATA_CENTRES
                for name in names
            ),
            "a placer in each data centre",
        )
        yield cluster
