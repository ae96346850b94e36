"""The packing check, compared with an exhaustive search on small data centres."""

from functools import cache

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.model import Adjacency, DataCentre, Rack, Shape
from ragwortshelf.core.releases import packing_fault

WORKER, RACK = Adjacency.WORKER, Adjacency.RACK


def make_data_centre(*racks):
    return DataCentre(
        "dc1",
        "north",
        tuple(
            Rack(f"r{i}", tuple(f"w{i}-{j}" for j in range(workers)), size)
            for i, (workers, size) in enumerate(racks)
        ),
    )


def fits_by_exhaustive_search(data_centre, shapes):
    @cache
    def fits(racks, groups):
        if not groups:
            return True
        (size, adjacency), rest = groups[0], groups[1:]
        for i, (free, workers) in enumerate(racks):
            if free < size:
                continue
            free_by_worker_choices = [workers]
            if adjacency is WORKER:
                free_by_worker_choices = [
                    (*workers[:j], free_in_worker - size, *workers[j + 1 :])
                    for j, free_in_worker in enumerate(workers)
                    if free_in_worker >= size
                ]
            for free_by_worker in free_by_worker_choices:
                after = (*racks[:i], (free - size, free_by_worker), *racks[i + 1 :])
                if fits(after, rest):
                    return True
        return False

    racks = tuple(
        (
            len(r.workers) * r.accelerators_per_worker,
            (r.accelerators_per_worker,) * len(r.workers),
        )
        for r in data_centre.racks
    )
    total = sum(shape.accelerators * shape.count for shape in shapes)
    groups = tuple(
        (shape.accelerators, shape.adjacency)
        for shape in shapes
        for _ in range(shape.count)
        if shape.adjacency is not Adjacency.DATA_CENTRE
    )
    return total <= data_centre.accelerators and fits(racks, groups)


@given(
    st.lists(st.tuples(st.integers(1, 3), st.integers(1, 6)), min_size=1, max_size=3),
    st.lists(
        st.builds(
            Shape,
            st.just("dc1"),
            st.integers(1, 9),
            st.sampled_from(Adjacency),
            st.integers(1, 2),
        ),
        max_size=4,
    ),
)
def test_the_check_is_exact_on_small_data_centres(racks, shapes):
    data_centre = make_data_centre(*racks)
    fits = packing_fault(data_centre, shapes) is None
    assert fits == fits_by_exhaustive_search(data_centre, shapes)


def test_the_search_finds_a_packing_that_best_fit_misses():
    shapes = [Shape("dc1", size, WORKER) for size in (4, 4, 3, 3, 3, 3)]
    assert packing_fault(make_data_centre((2, 10)), shapes) is None


def test_an_undecided_search_is_reported_as_such():
    """At most two of these groups fit on a worker, so 41 do not fit on 20 workers."""
    shapes = [Shape("dc1", 34 + number % 14, WORKER) for number in range(41)]
    fault = packing_fault(make_data_centre((20, 100)), shapes)
    assert fault == "the guaranteed shapes could not be shown to fit at once"


@pytest.mark.parametrize(
    "shapes, fits",
    [
        ([Shape("dc1", 64, RACK, 10), Shape("dc1", 8, WORKER, 20)], True),
        ([Shape("dc1", 64, RACK, 10), Shape("dc1", 8, WORKER, 21)], False),
        ([Shape("dc1", 65, RACK)], False),
        ([Shape("dc1", 1, WORKER, 10**6)], False),
    ],
)
def test_whole_racks_and_workers(shapes, fits):
    assert (
        packing_fault(make_data_centre(*[(8, 8)] * 12 + [(4, 8)]), shapes) is None
    ) == fits
