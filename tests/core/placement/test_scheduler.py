"""The scheduler places whole groups and never gives an accelerator twice."""

from ragwortshelf.core.model import (
    Adjacency,
    Configuration,
    DataCentre,
    JobSpec,
    Organisation,
    Rack,
)
from ragwortshelf.core.placement import Place, Scheduler


def test_group_in_one_rack_is_placed_whole():
    rack = Rack("r1", ("w1", "w2"), 4)
    configuration = Configuration(
        1, {"a": Organisation("a")}, {"dc": DataCentre("dc", "home", (rack,))}
    )
    scheduler = Scheduler("dc")
    scheduler.set_configuration(configuration, 0)
    for worker in rack.workers:
        scheduler.set_worker(worker, "r1", 4, 0)
    for job_id in ("j1", "j2"):
        scheduler.add_waiting(JobSpec(job_id, "a", "dc", 6, Adjacency.RACK), 0)
    (place,) = scheduler.decide(0)
    assert isinstance(place, Place)
    assert sum(len(grant.accelerators) for grant in place.grants) == 6
    scheduler.remove(place.spec.job_id, 1)
    (second,) = scheduler.decide(1)
    assert second.spec.job_id != place.spec.job_id
