"""Verdicts of the fold: whole or nothing, conflicts, repeats, what it forgets."""

import json

from ragwortshelf.core.releases import (
    Accepted,
    Duplicate,
    RefusalReason,
    ReleaseState,
    fold,
    restore,
    snapshot,
)
from ragwortshelf.core.streams import ReleaseSubmitted

RACK = {"name": "r1", "workers": ["w1", "w2"], "accelerators_per_worker": 8}
SHAPE = {"data_centre": "dc1", "accelerators": 8, "adjacency": "worker", "count": 1}
BASE = {
    "data_centres": {"added": {"dc1": {"region": "north", "racks": [RACK]}}},
    "organisations": {"added": {"loans": {"guarantees": [SHAPE]}}},
    "rules": {"added": {"retry_budget": 5}},
}


def record(note_id, against, parts, author="ayse"):
    note = {"note_id": note_id, "against_revision": against, "author": author}
    return ReleaseSubmitted(note_id, author, json.dumps({**note, **parts}), 0)


def folded(*records, state=None):
    """Fold records at the next offsets; return the state and all verdicts."""
    state = ReleaseState() if state is None else state
    verdicts = []
    for item in records:
        state, verdict = fold(state, state.next_offset, item)
        verdicts.append(verdict)
    return state, verdicts


def test_a_note_takes_effect_once_and_a_late_author_is_told_who_changed_what():
    first = record("n1", -1, BASE)
    late = record("n2", -1, {"organisations": {"changed": {"loans": {"weight": 2}}}})
    state, verdicts = folded(first, first, late)
    assert verdicts[:2] == [Accepted(0), Duplicate(0)]
    assert verdicts[2].reason is RefusalReason.CONFLICT
    assert [c.object for c in verdicts[2].conflicts] == ["organisations.loans"]
    assert verdicts[2].conflicts[0].author == "ayse"
    assert state.configuration.revision == 0
    assert restore(snapshot(state)) == state
