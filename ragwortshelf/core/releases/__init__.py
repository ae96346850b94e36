"""Release notes and the configuration that results from them.

``parse_note`` checks a note by itself, ``fold`` evaluates it against all notes before
it, and ``ReleaseState`` holds the configuration in force and the recent notes.
"""

from .feasibility import packing_fault
from .folding import MAX_NOTES_KEPT, fold, verdict_at
from .note import (
    NOTE_FORMAT,
    Changes,
    DataCentreChange,
    Fault,
    OrganisationChange,
    ReleaseNote,
    note_to_json,
    touched_objects,
)
from .parse import parse_note
from .rules import RULES_BY_NAME, RuleSpec, rule_fault, rule_value
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
    restore,
    snapshot,
)
from .views import configuration_to_json, entry_to_json, verdict_to_json

__all__ = [
    "MAX_NOTES_KEPT",
    "fold",
    "verdict_at",
    "NOTE_FORMAT",
    "Changes",
    "DataCentreChange",
    "Fault",
    "OrganisationChange",
    "ReleaseNote",
    "note_to_json",
    "touched_objects",
    "packing_fault",
    "parse_note",
    "RULES_BY_NAME",
    "RuleSpec",
    "rule_fault",
    "rule_value",
    "Accepted",
    "Conflict",
    "Duplicate",
    "Halted",
    "LastChange",
    "NoteEntry",
    "RefusalReason",
    "Refused",
    "ReleaseState",
    "Verdict",
    "restore",
    "snapshot",
    "configuration_to_json",
    "entry_to_json",
    "verdict_to_json",
]
