"""Application of one well-formed note to a configuration, as a whole or not at all."""

from __future__ import annotations

import dataclasses

from ..model import (
    Configuration,
    DataCentre,
    Organisation,
    Rule,
    Withdrawal,
)
from .feasibility import packing_fault
from .note import UNCHANGED, Changes, Fault, ReleaseNote

__all__ = ["MAX_WITHDRAWALS_LISTED", "apply_note"]

MAX_WITHDRAWALS_LISTED = 1_024
"""Withdrawals of each kind that a configuration lists; older ones are dropped."""


def apply_note(
    configuration: Configuration, revision: int, note: ReleaseNote
) -> Configuration | tuple[Fault, ...]:
    """Return the configuration at ``revision``, or every fault of the note.

    The faults are those that depend on the configuration, such as a name that already
    exists or a guarantee that does not fit.
    """
    faults = []
    organisations_by_name = _apply_changes(
        faults, "organisations", configuration.organisations_by_name, note.organisations
    )
    data_centres_by_name = _apply_changes(
        faults, "data_centres", configuration.data_centres_by_name, note.data_centres
    )
    rules_by_name = _apply_changes(
        faults, "rules", configuration.rules_by_name, note.rules
    )
    if faults:
        return tuple(faults)
    result = Configuration(
        revision,
        organisations_by_name,
        data_centres_by_name,
        rules_by_name,
        _update_withdrawn(
            configuration.withdrawn_organisations_by_name, revision, note.organisations
        ),
        _update_withdrawn(
            configuration.withdrawn_data_centres_by_name, revision, note.data_centres
        ),
    )
    faults.extend(_duplicate_worker_faults(result, note))
    faults.extend(_organisation_faults(result, note))
    if not faults:
        faults.extend(_guarantee_faults(configuration, result, note))
    return tuple(faults) if faults else result


def _apply_changes(faults, kind, objects_by_name, changes: Changes):
    """Return the objects after the changes, and add the faults to ``faults``.

    They are sorted by name, so that equal configurations have equal snapshots.
    """
    result = dict(objects_by_name)
    for name, added in changes.added_by_name.items():
        if name in objects_by_name:
            faults.append(Fault(f"{kind}.added.{name}", "exists already"))
        result[name] = added
    for name, change in changes.changed_by_name.items():
        if name not in objects_by_name:
            faults.append(Fault(f"{kind}.changed.{name}", "does not exist"))
            continue
        result[name] = _apply_change(objects_by_name[name], change)
    for name in changes.withdrawn_by_name:
        if result.pop(name, None) is None:
            faults.append(Fault(f"{kind}.withdrawn.{name}", "does not exist"))
    return dict(sorted(result.items()))


def _apply_change(current: Organisation | DataCentre | Rule, change):
    if isinstance(change, Rule):
        return change
    fields = {
        field.name: getattr(change, field.name) for field in dataclasses.fields(change)
    }
    set_fields = {k: v for k, v in fields.items() if v is not UNCHANGED}
    return dataclasses.replace(current, **set_fields)


def _update_withdrawn(withdrawn_by_name, revision, changes: Changes):
    result: dict[str, Withdrawal] = {
        name: withdrawal
        for name, withdrawal in withdrawn_by_name.items()
        if name not in changes.added_by_name
    }
    for name, withdrawal in changes.withdrawn_by_name.items():
        result[name] = dataclasses.replace(withdrawal, revision=revision)
    while len(result) > MAX_WITHDRAWALS_LISTED:
        del result[next(iter(result))]
    return result


def _object_path(changes: Changes, kind, name):
    """Return the path of an object that the note adds or changes, else its kind."""
    for key, names in (
        ("added", changes.added_by_name),
        ("changed", changes.changed_by_name),
    ):
        if name in names:
            return f"{kind}.{key}.{name}"
    return kind


def _duplicate_worker_faults(result, note):
    """Yield a fault for each worker that more than one data centre lists."""
    if not note.data_centres.names():
        return
    owner_by_worker = {}
    for data_centre in result.data_centres_by_name.values():
        for rack in data_centre.racks:
            for worker in rack.workers:
                owner = owner_by_worker.setdefault(worker, data_centre.name)
                if owner != data_centre.name:
                    path = _object_path(
                        note.data_centres, "data_centres", data_centre.name
                    )
                    if path == "data_centres":
                        path = _object_path(note.data_centres, "data_centres", owner)
                    yield Fault(f"{path}.racks", f"{owner} lists {worker} too")


def _organisation_faults(result, note):
    """Yield the faults of the organisations that the note may affect.

    A note that touches any data centre may affect every organisation. The detail names
    an organisation that the note itself does not add or change.
    """
    regions = {item.region for item in result.data_centres_by_name.values()}
    names = result.organisations_by_name
    if not note.data_centres.names():
        names = (*note.organisations.added_by_name, *note.organisations.changed_by_name)
    for name in names:
        organisation = result.organisations_by_name[name]
        path = _object_path(note.organisations, "organisations", name)
        prefix = "" if path != "organisations" else f"{name}: "
        if organisation.home_region and organisation.home_region not in regions:
            yield Fault(f"{path}.home_region", f"{prefix}no data centre is there")
        guaranteed = sum(s.accelerators * s.count for s in organisation.guarantees)
        quota = organisation.quota_accelerators
        if quota is not None and quota < guaranteed:
            yield Fault(
                f"{path}.quota_accelerators",
                f"{prefix}is below the {guaranteed} accelerators guaranteed",
            )
        for index, shape in enumerate(organisation.guarantees):
            if shape.data_centre not in result.data_centres_by_name:
                yield Fault(
                    f"{path}.guarantees[{index}].data_centre",
                    f"{prefix}{shape.data_centre} does not exist",
                )


def _guarantee_faults(before, after, note):
    """Yield a fault for each affected data centre that cannot hold its guarantees."""
    for name in _affected_data_centres(before, after, note):
        shapes = [
            shape
            for organisation in after.organisations_by_name.values()
            for shape in organisation.guarantees
            if shape.data_centre == name
        ]
        detail = packing_fault(after.data_centres_by_name[name], shapes)
        if detail is not None:
            yield Fault(_guarantee_path(note, after, name), f"{name}: {detail}")


def _affected_data_centres(before, after, note):
    names = {
        *note.data_centres.added_by_name,
        *note.data_centres.changed_by_name,
    }
    for organisation_name in note.organisations.names():
        guarantees_before = _guarantees(before, organisation_name)
        guarantees_after = _guarantees(after, organisation_name)
        if guarantees_before != guarantees_after:
            shapes = (*guarantees_before, *guarantees_after)
            names.update(shape.data_centre for shape in shapes)
    return sorted(names & set(after.data_centres_by_name))


def _guarantees(configuration, organisation_name):
    organisation = configuration.organisations_by_name.get(organisation_name)
    return () if organisation is None else organisation.guarantees


def _guarantee_path(note, after, data_centre_name):
    """Return the path to report for a data centre that cannot hold its guarantees.

    The path is that of the first organisation with a guarantee there that the note adds
    or changes; if there is none, it is that of the data centre.
    """
    changes = note.organisations
    for name in (*changes.added_by_name, *changes.changed_by_name):
        for shape in after.organisations_by_name[name].guarantees:
            if shape.data_centre == data_centre_name:
                path = _object_path(changes, "organisations", name)
                return f"{path}.guarantees"
    return _object_path(note.data_centres, "data_centres", data_centre_name)
