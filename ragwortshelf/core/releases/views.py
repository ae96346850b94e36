"""JSON values of configurations, verdicts and the history of notes for the API."""

from __future__ import annotations

from ..model import Configuration
from ..streams.codec import to_plain
from .state import Accepted, Duplicate, Halted, NoteEntry, Refused, Verdict

__all__ = ["configuration_to_json", "entry_to_json", "verdict_to_json"]


def configuration_to_json(configuration: Configuration) -> dict:
    """Return the configuration as JSON values, with the same keys as a note."""
    return {
        "revision": configuration.revision,
        "organisations": _plain_by_name(configuration.organisations_by_name),
        "data_centres": _plain_by_name(configuration.data_centres_by_name),
        "rules": {
            name: rule.value for name, rule in configuration.rules_by_name.items()
        },
        "withdrawn": {
            "organisations": _plain_by_name(
                configuration.withdrawn_organisations_by_name
            ),
            "data_centres": _plain_by_name(
                configuration.withdrawn_data_centres_by_name
            ),
        },
    }


def verdict_to_json(verdict: Verdict) -> dict:
    """Return a verdict as JSON values; the key ``verdict`` holds its kind.

    >>> verdict_to_json(Accepted(7))
    {'verdict': 'accepted', 'revision': 7}
    """
    kind_by_type = {
        Accepted: "accepted",
        Refused: "refused",
        Duplicate: "duplicate",
        Halted: "halted",
    }
    return {"verdict": kind_by_type[type(verdict)], **to_plain(verdict)}


def entry_to_json(entry: NoteEntry) -> dict:
    """Return an evaluated note with its verdict as JSON values."""
    return {
        "note_id": entry.note_id,
        "author": entry.author,
        "purpose": entry.purpose,
        "offset": entry.offset,
        "against_revision": entry.against_revision,
        "submitted_wall_ms": entry.submitted_wall_ms,
        "touched": list(entry.touched),
        **verdict_to_json(entry.verdict),
    }


def _plain_by_name(objects_by_name):
    return {name: to_plain(item) for name, item in objects_by_name.items()}
