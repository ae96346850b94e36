"""The index of free accelerators never contradicts a search of every endpoint."""

from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.scheduling import EndpointInfo, Resources, Step
from ragwortshelf.core.scheduling.endpoint import Endpoint
from ragwortshelf.core.scheduling.free_room import FreeRoom
from ragwortshelf.core.scheduling.model import UnitKey
from ragwortshelf.core.scheduling.packing import find_endpoints
from ragwortshelf.core.scheduling.task_placement import TaskPlacement


def _occupy(endpoint, gpus, number):
    task = TaskPlacement(
        UnitKey("j", 0, 0, number), 0, f"t{number}", 1, endpoint.id,
        Resources(0, 0, gpus), 0,
    )  # fmt: skip
    endpoint.allocate(task)


@given(
    st.lists(st.integers(0, 8), min_size=1, max_size=12),
    st.lists(st.tuples(st.integers(0, 11), st.integers(0, 8)), max_size=8),
    st.integers(0, 8),
    st.integers(1, 12),
    st.integers(0, 3),
)
def test_a_unit_that_a_search_can_place_may_be_held(
    occupied, later, gpus, count, per_endpoint_max
):
    endpoints = []
    for number, used in enumerate(occupied):
        info = EndpointInfo(f"e{number}", "pool", "", "", Resources(8, 8, 8))
        endpoints.append(Endpoint(info))
        _occupy(endpoints[-1], used, number)
    index = FreeRoom(endpoints)
    for number, (position, used) in enumerate(later, start=100):
        endpoint = endpoints[position % len(endpoints)]
        if endpoint.free_gpus >= used:
            _occupy(endpoint, used, number)
            index.update([endpoint, endpoint])
    step = Step(count, Resources(0, 0, gpus), tasks_per_endpoint_max=per_endpoint_max)

    def slots(endpoint):
        return step.occupied.times_in(endpoint.free)

    found = find_endpoints(
        step, count, endpoints, slots, index.free_gpus_by_rack, may_leave_rack=True
    )
    if gpus == 0:
        assert index.may_hold(step, count)
    else:
        assert index.may_hold(step, count) == (found is not None)
