"""Limits of requests and connections by memory and descriptors."""

import pytest
from platform_adapter.process_limits import ProcessLimits


def test_the_smallest_machine_has_room_for_its_clients():
    limits = ProcessLimits(memory_mb=160, max_fds=1_638)
    assert limits.requests_bytes == 20_000_000
    assert limits.sockets == 1_438
    assert limits.callers.connections == 287
    assert limits.readiness.connections == 32
    assert limits.metrics.connections == 16
    assert limits.endpoint_connections == 1_071


def test_large_machines_have_no_more_callers_than_one_process_serves():
    limits = ProcessLimits(memory_mb=4_000, max_fds=1_000_000)
    assert limits.callers.connections == 3_000
    assert limits.readiness.connections == 32
    assert limits.metrics.connections == 16


@pytest.mark.parametrize("max_fds", [0.5, 1, 2, 20, 200, 300, 1_024])
@pytest.mark.parametrize("memory_mb", [0.1, 8, 80])
def test_small_machines_have_room_for_one_request_and_for_files(memory_mb, max_fds):
    limits = ProcessLimits(memory_mb=memory_mb, max_fds=max_fds)
    servers = (limits.callers, limits.readiness, limits.metrics)
    connections = sum(server.connections for server in servers)
    assert all(server.connections >= 1 for server in servers)
    assert connections <= max(3, limits.sockets // 2)
    assert 1 <= limits.endpoint_connections <= max(1, limits.sockets - connections)
    assert max_fds - limits.sockets >= min(200, max_fds / 2)
    # Large requests may pin three quarters of the budget.
    assert limits.requests_bytes * 3 / 4 > limits.callers.body_bytes * 2


def test_requests_without_a_body_may_have_next_to_none():
    limits = ProcessLimits()
    assert limits.callers.body_bytes == 1024 * 1024
    assert limits.readiness.body_bytes == limits.metrics.body_bytes == 1024
