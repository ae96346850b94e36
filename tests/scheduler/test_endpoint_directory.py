"""The directory lists exactly the log's endpoints, also if pages of it fail."""

import pytest
import trio
from cluster import make_platform, running
from fakes import LOG_CALL_S, FakePlatformAdapter, LossyLog

from ragwortshelf.scheduler.endpoint_directory import EndpointDirectory
from ragwortshelf.scheduler.settings import SchedulingSettings

SETTINGS = SchedulingSettings("i0")
FAILED_CALL_S_BY_LOSS = {
    "refused": LOG_CALL_S,
    "unanswered": SETTINGS.log_call_timeout_ms / 1000,
}


class Listing:
    """A directory of ``endpoints`` endpoints, and the set that it has reported."""

    def __init__(self, endpoints, loss, **failing):
        platform = make_platform(endpoints)
        self.topic = platform.reports
        self.log = LossyLog(self.topic, loss, **failing)
        self.ids = set()
        self.directory = EndpointDirectory(
            FakePlatformAdapter(platform),
            self.log,
            SETTINGS,
            lambda info: self.ids.add(info.id),
            self.ids.remove,
        )

    def expire(self, *removed_ids):
        """Remove endpoints, and delete all records but each key's newest."""
        self.topic.append([(removed_id, b"") for removed_id in removed_ids])
        self.topic.compact()


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
