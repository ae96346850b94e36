"""Instances on the slowest link catch up with the store after outages of the link."""

import pytest
import trio
from platform_adapter.adapter import JOB_TOPIC, OPERATOR_TOPIC
from slow_link import SlowLink
from test_slow_link import (
    RECOVERED_S,
    _configuration,
    _connect,
    _job,
    _wait_until,
)

from ragwortshelf.core.scheduling.record_codec import encode_record
from ragwortshelf.core.scheduling.records import JobSubmitted
from ragwortshelf.scheduler.instance import Instance
from soak.platform_server import StoreServer


class _FailingLink(SlowLink):
    """A slow link that carries no answer while it is cut."""

    def __init__(self):
        super().__init__()
        self._is_up = trio.Event()
        self._is_up.set()

    def cut(self):
        self._is_up = trio.Event()

    def mend(self):
        self._is_up.set()

    async def _wait_for_bandwidth(self, size):
        await self._is_up.wait()
        await super()._wait_for_bandwidth(size)


# Guards against instances that stay behind after an outage, and answer no caller, since
# jobs and a large configuration compete for the link when it is back (LOST).
@pytest.mark.parametrize("jobs", [500, 3_000])
@pytest.mark.parametrize("outage_s", [2, 20])
async def test_an_instance_recovers_with_all_that_an_outage_kept_from_it(
    autojump_clock, monkeypatch, outage_s, jobs
):
    store, link = StoreServer(), _FailingLink()
    operator_topic = store.topic(OPERATOR_TOPIC)
    operator_topic.append([("config", _configuration(1, 40))])
    adapter, settings = _connect(monkeypatch, link)
    instance = Instance(adapter, settings)
    async with link.serving(store.handle), trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        assert await _wait_until(instance.gateway.is_ready, RECOVERED_S)
        link.cut()
        for version in range(2, 6):
            operator_topic.append([("config", _configuration(version, 4_240))])
        for number in range(jobs):
            record = encode_record(JobSubmitted(_job(number)))
            store.topic(JOB_TOPIC).append([record])
        await trio.sleep(outage_s)
        link.mend()
        assert await _wait_until(
            lambda: (
                len(instance.follower.table.job_by_id) == jobs
                and instance.configuration.current.version == 5
                and instance.gateway.is_ready()
            ),
            RECOVERED_S,
        )
        nursery.cancel_scope.cancel()


# Guards against a load that begins anew with each of several short outages.
async def test_an_instance_that_starts_becomes_ready_between_short_outages(
    autojump_clock, monkeypatch
):
    store, link = StoreServer(), _FailingLink()
    store.topic(OPERATOR_TOPIC).append([("config", _configuration(1, 4_240))])
    jobs = store.topic(JOB_TOPIC)
    for number in range(3_000):
        jobs.append([encode_record(JobSubmitted(_job(number)))])
    adapter, settings = _connect(monkeypatch, link)
    instance = Instance(adapter, settings)

    async def fail_often():
        while True:
            await trio.sleep(4)
            link.cut()
            await trio.sleep(1)
            link.mend()

    async with link.serving(store.handle), trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        nursery.start_soon(fail_often)
        assert await _wait_until(instance.gateway.is_ready, 2 * RECOVERED_S)
        nursery.cancel_scope.cancel()
    assert len(instance.follower.table.job_by_id) == 3_000


# Guards against followers that lost the log once, and then never regain it while it
# answers as slowly as it did before they lost it.
@pytest.mark.parametrize("delay_ms", [100, 500])
async def test_a_log_that_answers_slowly_is_regained_after_an_outage(
    autojump_clock, monkeypatch, delay_ms
):
    store, link = StoreServer(), _FailingLink()
    store.topic(OPERATOR_TOPIC).append([("config", _configuration(1, 40))])
    adapter, settings = _connect(monkeypatch, link)
    instance = Instance(adapter, settings)

    async def answer(request):
        await trio.sleep(delay_ms / 1000)
        return await store.handle(request)

    async with link.serving(answer), trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        assert await _wait_until(instance.gateway.is_ready, RECOVERED_S)
        link.cut()
        await trio.sleep(5)
        link.mend()
        assert await _wait_until(instance.gateway.is_ready, RECOVERED_S)
        nursery.cancel_scope.cancel()
