"""The main job over real processes and sockets."""

LONG = '{"run_ms": 600000, "checkpoint_ms": 100}'


def test_a_gang_job_and_a_request_from_end_to_end(cluster):
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
    # The same id at another instance gets the same answer and runs nothing again.
    status, again = cluster.call(
        "north-b", "POST", "/v1/requests", fields, token=cluster.tokens["loans"]
    )
    assert (status, again.get("body")) == (200, answer["body"]), again
    assert cluster.runs_of(request_id) == 1
    path = "/v1/organisations/savings/usage"

    def charge():
        return cluster.call("north-b", "GET", path)[1]["charged_accelerator_ms"]

    # Eight accelerators for 300 ms, each of two workers rounding to milliseconds.
    expected, rounding = 8 * 300, 8
    cluster.launcher.wait_until(
        lambda: charge() >= expected - rounding, "the whole charge"
    )
    assert charge() <= expected + rounding
    decisions = [
        cluster.launcher.output(name)
        for name in cluster.deployment.api_address_by_instance
    ]
    assert any(job_id in text and "place_job" in text for text in decisions)


def test_callers_see_only_what_is_theirs(cluster):
    job_id = cluster.submit("north-a", accelerators=1, command=LONG)
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
    _, seen = cluster.call("south-b", "GET", "/v1/organisations", token=loans)
    assert [row["name"] for row in seen["organisations"]] == ["loans"]
    cancelled = cluster.call("south-a", "DELETE", path, token=cluster.tokens["savings"])
    assert cancelled[0] == 202
    job = cluster.wait_phase("north-b", job_id, "not_run", "interrupted")
    assert job["reason"] == "cancelled"
