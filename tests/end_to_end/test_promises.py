"""Guarantees under failures, over real processes and sockets.

Every wait is for a condition, with a generous deadline, so that the result does not
depend on the speed of the machine.
"""

import threading

LONG_RUNNING = '{"run_ms": 600000, "checkpoint_ms": 100}'


def running_leases(cluster, job_id):
    """Return attempt and accelerators of the job's running tasks, by worker."""
    return {
        worker: (lease["attempt"], tuple(lease["accelerators"]))
        for worker in cluster.deployment.address_by_worker
        for lease in cluster.worker_state(worker).get("leases", ())
        if lease["job_id"] == job_id
        and lease["is_live"]
        and lease["task_state"] == "running"
    }


def test_gangs_keep_running_when_their_placer_is_killed(cluster):
    job_id = cluster.submit(
        "south-a", accelerators=8, adjacency="rack", command=LONG_RUNNING
    )
    job = cluster.wait_phase("south-a", job_id, "started")
    home = job["home_data_centre"]
    other = "south" if home == "north" else "north"
    before = running_leases(cluster, job_id)
    assert len(before) == 2
    placer = cluster.placer_of(home, f"{other}-a")
    cluster.launcher.kill(placer)
    successor = cluster.launcher.wait_until(
        lambda: (
            name
            if (name := cluster.placer_of(home, f"{other}-a")) not in (placer, None)
            else None
        ),
        "a new placer",
    )
    status, _ = cluster.call(successor, "DELETE", f"/v1/jobs/{job_id}")
    assert status == 202
    ended = cluster.wait_phase(f"{other}-b", job_id, "interrupted")
    # The new placer stopped the attempt that the killed one had started.
    assert (ended["attempt"], ended["reason"]) == (1, "cancelled")
    assert not running_leases(cluster, job_id)


def test_loss_of_a_worker_stops_the_rest_of_its_gang(cluster):
    job_id = cluster.submit(
        "north-a", accelerators=8, adjacency="rack", command=LONG_RUNNING
    )
    cluster.wait_phase("north-a", job_id, "started")
    lost, surviving = sorted(running_leases(cluster, job_id))
    cluster.fault(cluster.deployment.address_by_worker[lost], reboot=True)
    job = cluster.wait_phase("south-a", job_id, "interrupted")
    assert job["reason"] == "worker_lost"
    cluster.launcher.wait_until(
        lambda: not running_leases(cluster, job_id), f"{surviving} to stop its part"
    )


def test_an_idempotent_job_restarts_after_its_worker_is_lost(cluster):
    job_id = cluster.submit(
        "north-a",
        accelerators=4,
        adjacency="worker",
        idempotent=True,
        checkpointable=True,
        command='{"run_ms": 2000, "checkpoint_ms": 100}',
    )
    cluster.wait_phase("north-a", job_id, "started")
    (lost,) = running_leases(cluster, job_id)
    cluster.fault(cluster.deployment.address_by_worker[lost], reboot=True)
    job = cluster.wait_phase("south-a", job_id, "completed")
    assert job["attempt"] >= 2


def test_a_guaranteed_shape_is_reclaimed_from_one_borrower(cluster):
    borrowers = [
        cluster.submit(
            "north-a",
            "loans",
            accelerators=4,
            adjacency="worker",
            idempotent=True,
            checkpointable=True,
            home_data_centre="north",
            command=LONG_RUNNING,
        )
        for _ in range(2)
    ]
    for job_id in borrowers:
        cluster.wait_phase("north-a", job_id, "started")
    owner = cluster.submit(
        "north-b",
        accelerators=4,
        adjacency="worker",
        priority="urgent",
        home_data_centre="north",
        command=LONG_RUNNING,
    )
    cluster.wait_phase("south-a", owner, "started")
    assert len(running_leases(cluster, owner)) == 1
    phases = {cluster.job("north-a", job_id)["phase"] for job_id in borrowers}
    assert "started" in phases, "the other borrower keeps running"


