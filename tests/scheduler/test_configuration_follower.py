"""The follower holds the newest configuration and waves, and confirms their age."""

import pytest
import trio
from cluster import make_platform, running
from fakes import FakePlatformAdapter, LossyLog

from ragwortshelf.scheduler.configuration_follower import ConfigurationFollower
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.scheduler.supervision import run_supervised


class CountingAdapter(FakePlatformAdapter):
    """Takes each operator record whose key begins with ``wave`` for a wave."""

    def __init__(self, platform):
        super().__init__(platform)
        self.decoded = 0

    def decode_waves(self, entries):
        return {key: key for key in entries if key.startswith("wave")}

    def decode_configuration(self, entries):
        self.decoded += 1
        return super().decode_configuration(entries)


def make_follower(platform, log=None):
    adapter = CountingAdapter(platform)
    follower = ConfigurationFollower(
        adapter, log or adapter.operator_log(), SchedulingSettings("i0")
    )
    return follower, adapter


# Guards against a wave that is carried out although it was withdrawn while the
# operator's log could not be read record by record.
async def test_a_record_deleted_in_a_gap_is_gone(autojump_clock):
    platform = make_platform()
    platform.operator.append([("wave/1", b"1"), ("wave/2", b"1")])
    follower, adapter = make_follower(platform)
    async with running(follower):
        await trio.sleep(1)
        assert set(follower.waves()) == {"wave/1", "wave/2"}
        adapter.faults.store = "busy"
        await trio.sleep(1)
        platform.operator.append([("wave/1", b"")])
        platform.operator.append([("config", b"1")])
        platform.operator.first = len(platform.operator.entries)
        adapter.faults.store = ""
        await trio.sleep(2)
    assert set(follower.waves()) == {"wave/2"}


# Guards against an instance that begins again at the first page of the operator's
# records each time one page is lost, and is never configured.
async def test_a_load_continues_with_the_page_that_failed(autojump_clock):
    platform = make_platform()
    platform.operator.append([(f"wave/{n:02}", b"1") for n in range(20)])
    log = LossyLog(platform.operator, "unanswered", failing_period=3)
    follower, _ = make_follower(platform, log)
    async with running(follower):
        await trio.sleep(12)
    assert len(follower.waves()) == 20
    assert follower.current is not None


# Guards against a revoked key that is accepted too long, because pages read before its
# revocation count as recent.
async def test_an_interrupted_load_is_as_old_as_its_first_page(autojump_clock):
    platform = make_platform()
    platform.operator.append([("wave/1", b"1")])
    log = LossyLog(platform.operator, "refused", failing_calls=range(2, 30))
    follower, _ = make_follower(platform, log)
    ages = []
    async with running(follower):
        while follower.current is None:
            await trio.sleep(0.001)
        ages.append(follower.age_ms())
    assert ages[0] >= 28 * SchedulingSettings("i0").log_retry_ms


async def test_records_read_again_unchanged_are_not_decoded_again(autojump_clock):
    platform = make_platform()
    follower, adapter = make_follower(platform)
    async with running(follower):
        await trio.sleep(1)
        assert adapter.decoded == 1
        platform.operator.append([("config", b"1")])
        await trio.sleep(2)
    assert adapter.decoded == 1


# Guards against an old configuration that counts as confirmed, so that a revoked key is
# accepted without limit, after an unexpected error while a newer one was decoded.
@pytest.mark.parametrize("has_gap", [False, True])
async def test_a_configuration_that_was_not_decoded_is_never_confirmed(
    autojump_clock, monkeypatch, has_gap
):
    platform = make_platform()
    follower, adapter = make_follower(platform)
    settings = SchedulingSettings("i0")

    def fail(entries):
        raise RuntimeError("decoder")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_supervised, "configuration", follower.run)
        await trio.sleep(1)
        assert follower.is_trusted()
        adapter.faults.store = "busy"
        await trio.sleep(0.5)
        monkeypatch.setattr(adapter, "decode_configuration", fail)
        platform.operator.append([("config", b"2")])
        if has_gap:
            platform.operator.first = len(platform.operator.entries)
        adapter.faults.store = ""
        await trio.sleep(settings.revocation_ms / 1000)
        for _ in range(20):
            await trio.sleep(1)
            assert not follower.is_trusted()
        monkeypatch.undo()
        await trio.sleep(3)
        assert follower.is_trusted()
        nursery.cancel_scope.cancel()


# Guards against an instance that is never ready, because a record of a wave makes the
# decoding of all records of the operator fail.
async def test_an_error_in_the_waves_costs_no_configuration(
    autojump_clock, monkeypatch
):
    def fail(entries):
        raise RuntimeError("decoder")

    platform = make_platform()
    platform.operator.append([("wave/1", b"1")])
    follower, adapter = make_follower(platform)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_supervised, "configuration", follower.run)
        await trio.sleep(1)
        monkeypatch.setattr(adapter, "decode_waves", fail)
        platform.operator.append([("wave/2", b"2"), ("evacuate/dc", b"1")])
        await trio.sleep(20)
        assert follower.is_trusted()
        assert set(follower.evacuations()) == {"dc"}
        assert set(follower.waves()) == {"wave/1"}
        monkeypatch.undo()
        platform.operator.append([("wave/3", b"3")])
        await trio.sleep(3)
        assert set(follower.waves()) == {"wave/1", "wave/2", "wave/3"}
        nursery.cancel_scope.cancel()
