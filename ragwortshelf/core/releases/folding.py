"""The fold of release notes, a pure function of the records in the stream.

A note takes effect as a whole or not at all. Its verdict depends only on the records
before it in the stream, so that every instance reaches the same one.
"""

from __future__ import annotations

import dataclasses
import hashlib

from ..model import NO_REVISION
from ..streams.records import ReleaseSubmitted
from .apply import apply_note
from .note import Fault, ReleaseNote, touched_objects
from .parse import parse_note, unsupported_format
from .state import (
    Accepted,
    Conflict,
    Duplicate,
    Halted,
    LastChange,
    NoteEntry,
    RefusalReason,
    Refused,
    ReleaseState,
    Verdict,
)

__all__ = ["MAX_NOTES_KEPT", "MAX_WITHDRAWN_KEPT", "fold", "verdict_at"]

MAX_NOTES_KEPT = 2_048
"""Evaluated notes that the state keeps: over three days' worth at 640 notes a day."""

MAX_WITHDRAWN_KEPT = 4_096
"""Withdrawn names whose last change the state keeps."""


def fold(
    state: ReleaseState, offset: int, record: ReleaseSubmitted
) -> tuple[ReleaseState, Verdict]:
    """Fold one record and return the next state with the record's verdict.

    A record below ``state.next_offset`` was folded before and changes nothing.
    """
    if state.is_halted:
        return state, Halted(state.halted_format)
    if offset < state.next_offset:
        return state, verdict_at(state, offset, record)
    advanced = dataclasses.replace(state, next_offset=offset + 1)
    if record.note_id in state.entry_by_note_id:
        return advanced, verdict_at(advanced, offset, record)
    newer_format = unsupported_format(record.note_json)
    if newer_format is not None:
        halted = dataclasses.replace(state, halted_format=newer_format)
        return halted, Halted(newer_format)
    return _evaluate_first_copy(advanced, offset, record)


def verdict_at(state: ReleaseState, offset: int, record: ReleaseSubmitted) -> Verdict:
    """Return the verdict on a record at an offset that was folded before."""
    if state.is_halted:
        return Halted(state.halted_format)
    entry = state.entry_by_note_id.get(record.note_id)
    if entry is None:
        return Refused(RefusalReason.TOO_OLD)
    if entry.digest != _digest(record):
        return Refused(RefusalReason.NOTE_ID_REUSED)
    return entry.verdict if entry.offset == offset else Duplicate(entry.offset)


def _digest(record):
    text = record.note_json.encode("utf-8", "surrogatepass")
    return hashlib.sha256(text).digest()[:16]


def _evaluate_first_copy(state, offset, record):
    note = parse_note(record.note_json, "json")
    configuration = state.configuration
    if isinstance(note, ReleaseNote):
        refusal = _find_refusal(state, record, note)
    else:
        refusal = Refused(RefusalReason.INVALID, faults=note)
    if refusal is None:
        applied = apply_note(configuration, offset, note)
        if isinstance(applied, tuple):
            refusal = Refused(RefusalReason.INVALID, faults=applied)
        else:
            configuration = applied
    is_well_formed = isinstance(note, ReleaseNote)
    entry = NoteEntry(
        record.note_id,
        record.author,
        note.purpose if is_well_formed else "",
        offset,
        note.against_revision if is_well_formed else NO_REVISION,
        _digest(record),
        record.submitted_wall_ms,
        touched_objects(note) if is_well_formed else (),
        accepted=refusal is None,
        refusal=refusal,
    )
    state = _add_entry(state, entry)
    if refusal is not None:
        return state, refusal
    state = dataclasses.replace(
        state, configuration=configuration, format=max(state.format, note.format)
    )
    return _update_last_changes(state, entry), Accepted(offset)


def _find_refusal(state, record, note):
    faults = []
    if note.note_id != record.note_id:
        faults.append(Fault("note_id", "differs from the record's"))
    if note.author != record.author:
        faults.append(Fault("author", "differs from the record's"))
    revision = state.configuration.revision
    if note.against_revision > revision:
        faults.append(
            Fault("against_revision", f"is past the revision in force, {revision}")
        )
    if faults:
        return Refused(RefusalReason.INVALID, faults=tuple(faults))
    if state.oldest_revision > note.against_revision != revision:
        fault = Fault("against_revision", f"is below {state.oldest_revision}")
        return Refused(RefusalReason.TOO_OLD, faults=(fault,))
    conflicts = _find_conflicts(state, note)
    return Refused(RefusalReason.CONFLICT, conflicts=conflicts) if conflicts else None


def _find_conflicts(state, note):
    conflicts = []
    for name in touched_objects(note):
        last = state.last_change_by_object.get(name)
        if last is not None and last.revision > note.against_revision:
            conflicts.append(Conflict(name, last.revision, last.author, last.note_id))
    return tuple(conflicts)


def _add_entry(state, entry):
    """Add an entry, and drop the oldest ones beyond ``MAX_NOTES_KEPT``.

    Dropping a note raises ``oldest_revision`` above the revision that the note names. A
    repeat of a dropped note names the same revision as its first copy. If that
    revision is still in force, nothing has changed since and the verdict is the same;
    otherwise the repeat is refused as too old. So a repeat never changes anything.
    """
    entry_by_note_id = dict(state.entry_by_note_id)
    entry_by_note_id[entry.note_id] = entry
    oldest = state.oldest_revision
    while len(entry_by_note_id) > MAX_NOTES_KEPT:
        dropped = entry_by_note_id.pop(next(iter(entry_by_note_id)))
        # An invalid note may name a revision later than its own offset, which must not
        # raise the bound: valid notes would be refused as too old.
        dropped_revision = min(dropped.against_revision, dropped.offset)
        oldest = max(oldest, dropped_revision + 1)
    return dataclasses.replace(
        state, entry_by_note_id=entry_by_note_id, oldest_revision=oldest
    )


def _update_last_changes(state, entry):
    last_change = LastChange(entry.offset, entry.author, entry.note_id)
    last_change_by_object = dict(state.last_change_by_object)
    for name in entry.touched:
        # Reinsertion keeps the mapping ordered by last change, oldest first.
        last_change_by_object.pop(name, None)
        last_change_by_object[name] = last_change
    oldest = _drop_withdrawn_names(state, last_change_by_object)
    return dataclasses.replace(
        state, last_change_by_object=last_change_by_object, oldest_revision=oldest
    )


def _drop_withdrawn_names(state, last_change_by_object):
    """Drop the oldest changes of withdrawn names beyond ``MAX_WITHDRAWN_KEPT``.

    Return the resulting ``oldest_revision``.
    """
    oldest = state.oldest_revision
    existing = _existing_objects(state.configuration)
    excess = len(last_change_by_object) - len(existing) - MAX_WITHDRAWN_KEPT
    if excess <= 0:
        return oldest
    withdrawn = [name for name in last_change_by_object if name not in existing]
    for name in withdrawn[:excess]:
        oldest = max(oldest, last_change_by_object.pop(name).revision)
    return oldest


def _existing_objects(configuration):
    return {
        *(f"organisations.{name}" for name in configuration.organisations_by_name),
        *(f"data_centres.{name}" for name in configuration.data_centres_by_name),
        *(f"rules.{name}" for name in configuration.rules_by_name),
    }