def test_jobs_without_capacity_at_home_move_to_another_data_centre(cluster):
    # One worker in north is guaranteed to no organisation, and two in south.
    jobs = [
        cluster.submit(
            "north-a", "loans", accelerators=4, adjacency="worker", command=LONG_RUNNING
        )
        for _ in range(3)
    ]
    homes = [
        cluster.wait_phase("north-b", job_id, "started")["home_data_centre"]
        for job_id in jobs
    ]
    assert sorted(homes) == ["north", "south", "south"]


def test_requests_and_placeable_jobs_are_served_during_a_log_outage(cluster):
    cluster.fault(cluster.deployment.log_address, outage=True)

    def submit():
        fields = {"accelerators": 1, "command": LONG_RUNNING}
        token = cluster.tokens["savings"]
        status, job = cluster.call("north-a", "POST", "/v1/jobs", fields, token=token)
        return job["job_id"] if status == 202 else None

    job_id = cluster.launcher.wait_until(submit, "a job to be accepted off the log")
    assert running_leases(cluster, job_id)
    status, answer = cluster.call("north-a", "POST", "/v1/requests", {})
    assert status == 403 or answer["outcome"] == "answered"
    fields = {"organisation": "loans"}
    _, answer = cluster.call("south-b", "POST", "/v1/requests", fields)
    assert answer["outcome"] == "answered"
    token = cluster.tokens["savings"]
    too_large = {"accelerators": 8, "adjacency": "rack"}
    status, refused = cluster.call(
        "north-a", "POST", "/v1/jobs", too_large, token=token
    )
    assert (status, refused["outcome"]) == (503, "not_run")
    cluster.fault(cluster.deployment.log_address)
    # The other data centre learns of the job once the log is available again.
    job = cluster.wait_phase("south-a", job_id, "started")
    assert job["attempt"] == 1
    assert len(running_leases(cluster, job_id)) == 1


def test_an_instance_started_during_a_log_outage_serves_requests(cluster):
    cluster.launcher.kill("south-b")
    cluster.fault(cluster.deployment.log_address, outage=True)
    cluster.start("south-b")
    cluster.launcher.wait_ready("south-b")
    _, configuration = cluster.call("south-b", "GET", "/v1/configuration")
    assert configuration["revision"] == 0
    fields = {"organisation": "loans"}
    answered = cluster.launcher.wait_until(
        lambda: (
            cluster.call("south-b", "POST", "/v1/requests", fields)[1].get("outcome")
            == "answered"
        ),
        "the new instance to serve",
    )
    assert answered


def test_a_leaving_endpoint_gets_no_new_requests(cluster):
    leaving = "north-m1"
    path = f"/members/{leaving}/state"
    list_address = cluster.deployment.list_address
    assert (
        cluster.call_address(list_address, "POST", path, {"state": "leaving"})[0] == 200
    )
    address = cluster.deployment.address_by_endpoint[leaving]

    def answer():
        fields = {"organisation": "loans"}
        return cluster.call("north-a", "POST", "/v1/requests", fields)[1]

    def runs():
        return sum(
            cluster.call_address(address, "GET", "/counters")[1]["runs_by_id"].values()
        )

    # Twenty requests in a row that avoid it show that the instance has seen the list.
    def is_avoided():
        before = runs()
        answers = [answer() for _ in range(20)]
        return all(a["outcome"] == "answered" for a in answers) and runs() == before

    cluster.launcher.wait_until(is_avoided, f"{leaving} to be avoided")
    before = runs()
    assert all(answer()["outcome"] == "answered" for _ in range(50))
    assert runs() == before


