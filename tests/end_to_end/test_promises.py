"""The promises under failure, over real processes and sockets.

Every wait is for a condition with a generous deadline, so that the verdict does not
depend on how fast the machine is.
"""

import threading

LONG = '{"run_ms": 600000, "checkpoint_ms": 100}'


def running_leases(cluster, job_id):
    """Workers on which tasks of the job run now, with attempts and accelerators."""
    return {
        worker: (lease["attempt"], tuple(lease["accelerators"]))
        for worker in cluster.deployment.address_by_worker
        for lease in cluster.worker_state(worker).get("leases", ())
        if lease["job_id"] == job_id
        and lease["is_live"]
        and lease["task_state"] == "running"
    }


def test_a_killed_placer_leaves_its_gangs_running_untouched(cluster):
    job_id = cluster.submit("south-a", accelerators=8, adjacency="rack", command=LONG)
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
    # The new placer stopped the very attempt that the dead one had started.
    assert (ended["attempt"], ended["reason"]) == (1, "cancelled")
    assert not running_leases(cluster, job_id)


def test_a_lost_worker_stops_the_rest_of_the_gang(cluster):
    job_id = cluster.submit("north-a", accelerators=8, adjacency="rack", command=LONG)
    cluster.wait_phase("north-a", job_id, "started")
    lost, kept = sorted(running_leases(cluster, job_id))
    cluster.fault(cluster.deployment.address_by_worker[lost], reboot=True)
    job = cluster.wait_phase("south-a", job_id, "interrupted")
    assert job["reason"] == "worker_lost"
    cluster.launcher.wait_until(
        lambda: not running_leases(cluster, job_id), f"{kept} to stop its part"
    )


def test_an_idempotent_job_goes_on_after_its_worker_is_lost(cluster):
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


def test_a_guaranteed_shape_is_reclaimed_from_borrowers(cluster):
    borrowers = [
        cluster.submit(
            "north-a",
            "loans",
            accelerators=4,
            adjacency="worker",
            idempotent=True,
            checkpointable=True,
            home_data_centre="north",
            command=LONG,
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
        command=LONG,
    )
    cluster.wait_phase("south-a", owner, "started")
    assert len(running_leases(cluster, owner)) == 1
    phases = {cluster.job("north-a", job_id)["phase"] for job_id in borrowers}
    assert "started" in phases, "the other borrower goes on"


def test_jobs_that_find_no_room_at_home_move_to_where_they_can_start(cluster):
    # North has one worker that is promised to nobody, and south has two.
    jobs = [
        cluster.submit(
            "north-a", "loans", accelerators=4, adjacency="worker", command=LONG
        )
        for _ in range(3)
    ]
    homes = [
        cluster.wait_phase("north-b", job_id, "started")["home_data_centre"]
        for job_id in jobs
    ]
    assert sorted(homes) == ["north", "south", "south"]


def test_the_log_being_down_stops_neither_requests_nor_placeable_jobs(cluster):
    cluster.fault(cluster.deployment.log_address, outage=True)

    def submit():
        fields = {"accelerators": 1, "command": LONG}
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
    # Another data centre learns of the job once the log is back.
    job = cluster.wait_phase("south-a", job_id, "started")
    assert job["attempt"] == 1
    assert len(running_leases(cluster, job_id)) == 1


def test_an_instance_that_starts_while_the_log_is_down_serves(cluster):
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
        "the fresh instance to serve",
    )
    assert answered


def test_a_leaving_endpoint_gets_nothing_new(cluster):
    leaving = "north-m1"
    path = f"/members/{leaving}/state"
    from_list = cluster.deployment.list_address
    assert cluster.call_address(from_list, "POST", path, {"state": "leaving"})[0] == 200
    address = cluster.deployment.address_by_endpoint[leaving]

    def answer():
        fields = {"organisation": "loans"}
        return cluster.call("north-a", "POST", "/v1/requests", fields)[1]

    def runs():
        return sum(
            cluster.call_address(address, "GET", "/counters")[1]["runs_by_id"].values()
        )

    # The instances have seen the list once twenty requests in a row passed it over.
    def is_passed_over():
        before = runs()
        answers = [answer() for _ in range(20)]
        return all(a["outcome"] == "answered" for a in answers) and runs() == before

    cluster.launcher.wait_until(is_passed_over, f"{leaving} to be passed over")
    before = runs()
    assert all(answer()["outcome"] == "answered" for _ in range(50))
    assert runs() == before


def test_silent_connections_are_replaced_while_the_endpoint_stays(cluster):
    fields = {"organisation": "loans", "idempotent": True, "class": "quick"}

    def answer():
        return cluster.call("north-a", "POST", "/v1/requests", fields)[1]

    for _ in range(12):
        assert answer()["outcome"] == "answered"
    for name in ("north-m1", "north-m2"):
        cluster.fault(cluster.deployment.address_by_endpoint[name], silent_open=True)
    for _ in range(12):
        assert answer()["outcome"] == "answered"


def test_a_killed_owner_never_leads_to_a_second_run(cluster):
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


def test_sigterm_finishes_what_runs_and_exits_with_zero(cluster):
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
    # What the owner knew was handed over: a repeat elsewhere gets the same answer.
    status, again = cluster.call("north-b", "POST", "/v1/requests", fields)
    assert (status, again.get("body")) == (200, answer["body"]), again
    assert cluster.runs_of(fields["request_id"]) == 1


def test_a_paused_placer_that_wakes_up_changes_nothing(cluster):
    job_id = cluster.submit("south-a", accelerators=4, adjacency="worker", command=LONG)
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


def test_a_second_process_under_one_name_ends_the_first(cluster):
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
