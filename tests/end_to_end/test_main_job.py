"""Jobs and requests from submission to charge, over real processes and sockets."""

LONG_RUNNING = '{"run_ms": 600000, "checkpoint_ms": 100}'


def test_a_gang_job_and_a_request_complete_end_to_end(cluster):
    job_id = cluster.submit(
        "north-a",
        accelerators=8,
        adjacency="rack",
        tasks=4,
        command='{"run_ms": 300}',
    )
    job = cluster.job("south-b", job_id, wait_ms=30_000)
    assert (job["phase"], job["reason"]) == ("completed", "task_succeeded")
    reserved = cluster.call("south-a", "POST", "/v1/request-ids", {"count": 1})
    (request_id,) = reserved[1]["request_ids"]
    fields = {"request_id": request_id, "headers": {"x-run-ms": "10"}}
    status, answer = cluster.call(
        "south-a", "POST", "/v1/requests", fields, token=cluster.tokens["loans"]
    )
    assert (status, answer["outcome"], answer["status"]) == (200, "answered", 200)
    # Repeated at another instance, it gets the same answer and is not run again.
    status, repeated = cluster.call(
        "north-b", "POST", "/v1/requests", fields, token=cluster.tokens["loans"]
    )
    assert (status, repeated.get("body")) == (200, answer["body"]), repeated
    assert cluster.runs_of(request_id) == 1
    path = "/v1/organisations/savings/usage"

    def charge():
        return cluster.call("north-b", "GET", path)[1]["charged_accelerator_ms"]

    # Eight accelerators for 300 ms; each of two workers rounds to milliseconds.
    expected, rounding = 8 * 300, 8
    cluster.launcher.wait_until(
        lambda: charge() >= expected - rounding, "the whole charge"
    )
    assert charge() <= expected + rounding
    outputs = [
        cluster.launcher.output(name)
        for name in cluster.deployment.api_address_by_instance
    ]
    assert any(job_id in text and "place_job" in text for text in outputs)


def test_callers_access_only_their_organisations_jobs(cluster):
    job_id = cluster.submit("north-a", accelerators=1, command=LONG_RUNNING)
    path = f"/v1/jobs/{job_id}"
    loans = cluster.tokens["loans"]
    assert cluster.call("north-a", "GET", path, token=loans)[0] == 404
    assert cluster.call("north-a", "DELETE", path, token=loans)[0] == 404
    assert cluster.call("north-a", "GET", "/v1/workers", token=loans)[0] == 403
    assert cluster.call("north-a", "GET", path, token="wrong")[0] == 401
    cluster.wait_phase("south-a", job_id, "started")
    _, workers = cluster.call("north-a", "GET", "/v1/workers")
    assert sorted(row["name"] for row in workers["workers"]) == sorted(
        cluster.deployment.address_by_worker
    )
    assert sum(row["free"] for row in workers["workers"]) == 15
    _, visible = cluster.call("south-b", "GET", "/v1/organisations", token=loans)
    assert [row["name"] for row in visible["organisations"]] == ["loans"]
    cancelled = cluster.call("south-a", "DELETE", path, token=cluster.tokens["savings"])
    assert cancelled[0] == 202
    job = cluster.wait_phase("north-b", job_id, "not_run", "interrupted")
    assert job["reason"] == "cancelled"