def test_silent_connections_are_replaced_without_failed_requests(cluster):
    fields = {"organisation": "loans", "idempotent": True, "class": "quick"}

    def answer():
        return cluster.call("north-a", "POST", "/v1/requests", fields)[1]

    for _ in range(12):
        assert answer()["outcome"] == "answered"
    for name in ("north-m1", "north-m2"):
        cluster.fault(cluster.deployment.address_by_endpoint[name], silent_open=True)
    for _ in range(12):
        assert answer()["outcome"] == "answered"


def test_a_request_is_not_run_again_after_its_owner_was_killed(cluster):
    reserved = cluster.call("north-a", "POST", "/v1/request-ids", {"count": 1})
    (request_id,) = reserved[1]["request_ids"]
    fields = {
        "request_id": request_id,
        "organisation": "loans",
        "timeout_ms": 5000,
        "headers": {"x-run-ms": "1000"},
    }
    first = threading.Thread(
        target=cluster.call, args=("north-a", "POST", "/v1/requests", fields)
    )
    first.start()
    cluster.launcher.wait_until(lambda: cluster.runs_of(request_id) == 1, "the run")
    cluster.launcher.kill("north-a")
    first.join()
    status, answer = cluster.call("south-a", "POST", "/v1/requests", fields)
    assert (status, answer["outcome"]) == (504, "unknown")
    assert cluster.runs_of(request_id) == 1


def test_sigterm_finishes_running_requests_and_exits_with_zero(cluster):
    answers = []
    fields = {"organisation": "loans", "headers": {"x-run-ms": "1500"}}
    reserved = cluster.call("north-a", "POST", "/v1/request-ids", {"count": 1})
    (fields["request_id"],) = reserved[1]["request_ids"]
    caller = threading.Thread(
        target=lambda: answers.append(
            cluster.call("north-a", "POST", "/v1/requests", fields)
        )
    )
    caller.start()
    cluster.launcher.wait_until(
        lambda: cluster.runs_of(fields["request_id"]) == 1, "the run"
    )
    assert cluster.launcher.terminate("north-a") == 0
    caller.join()
    status, answer = answers[0]
    assert (status, answer["outcome"]) == (200, "answered"), answer
    # The owner handed its outcomes over, so a repeat elsewhere gets the same answer.
    status, repeated = cluster.call("north-b", "POST", "/v1/requests", fields)
    assert (status, repeated.get("body")) == (200, answer["body"]), repeated
    assert cluster.runs_of(fields["request_id"]) == 1


def test_a_resumed_placer_does_not_interfere_with_its_successor(cluster):
    job_id = cluster.submit(
        "south-a", accelerators=4, adjacency="worker", command=LONG_RUNNING
    )
    job = cluster.wait_phase("south-a", job_id, "started")
    home = job["home_data_centre"]
    other = "south" if home == "north" else "north"
    placer = cluster.placer_of(home, f"{other}-a")
    cluster.launcher.pause(placer)
    cluster.launcher.wait_until(
        lambda: cluster.placer_of(home, f"{other}-a") not in (placer, None),
        "a new placer",
    )
    cluster.launcher.resume(placer)
    cluster.launcher.wait_ready(placer)
    status, _ = cluster.call(f"{other}-a", "DELETE", f"/v1/jobs/{job_id}")
    assert status == 202
    cluster.wait_phase(f"{other}-b", job_id, "interrupted")
    cluster.launcher.wait_until(
        lambda: not running_leases(cluster, job_id), "the tasks to stop"
    )


def test_a_second_process_of_an_instance_ends_the_first(cluster):
    first = cluster.launcher.process_by_name.pop("south-b")
    cluster.launcher.process_by_name["south-b-first"] = first
    spec = cluster.deployment.instance_process(
        "south-b",
        operator_tokens="operator-token-1",
        # The first process still listens on the instance's own addresses.
        api_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
    )
    cluster.launcher.start(spec)
    status = cluster.launcher.wait_until(
        lambda: first.poll() is not None and [first.returncode],
        "the first process to end",
    )
    assert status == [3]
