"""Pure functions for admission: whether a job can ever run, and in which data centre.

The home of a job is the data centre whose scheduler places it.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..model import Adjacency, Configuration, DataCentre, JobSpec, Organisation
from .regions import home_regions

__all__ = [
    "fits_catalogue",
    "fits_data_centre",
    "home_data_centre",
    "better_home_data_centre",
]

# A job changes its home only if its expected cost falls below this fraction.
MOVE_HOME_MAX_COST_RATIO = 0.7


def fits_data_centre(spec: JobSpec, data_centre: DataCentre) -> bool:
    """Return whether the data centre could hold the group if it were empty."""
    return spec.accelerators <= _largest_group(spec.adjacency, data_centre)


def fits_catalogue(spec: JobSpec, configuration: Configuration) -> bool:
    """Return whether any data centre where the job may run could hold its group.

    A job that fits nowhere is rejected at submission, or later when a release note
    withdraws the capacity that it needs. A job also fits nowhere if its organisation
    is not configured or has a quota below the size of the group.
    """
    if spec.accelerators < 1:
        return False
    organisation = configuration.organisations_by_name.get(spec.organisation)
    if organisation is None:
        return False
    quota = organisation.quota_accelerators
    if quota is not None and spec.accelerators > quota:
        return False
    return bool(_candidates(spec, configuration))


def home_data_centre(
    spec: JobSpec,
    configuration: Configuration,
    free_by_data_centre: Mapping[str, int] | None = None,
) -> str | None:
    """Return the data centre that should be the home of the job, None if it fits none.

    Data centres where the organisation's guarantee is at least the size of the group
    are preferred, then those where it has any guarantee, then the one with the most
    free accelerators in ``free_by_data_centre``, and then the largest.
    """
    candidates = _candidates(spec, configuration)
    if not candidates:
        return None
    organisation = configuration.organisations_by_name[spec.organisation]
    guaranteed_by_name: dict[str, int] = {}
    for shape in organisation.guarantees:
        guaranteed = guaranteed_by_name.get(shape.data_centre, 0)
        guaranteed += shape.accelerators * shape.count
        guaranteed_by_name[shape.data_centre] = guaranteed

    def preference(data_centre: DataCentre) -> tuple[bool, bool, int, int, str]:
        guaranteed = guaranteed_by_name.get(data_centre.name, 0)
        free = (free_by_data_centre or {}).get(data_centre.name, 0)
        return (
            guaranteed < spec.accelerators,
            guaranteed == 0,
            -free,
            -data_centre.accelerators,
            data_centre.name,
        )

    return min(candidates, key=preference).name


def better_home_data_centre(
    cost_by_data_centre: Mapping[str, int],
    queued_by_data_centre: Mapping[str, int],
    current: str,
) -> str | None:
    """Return a better home for a job that has waited long, None to keep ``current``.

    ``cost_by_data_centre`` holds `DataCentreScheduler.blocking_cost` of each data
    centre where the job fits. ``queued_by_data_centre`` holds the number of groups
    queued there before the job that are at least as large. Every change of home writes
    a record to the log, so it must promise a clear gain.
    """

    def expected(name: str) -> int:
        return cost_by_data_centre[name] * (1 + queued_by_data_centre.get(name, 0))

    if not cost_by_data_centre:
        return None
    best = min(cost_by_data_centre, key=lambda name: (expected(name), name))
    if current not in cost_by_data_centre:
        return best
    return (
        best if expected(best) < MOVE_HOME_MAX_COST_RATIO * expected(current) else None
    )


def _candidates(spec: JobSpec, configuration: Configuration) -> list[DataCentre]:
    organisation = configuration.organisations_by_name.get(spec.organisation)
    if organisation is None:
        return []
    return [
        data_centre
        for data_centre in configuration.data_centres_by_name.values()
        if fits_data_centre(spec, data_centre)
        and (
            spec.is_reclaimable
            or _fits_non_reclaimable(spec, organisation, configuration, data_centre)
        )
    ]


def _fits_non_reclaimable(
    spec: JobSpec,
    organisation: Organisation,
    configuration: Configuration,
    data_centre: DataCentre,
) -> bool:
    """Return whether a group that cannot be reclaimed fits where it is allowed to run.

    Such a group runs only in the home region of its organisation, if that has one, and
    uses only accelerators that are guaranteed to its own organisation or to none.
    """
    if organisation.home_region not in ("", data_centre.region):
        return False
    owners = home_regions(configuration, data_centre.name).owner_by_accelerator
    largest_worker = 0
    largest_rack = 0
    total = 0
    for rack in data_centre.racks:
        counts = [
            sum(
                owners.get((worker, index)) in (None, organisation.name)
                for index in range(rack.accelerators_per_worker)
            )
            for worker in rack.workers
        ]
        largest_worker = max(largest_worker, *counts, 0)
        largest_rack = max(largest_rack, sum(counts))
        total += sum(counts)
    largest_by_adjacency = {
        Adjacency.WORKER: largest_worker,
        Adjacency.RACK: largest_rack,
        Adjacency.DATA_CENTRE: total,
    }
    return spec.accelerators <= largest_by_adjacency[spec.adjacency]


def _largest_group(adjacency: Adjacency, data_centre: DataCentre) -> int:
    if adjacency is Adjacency.DATA_CENTRE:
        return data_centre.accelerators
    if adjacency is Adjacency.RACK:
        return max(
            (len(r.workers) * r.accelerators_per_worker for r in data_centre.racks),
            default=0,
        )
    return max(
        (r.accelerators_per_worker for r in data_centre.racks if r.workers), default=0
    )
