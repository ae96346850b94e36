"""Endpoints are listed more often while a short urgent run is fresh."""

from dataclasses import replace

import pytest
import trio
from cluster import CONFIGURATION, QUEUE, make_instances, make_job, running, submit
from fakes import Platform

from ragwortshelf.core.scheduling import EndpointInfo, Resources

ESTIMATE_MS = 2_500
WINDOW_S = 1.2
"""Ends before a run is no longer fresh, at twice its stall timeout."""


async def _renewals_after_a_start(priority):
    queue = replace(QUEUE, priority=priority)
    info = EndpointInfo("e0", "pool", "e0", "dc", Resources(8000, 8000, 8))
    platform = Platform(replace(CONFIGURATION, queues=(queue,)), [info])
    (instance,) = make_instances(platform, 1)
    endpoint = platform.endpoint_by_id["e0"]
    endpoint.work_ms = 4 * ESTIMATE_MS
    job = make_job("a" * 16, count=1)
    step = replace(job.steps[0], estimate_ms=ESTIMATE_MS)
    async with running(instance):
        await trio.sleep(2)
        await submit(instance, replace(job, steps=(step,)))
        # The renewal that waits at the start is not cut short.
        await trio.sleep(1.1)
        assert endpoint.rows()
        before = len(endpoint.renewals)
        await trio.sleep(WINDOW_S)
        return len(endpoint.renewals) - before


@pytest.mark.parametrize(("priority", "renewals"), [(0, {3}), (1, {1, 2})])
async def test_an_endpoint_of_a_fresh_urgent_run_is_listed_every_400_ms(
    priority, renewals, autojump_clock
):
    # With listings a second apart, a hang was seen when the work should have been done.
    assert await _renewals_after_a_start(priority) in renewals
