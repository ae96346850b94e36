"""Pure functions for admission: whether a job can ever run, and where its home is."""

from __future__ import annotations

from collections.abc import Mapping

from ..model import Adjacency, Configuration, DataCentre, JobSpec, Organisation
from .regions import home_regions

__all__ = [
    "fits_catalogue",
    "fits_data_centre",
    "home_data_centre",
    "less_blocked_home",
]

MOVE_HOME_GAIN = 0.7  # a new home has to be expected to wait at most this share


def fits_data_centre(spec: JobSpec, data_centre: DataCentre) -> bool:
    """Return whether the empty data centre could hold the group."""
    return spec.accelerators <= _largest_group(spec.adjacency, data_centre)


def fits_catalogue(spec: JobSpec, configuration: Configuration) -> bool:
    """Return whether any data centre where the job may run could hold its group.

    A job that fits nowhere is rejected at submission, and when a release note
    withdraws the capacity that it needs. An organisation that is not configured, and
    a quota below the group's size, make it fit nowhere either.
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

    A data centre in which the organisation is promised the group's size comes first,
    then one in which it is promised anything, then the one with most free
    accelerators by ``free_by_data_centre`` (without it, the largest).
    """
    candidates = _candidates(spec, configuration)
    if not candidates:
        return None
    organisation = configuration.organisations_by_name[spec.organisation]
    promised_by_name: dict[str, int] = {}
    for shape in organisation.guarantees:
        promised = promised_by_name.get(shape.data_centre, 0)
        promised += shape.accelerators * shape.count
        promised_by_name[shape.data_centre] = promised

    def preference(data_centre: DataCentre) -> tuple[bool, bool, int, int, str]:
        promised = promised_by_name.get(data_centre.name, 0)
        free = (free_by_data_centre or {}).get(data_centre.name, 0)
        return (
            promised < spec.accelerators,
            promised == 0,
            -free,
            -data_centre.accelerators,
            data_centre.name,
        )

    return min(candidates, key=preference).name


def less_blocked_home(
    cost_by_data_centre: Mapping[str, int],
    queued_by_data_centre: Mapping[str, int],
    here: str,
) -> str | None:
    """Return a better home for a job that has waited long, None to stay ``here``.

    ``cost_by_data_centre`` is `Scheduler.blocking_cost` of each, and
    ``queued_by_data_centre`` counts the groups as large that wait there before it. A
    move is a record in the log, so it has to promise a clear gain.
    """

    def expected(name: str) -> int:
        return cost_by_data_centre[name] * (1 + queued_by_data_centre.get(name, 0))

    if not cost_by_data_centre:
        return None
    best = min(cost_by_data_centre, key=lambda name: (expected(name), name))
    if here not in cost_by_data_centre:
        return best
    return best if expected(best) < MOVE_HOME_GAIN * expected(here) else None


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
            or _fits_unstoppable(spec, organisation, configuration, data_centre)
        )
    ]


def _fits_unstoppable(
    spec: JobSpec,
    organisation: Organisation,
    configuration: Configuration,
    data_centre: DataCentre,
) -> bool:
    """Return whether what is promised to the organisation or to nobody holds it."""
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
