"""No step of the scheduler takes longer than stated, whatever job is accepted."""

import pytest

from benchmarks.large_jobs import SPEC_BY_NAME, STEPS, measure_ms

STEP_MAX_MS = 50
"""Longest step that is wanted, of the 1,200 ms after which a term ends."""


# Guards against a term that ends because one step took longer than it (LOST).
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("job", SPEC_BY_NAME)
def test_no_step_takes_longer_than_wanted(job, step):
    assert measure_ms(step, SPEC_BY_NAME[job]) <= STEP_MAX_MS
