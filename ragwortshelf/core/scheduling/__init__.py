"""Scheduling of jobs whose tasks run on endpoints under leases.

A *unit* is scheduled as a whole: one task, or all tasks of a gang. The modules by
subject, those that decide in the order of a plan:

- ``records``, ``record_codec`` and ``job_table``: the log's records and their fold;
- ``unit``, ``endpoint``, ``task_placement`` and ``listings``: what is tracked;
- ``lifecycle``, ``crash_handling``, ``endpoint_tracking`` and ``scheduler``: changes of
  units, lost endpoints, what endpoints report, orders and the start of a plan;
- ``planning``: the order of waiting units, by ``shares`` and ``share_accounts``;
- ``endpoint_selection``: room that is free now, by ``packing`` and ``speed_needs``;
- ``advice_questions`` and ``question_endpoints``: what the policy service is asked, by
  the decisions and the open question in ``ragwortshelf.core.advice``;
- ``room_making``: the ways to make room, which are ``fast_room``, ``reclaiming`` and
  ``room_reserving``, by the search in ``reclaim`` and the costs in ``stop_costs``;
- ``reservations`` and ``idle_services``: for how long room is kept free for a unit;
- ``idle_waits``: reports of work that waits although most of its service is idle;
- ``overdue_runs``: reports of runs that take far longer than expected;
- ``evacuation_moves`` and ``stragglers``: moves of units that run;
- ``speed``, ``calibration``, ``stalls``, ``suspicion`` and ``crashes``: what is learned
  of endpoints, estimates and tasks;
- ``admission`` and ``forecast``: which submissions are refused;
- ``lease_grants`` and ``term_clock``: until when earlier holders of the role extended
  leases, and the clock on which they wrote down when leases end.
"""

from .configuration import ServiceConfiguration
from .endpoint import Endpoint
from .job_table import JobTable
from .listings import EndpointInfo
from .model import JobSpec, JobState, Resources, Step, UnitKey
from .scheduler import Scheduler

__all__ = [
    "Endpoint",
    "EndpointInfo",
    "JobSpec",
    "JobState",
    "JobTable",
    "Resources",
    "Scheduler",
    "ServiceConfiguration",
    "Step",
    "UnitKey",
]
