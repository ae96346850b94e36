"""Model of three release notes, two instances, the log, its retention and snapshots.

Notes 1 and 2 both change one object; note 3 changes another one. Notes 1 and 2 may be
appended twice, since the answer to an append may be lost. Either instance reads the
log, writes snapshots in two chunks, may stop at any moment, starts empty, and restores
any snapshot or state of its peer that reaches it, however old. Records that a complete
snapshot covers may be dropped from the log.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

__all__ = [
    "RELEASE_MUTANTS",
    "Folded",
    "ReleaseState",
    "fold_note",
    "release_protocol",
    "steps",
]

TOUCHED_BY_NOTE = {1: (0, 1), 2: (1,), 3: (2,)}
"""Objects that each note changes; all notes are written against revision 0."""

OBJECTS = 3
INSTANCES = 2
MAX_APPENDS_BY_NOTE = {1: 2, 2: 2, 3: 1}
MAX_LOG = 3
MAX_COPIES = 2
BEGUN = "begun"
WHOLE = "whole"
SENT = "sent"
NO_WRITER = -1
FIRST_CHUNK_OBJECTS = 1

RELEASE_MUTANTS = (
    "no_monotonic_offset",
    "no_note_id_check",
    "no_conflict_check",
    "snapshot_without_offset",
    "partial_snapshot",
    "ready_before_log_end",
)


class Folded(NamedTuple):
    """Result of folding a prefix of the log.

    ``notes`` and ``revisions`` hold for each object the note that changed it last and
    the revision of that note, which is the record's offset + 1. ``evaluated`` are
    the notes folded so far.
    """

    offset: int = 0
    notes: tuple[int, ...] = (0,) * OBJECTS
    revisions: tuple[int, ...] = (0,) * OBJECTS
    evaluated: tuple[int, ...] = ()


class Instance(NamedTuple):
    """One instance; its configuration is in force only while ``is_ready``.

    ``highest`` is the highest offset that was ever in force here, restarts included.
    """

    folded: Folded = Folded()
    is_ready: bool = False
    highest: int = 0


class ReleaseState(NamedTuple):
    """The whole system.

    ``log`` holds the note of each offset and ``kept_from`` the lowest offset that can
    still be read. ``copies`` holds (folded, kind, writer): snapshots of which one chunk
    or all are written, and states that an instance has sent to its peer. Only a begun
    snapshot needs its writer. ``verdicts`` are the first ones given at each offset;
    ``has_differed`` records that an instance gave another one.
    """

    log: tuple[int, ...] = ()
    kept_from: int = 0
    instances: tuple[Instance, ...] = (Instance(),) * INSTANCES
    copies: tuple = ()
    verdicts: tuple[str, ...] = ("",) * MAX_LOG
    has_differed: bool = False


def _replace_item(items: tuple, index: int, value) -> tuple:
    return (*items[:index], value, *items[index + 1 :])


def _with_instance(state: ReleaseState, index: int, instance: Instance) -> ReleaseState:
    if instance.is_ready:
        highest = max(instance.highest, instance.folded.offset)
        instance = instance._replace(highest=highest)
    return state._replace(instances=_replace_item(state.instances, index, instance))


def steps(state: ReleaseState, mutant: str = ""):
    """Yield each possible step as (label, next state)."""
    for note, limit in MAX_APPENDS_BY_NOTE.items():
        if len(state.log) < MAX_LOG and state.log.count(note) < limit:
            yield f"append note {note}", state._replace(log=(*state.log, note))
    whole = [folded.offset for folded, kind, _ in state.copies if kind == WHOLE]
    if whole and max(whole) > state.kept_from:
        yield "log drops old records", state._replace(kept_from=max(whole))
    for index, instance in enumerate(state.instances):
        yield from _reading_steps(state, index, instance, mutant)
        yield from _snapshot_steps(state, index, instance)
        yield from _restore_steps(state, index, instance, mutant)


def _reading_steps(state: ReleaseState, index: int, instance: Instance, mutant: str):
    offset = instance.folded.offset
    if state.kept_from <= offset < len(state.log):
        folded, verdict = fold_note(instance.folded, state.log[offset], mutant)
        first_verdict = state.verdicts[offset]
        read = _with_instance(state, index, instance._replace(folded=folded))
        read = read._replace(
            verdicts=_replace_item(state.verdicts, offset, first_verdict or verdict),
            has_differed=state.has_differed or first_verdict not in ("", verdict),
        )
        yield f"i{index} reads {offset}: {verdict}", read
    is_at_end = offset == len(state.log)
    if not instance.is_ready and (is_at_end or mutant == "ready_before_log_end"):
        ready = instance._replace(is_ready=True)
        yield f"i{index} is ready", _with_instance(state, index, ready)
    if instance.is_ready:
        empty = Instance(highest=instance.highest)
        yield f"i{index} restarts", _with_instance(state, index, empty)


def fold_note(folded: Folded, note: int, mutant: str = "") -> tuple[Folded, str]:
    """Return the result of folding ``note`` next, and its verdict."""
    revision = folded.offset + 1
    advanced = folded._replace(offset=revision)
    if note in folded.evaluated and mutant != "no_note_id_check":
        return advanced, f"repeat of note {note}"
    evaluated = tuple(sorted({*folded.evaluated, note}))
    advanced = advanced._replace(evaluated=evaluated)
    touched = TOUCHED_BY_NOTE[note]
    has_conflict = any(folded.revisions[name] > 0 for name in touched)
    if has_conflict and mutant != "no_conflict_check":
        return advanced, f"conflict of note {note}"
    notes, revisions = list(folded.notes), list(folded.revisions)
    for name in touched:
        notes[name], revisions[name] = note, revision
    accepted = advanced._replace(notes=tuple(notes), revisions=tuple(revisions))
    return accepted, f"note {note} accepted"


def _snapshot_steps(state: ReleaseState, index: int, instance: Instance):
    if not instance.is_ready or not instance.folded.offset:
        return
    for copy in state.copies:
        # A writer may restart before this step; the first chunk then remains.
        if copy[1:] == (BEGUN, index):
            whole = (copy[0], WHOLE, NO_WRITER)
            yield f"i{index} ends its snapshot", _with_copy(state, whole, copy)
    for replaced in (None, *state.copies):
        # Beyond MAX_COPIES, a new copy replaces one that is lost or expires.
        if replaced is None and len(state.copies) == MAX_COPIES:
            continue
        if replaced is not None and len(state.copies) < MAX_COPIES:
            continue
        begun = (instance.folded, BEGUN, index)
        yield f"i{index} begins a snapshot", _with_copy(state, begun, replaced)
        sent = (instance.folded, SENT, NO_WRITER)
        yield f"i{index} sends its state", _with_copy(state, sent, replaced)


def _with_copy(
    state: ReleaseState, copy: tuple, replaced: tuple | None
) -> ReleaseState:
    copies = {other for other in state.copies if other != replaced} | {copy}
    # A whole snapshot that covers the dropped records has to remain.
    is_covered = state.kept_from == 0 or any(
        kind == WHOLE and folded.offset >= state.kept_from for folded, kind, _ in copies
    )
    return state._replace(copies=tuple(sorted(copies))) if is_covered else state


def _restore_steps(state: ReleaseState, index: int, instance: Instance, mutant: str):
    for folded, kind, _ in state.copies:
        if kind == SENT:
            yield from _restore(
                state, index, instance, folded, "its peer's state", mutant
            )
        elif kind == WHOLE:
            restored = folded
            if mutant == "snapshot_without_offset":
                restored = folded._replace(offset=state.kept_from)
            yield from _restore(state, index, instance, restored, "a snapshot", mutant)
        elif mutant == "partial_snapshot":
            first = FIRST_CHUNK_OBJECTS
            part = folded._replace(
                notes=folded.notes[:first] + instance.folded.notes[first:],
                revisions=folded.revisions[:first] + instance.folded.revisions[first:],
            )
            yield from _restore(state, index, instance, part, "a part", mutant)


def _restore(
    state: ReleaseState,
    index: int,
    instance: Instance,
    folded: Folded,
    source: str,
    mutant: str,
):
    is_newer = folded.offset > instance.folded.offset
    if is_newer or mutant in ("no_monotonic_offset", "snapshot_without_offset"):
        restored = _with_instance(state, index, instance._replace(folded=folded))
        yield f"i{index} takes {source} up to {folded.offset}", restored


def _canonical_state(state: ReleaseState, mutant: str) -> ReleaseState:
    """Return the representative of states that differ only in the instances' order.

    Mutants keep all states, so that an index means the same instance throughout
    a trace.
    """
    first, second = state.instances
    if mutant or first <= second:
        return state
    copies = tuple(
        sorted(
            (folded, kind, writer if writer == NO_WRITER else 1 - writer)
            for folded, kind, writer in state.copies
        )
    )
    return state._replace(instances=(second, first), copies=copies)


def _never_reverts(fields: dict) -> bool:
    """Whether no ready instance is behind an offset that was in force on it before."""
    return all(
        not instance.is_ready or instance.folded.offset >= instance.highest
        for instance in fields["instances"]
    )


def _takes_effect_once(fields: dict) -> bool:
    """Whether at most one record of each note has another verdict than a repeat."""
    evaluated = [v for v in fields["verdicts"] if v and not v.startswith("repeat")]
    notes = [next(c for c in verdict if c.isdigit()) for verdict in evaluated]
    return len(notes) == len(set(notes))


def _notes_are_whole(fields: dict) -> bool:
    """Whether all changes of the accepted notes and none of others are in force."""
    return all(
        _has_whole_notes(instance.folded, fields["verdicts"])
        for instance in fields["instances"]
        if instance.is_ready
    )


def _has_whole_notes(folded: Folded, verdicts: tuple[str, ...]) -> bool:
    for note, touched in TOUCHED_BY_NOTE.items():
        verdict = f"note {note} accepted"
        is_accepted = verdict in verdicts[: folded.offset]
        for name in touched:
            if is_accepted and folded.revisions[name] <= verdicts.index(verdict):
                return False
            if not is_accepted and folded.notes[name] == note:
                return False
    return True


def _racing_notes_conflict(fields: dict) -> bool:
    """Whether one of two notes against one revision that share an object is refused."""
    accepted = [
        note
        for note in TOUCHED_BY_NOTE
        if f"note {note} accepted" in fields["verdicts"]
    ]
    touched = [name for note in accepted for name in TOUCHED_BY_NOTE[note]]
    return len(touched) == len(set(touched))


def _disjoint_notes_are_accepted(fields: dict) -> bool:
    """Whether note 3, which shares no object with the others, is never refused."""
    return "conflict of note 3" not in fields["verdicts"]


def release_protocol(mutant: str = "") -> Protocol:
    """Return the model, with one protection removed if ``mutant`` names it."""
    return Protocol(
        name=f"releases{'-' + mutant if mutant else ''}",
        candidate=bool(mutant),
        fields=ReleaseState._fields,
        initial=tuple(ReleaseState()),
        transitions=lambda raw: [
            (name, tuple(_canonical_state(after, mutant)))
            for name, after in steps(ReleaseState(*raw), mutant)
        ],
        invariants={
            "in_force_never_reverts": _never_reverts,
            "same_verdict_everywhere": lambda f: not f["has_differed"],
            "note_takes_effect_once": _takes_effect_once,
            "whole_or_nothing": _notes_are_whole,
            "racing_notes_conflict": _racing_notes_conflict,
            "disjoint_notes_both_stand": _disjoint_notes_are_accepted,
        },
    )
