"""The follower's table is complete, also when loading it is interrupted."""

import trio
from cluster import make_job, running
from fakes import FakeLog, Faults

from ragwortshelf.core.scheduling.records import JobSubmitted, encode_record
from ragwortshelf.scheduler.log_follower import LogFollower
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.standins.keyed_topic import KeyedTopic

JOB_IDS = [letter * 16 for letter in "abcd"]


def make_follower(page_rows):
    topic = KeyedTopic()
    for job_id in JOB_IDS:
        topic.append([encode_record(JobSubmitted(make_job(job_id)))])
    log = FakeLog(topic, Faults())
    log.newest_page_rows = page_rows
    return LogFollower(log, SchedulingSettings("i0"))


async def test_all_pages_of_the_newest_records_are_read(autojump_clock):
    follower = make_follower(page_rows=1)
    async with running(follower):
        await trio.sleep(1)
    assert sorted(follower.table.job_by_id) == JOB_IDS


async def test_a_restart_between_two_pages_loses_no_job(autojump_clock):
    # Guards against missing jobs when a term is lost while the follower reloads all
    # jobs after a gap in the log.
    follower = make_follower(page_rows=1)
    async with running(follower):
        while not follower.table.job_by_id:
            await trio.sleep(0.001)
        follower.restart()
        await trio.sleep(1)
    assert sorted(follower.table.job_by_id) == JOB_IDS
