"""Units that are planned although others of the same request do not fit."""

import pytest
from harness import Harness

LASTING = {"is_long_running": True, "estimate_ms": 0}


# Guards against work that waits without end on an idle service (LOST): a unit was not
# tried because one of another step had found no place, which its own step had taken.
@pytest.mark.parametrize("fields", [LASTING, {}], ids=["lasting", "ending"])
def test_a_step_fits_although_another_one_has_no_endpoint_left(fields):
    harness = Harness(endpoints=2)
    harness.submit("first", count=3, tasks_per_endpoint_max=1, **fields)
    assert len(harness.accept_starts()) == 2
    harness.submit("second", count=2, tasks_per_endpoint_max=1, **fields)
    harness.advance(250)
    started = {order.task for order in harness.accept_starts()}
    assert started == {"second.0.0.0", "second.0.0.1"}
