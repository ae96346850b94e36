"""The placer's path and its failures, one at a time, in virtual time."""

from ragwortshelf.core.model import Completed, Reason


def sent(placer, action_type):
    return [action for action in placer.sent if isinstance(action, action_type)]


def test_job_runs_once_to_its_outcome_and_leaves_nothing(world_type, make_spec):
    world = world_type()
    world.accept(make_spec("j", tasks=5))
    world.run(6_000)
    assert world.outcome("j") == Completed(Reason.TASK_SUCCEEDED)
    assert sorted(start.worker for start in world.starts) == ["w1", "w2"]
    assert world.live_leases() == []
    assert not world.placers[0].machine.gang_by_id
