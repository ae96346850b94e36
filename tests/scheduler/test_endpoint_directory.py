"""The directory lists exactly the log's endpoints, also if pages or entries fail."""

import pytest
import trio
from cluster import make_platform, running
from fakes import LOG_CALL_S, FakeLog, FakePlatformAdapter, Faults, LossyLog

from ragwortshelf.scheduler.endpoint_directory import EndpointDirectory
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.scheduler.supervision import run_supervised

SETTINGS = SchedulingSettings("i0")
FAILED_CALL_S_BY_LOSS = {
    "refused": LOG_CALL_S,
    "unanswered": SETTINGS.log_call_timeout_ms / 1000,
}


class Listing:
    """A directory of ``endpoints`` endpoints, and the set that it has reported."""

    def __init__(self, endpoints, loss, **failing):
        self.platform = make_platform(endpoints)
        self.topic = self.platform.reports
        self.log = LossyLog(self.topic, loss, **failing)
        self.ids = set()
        self.adapter = FakePlatformAdapter(self.platform)
        self.directory = self.make_directory(self.log)

    def make_directory(self, log):
        return EndpointDirectory(
            self.adapter, log, SETTINGS, self.updated, self.removed
        )

    def updated(self, info):
        self.ids.add(info.id)

    def removed(self, endpoint_id):
        self.ids.remove(endpoint_id)

    def expire(self, *removed_ids):
        """Remove endpoints, and delete all records but each key's newest."""
        self.topic.append([(removed_id, b"") for removed_id in removed_ids])
        self.topic.compact()


class FaultyListing(Listing):
    """A listing in which a step fails for the entries of some keys.

    ``step`` is "decode", "update" or "remove".
    """

    def __init__(self, endpoints, step, faulty_keys):
        super().__init__(endpoints, "refused")
        self.step = step
        self.faulty_keys = set(faulty_keys)
        self.adapter.decode_endpoint = self.decode
        self.directory = self.make_directory(FakeLog(self.topic, Faults()))

    async def run(self):
        await run_supervised("endpoint directory", self.directory.run)

    def fail_if_faulty(self, step, key):
        if step == self.step and key in self.faulty_keys:
            raise RuntimeError(f"injected into {step}")

    def decode(self, key, value):
        self.fail_if_faulty("decode", key)
        return self.platform.endpoint_by_id[key].info

    def updated(self, info):
        self.fail_if_faulty("update", info.id)
        super().updated(info)

    def removed(self, endpoint_id):
        self.fail_if_faulty("remove", endpoint_id)
        super().removed(endpoint_id)


# Guards against loads that begin again at the first page after each failed one, and so
# never end on a lossy log.
@pytest.mark.parametrize("loss", FAILED_CALL_S_BY_LOSS)
async def test_each_failed_page_is_read_once_more(autojump_clock, loss):
    listing = Listing(20, loss, failing_period=3)
    # Two of three calls return a page, and the third is repeated after a pause.
    failures_max = 20 // 2
    failure_s = FAILED_CALL_S_BY_LOSS[loss] + SETTINGS.directory_interval_ms / 1000
    async with running(listing.directory):
        await trio.sleep(20 * LOG_CALL_S + failures_max * failure_s)
    assert listing.ids == {f"e{number}" for number in range(20)}
    assert len(listing.log.after_keys) <= 20 + failures_max


# Guards against the removal of endpoints that were listed before a page failed.
@pytest.mark.parametrize("loss", FAILED_CALL_S_BY_LOSS)
async def test_a_continued_load_removes_only_unlisted_endpoints(autojump_clock, loss):
    listing = Listing(4, loss)
    async with running(listing.directory):
        await trio.sleep(1)
        assert listing.ids == {"e0", "e1", "e2", "e3"}
        calls = len(listing.log.after_keys)
        listing.log.failing_calls = (calls + 2,)
        listing.expire("e3")
        await trio.sleep(4)
    assert listing.ids == {"e0", "e1", "e2"}
    assert listing.log.after_keys[calls:] == [None, "e0", "e0", "e1"]


# Guards against endpoints that stay listed by an earlier load, whose later records
# have expired.
@pytest.mark.parametrize("loss", FAILED_CALL_S_BY_LOSS)
async def test_an_endpoint_that_a_new_load_lacks_is_removed(autojump_clock, loss):
    listing = Listing(4, loss, failing_calls=(3,))
    listing.log.on_failure = lambda: listing.expire("e0")
    async with running(listing.directory):
        await trio.sleep(4)
    assert listing.ids == {"e1", "e2", "e3"}


# Guards against a load that reads one page again and again, because an error in one of
# its entries ends it.
@pytest.mark.parametrize("faulty_key", ["e0", "e2", "e4"])
@pytest.mark.parametrize("step", ["decode", "update"])
async def test_a_failing_entry_costs_no_other_of_its_load(
    autojump_clock, step, faulty_key
):
    listing = FaultyListing(5, step, [faulty_key])
    async with running(listing):
        await trio.sleep(4)
        assert listing.ids == {"e0", "e1", "e2", "e3", "e4"} - {faulty_key}
        # The load has ended, and the log is followed.
        listing.topic.append([("e3", b"")])
        await trio.sleep(4)
        assert "e3" not in listing.ids
        assert listing.directory.age_ms() < 4_000


# Guards against entries that are never applied, because they follow one on the same
# page whose error ends the reading of the page.
@pytest.mark.parametrize("step", ["decode", "update"])
async def test_a_failing_entry_costs_no_later_one_of_its_page(autojump_clock, step):
    listing = FaultyListing(3, step, ["e1"])
    entries, listing.topic.entries = listing.topic.entries, []
    async with running(listing):
        await trio.sleep(4)
        listing.topic.append(entries)
        await trio.sleep(4)
        assert listing.ids == {"e0", "e2"}


# Guards against an endpoint that stays unknown after an error although it reports
# itself again, because its report has not changed.
@pytest.mark.parametrize("step", ["decode", "update"])
async def test_an_entry_that_failed_is_applied_when_it_is_reported_again(
    autojump_clock, step
):
    listing = FaultyListing(3, step, ["e1"])
    async with running(listing):
        await trio.sleep(4)
        listing.faulty_keys.clear()
        listing.topic.append([("e1", b"1")])
        await trio.sleep(4)
        assert listing.ids == {"e0", "e1", "e2"}


@pytest.mark.parametrize("is_expired", [False, True])
async def test_a_failing_removal_costs_no_other_entry(autojump_clock, is_expired):
    listing = FaultyListing(4, "remove", ["e1"])
    async with running(listing):
        await trio.sleep(4)
        listing.topic.append([("e1", b""), ("e2", b"")])
        if is_expired:
            listing.topic.compact()
        await trio.sleep(4)
        assert listing.ids == {"e0", "e1", "e3"}
        assert listing.directory.age_ms() < 4_000
