"""Endpoints without admission control that shrink while orders are on their way."""

from dataclasses import replace

import pytest
import trio
from cluster import (
    CONFIGURATION,
    faults_of,
    make_instances,
    make_job,
    make_platform,
    running,
    state_of,
    submit,
)

from ragwortshelf.core.scheduling import JobState, Resources
from ragwortshelf.core.scheduling.configuration import EndpointService

HALF = Resources(4_000, 4_000, 4)
GPUS_PER_TASK = 2


def _make_platform():
    platform = make_platform(1)
    service = EndpointService("pool", has_admission_control=False)
    platform.configuration = replace(CONFIGURATION, service_by_name={"pool": service})
    return platform


# The failure: decisions waited for the log, and were carried out when it answered again
# on an endpoint that had shrunk meanwhile.
@pytest.mark.parametrize("outage", ["append_lost", "silent", "busy"])
async def test_orders_held_up_by_the_log_keep_to_the_shrunk_capacity(
    autojump_clock, outage
):
    platform = _make_platform()
    instance = make_instances(platform, 1)[0]
    endpoint = platform.endpoint_by_id["e0"]
    async with running(instance):
        await trio.sleep(1)
        await submit(instance, make_job("a" * 16, count=4))
        await trio.sleep(0.2)
        await submit(instance, make_job("b" * 16, count=4))
        faults_of(instance).store = outage
        # The first job ends, and the second is placed while the log is away.
        await trio.sleep(3)
        assert not endpoint.running
        platform.resize("e0", HALF)
        await trio.sleep(1)
        faults_of(instance).store = ""
        most = 0
        for _ in range(1_000):
            await trio.sleep(0.01)
            most = max(most, len(endpoint.running) * GPUS_PER_TASK)
        assert most == HALF.gpus
        assert await state_of(instance, "b" * 16) is JobState.COMPLETED
