"""Verdicts of the fold: atomicity, conflicts, repeats and dropped entries."""

import importlib
import json
import zlib

import cbor2
import pytest

from ragwortshelf.core.model import Withdrawal
from ragwortshelf.core.releases import (
    Accepted,
    Duplicate,
    Halted,
    RefusalReason,
    ReleaseState,
    configuration_to_json,
    entry_to_json,
    fold,
    restore,
    snapshot,
)
from ragwortshelf.core.streams import ReleaseSubmitted, Undecodable

folding = importlib.import_module("ragwortshelf.core.releases.folding")

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


def test_a_repeat_has_no_effect_and_a_conflict_names_the_other_author():
    first = record("n1", -1, BASE)
    late = record("n2", -1, {"organisations": {"changed": {"loans": {"weight": 2}}}})
    state, verdicts = folded(first, first, late)
    assert verdicts[:2] == [Accepted(0), Duplicate(0)]
    assert verdicts[2].reason is RefusalReason.CONFLICT
    assert [c.object for c in verdicts[2].conflicts] == ["organisations.loans"]
    assert verdicts[2].conflicts[0].author == "ayse"
    assert state.configuration.revision == 0
    assert restore(snapshot(state)) == state


def fault_paths(verdict):
    assert verdict.reason is RefusalReason.INVALID
    return [fault.path for fault in verdict.faults]


def test_concurrent_notes_on_different_objects_are_both_accepted():
    organisation = {"organisations": {"changed": {"loans": {"weight": 2}}}}
    rules = {"rules": {"changed": {"retry_budget": 7}}}
    state, verdicts = folded(
        record("n1", -1, BASE),
        record("n2", 0, organisation, "ayse"),
        record("n3", 0, rules, "jon"),
        record("n4", 0, rules, "mikel"),
    )
    assert verdicts[1:3] == [Accepted(1), Accepted(2)]
    assert (verdicts[3].conflicts[0].author, verdicts[3].conflicts[0].revision) == (
        "jon",
        2,
    )
    assert state.configuration.organisations_by_name["loans"].weight == 2
    assert state.configuration.rule("retry_budget", 0) == 7
    view = configuration_to_json(state.configuration)
    assert (view["revision"], view["rules"]) == (2, {"retry_budget": 7})
    assert json.loads(json.dumps(entry_to_json(state.history[3])))["conflicts"]


@pytest.mark.parametrize(
    "parts, path",
    [
        ({"organisations": {"added": {"loans": {}}}}, "organisations.added.loans"),
        (
            {"organisations": {"changed": {"x": {"weight": 1}}}},
            "organisations.changed.x",
        ),
        (
            {"rules": {"withdrawn": ["time_stop_factor"]}},
            "rules.withdrawn.time_stop_factor",
        ),
        (
            {"organisations": {"added": {"x": {"guarantees": [SHAPE, SHAPE]}}}},
            "organisations.added.x.guarantees",
        ),
        (
            {"organisations": {"changed": {"loans": {"quota_accelerators": 7}}}},
            "organisations.changed.loans.quota_accelerators",
        ),
        (
            {"organisations": {"changed": {"loans": {"home_region": "south"}}}},
            "organisations.changed.loans.home_region",
        ),
        (
            {"data_centres": {"changed": {"dc1": {"racks": []}}}},
            "data_centres.changed.dc1",
        ),
        (
            {"data_centres": {"added": {"dc2": {"region": "n", "racks": [RACK]}}}},
            "data_centres.added.dc2.racks",
        ),
        (
            {
                "data_centres": {
                    "withdrawn": {"dc1": {"waiting": "refuse", "running": "stop"}}
                }
            },
            "organisations.guarantees[0].data_centre",
        ),
    ],
)
def test_a_fault_in_one_part_leaves_the_whole_note_without_effect(parts, path):
    parts = {**parts, "rules": {"added": {"queue_limit": 9}, **parts.get("rules", {})}}
    state, verdicts = folded(record("n1", -1, BASE), record("n2", 0, parts))
    assert path in fault_paths(verdicts[1])
    assert state.configuration.revision == 0
    assert "queue_limit" not in state.configuration.rules_by_name


def test_one_note_may_move_a_guarantee_between_organisations():
    parts = {
        "organisations": {
            "withdrawn": {"loans": {"waiting": "finish", "running": "stop"}},
            "added": {"grants": {"guarantees": [{**SHAPE, "count": 2}]}},
        }
    }
    state, verdicts = folded(record("n1", -1, BASE), record("n2", 0, parts))
    assert verdicts[1] == Accepted(1)
    assert state.configuration.withdrawn_organisations_by_name == {
        "loans": Withdrawal("loans", "finish", "stop", "charge", 1)
    }
    state, _ = folded(
        record("n3", 1, {"organisations": {"added": {"loans": {}}}}), state=state
    )
    assert not state.configuration.withdrawn_organisations_by_name


def test_an_old_note_cannot_add_a_withdrawn_name_whose_change_was_dropped(monkeypatch):
    monkeypatch.setattr(folding, "MAX_WITHDRAWN_KEPT", 0)
    add = {"rules": {"added": {"queue_limit": 5}}}
    remove = {"rules": {"withdrawn": ["queue_limit"]}}
    _, verdicts = folded(
        record("n1", -1, BASE),
        record("n2", 0, add),
        record("n3", 1, remove),
        record("n4", 0, add),
        record("n5", 2, add),
    )
    assert verdicts[3].reason is RefusalReason.TOO_OLD
    assert verdicts[4] == Accepted(4)


def test_a_repeat_of_a_refused_note_whose_entry_was_dropped_is_not_accepted(
    monkeypatch,
):
    monkeypatch.setattr(folding, "MAX_NOTES_KEPT", 2)
    too_much = {"organisations": {"added": {"x": {"guarantees": [SHAPE, SHAPE]}}}}
    freed = {"organisations": {"changed": {"loans": {"guarantees": []}}}}
    delayed = record("n2", 0, too_much)
    state, verdicts = folded(
        record("n1", -1, BASE),
        delayed,
        record("n3", 0, freed),
        record("n4", 2, {"rules": {"changed": {"retry_budget": 2}}}),
        delayed,
    )
    assert fault_paths(verdicts[1]) == ["organisations.added.x.guarantees"]
    assert verdicts[4].reason is RefusalReason.TOO_OLD
    assert "x" not in state.configuration.organisations_by_name


def test_a_future_revision_and_a_record_of_another_note_are_refused():
    other = record("n1", -1, BASE)
    foreign = ReleaseSubmitted("n9", "jon", other.note_json, 0)
    _, verdicts = folded(foreign, record("n2", 5, BASE))
    assert fault_paths(verdicts[0]) == ["note_id", "author"]
    assert fault_paths(verdicts[1]) == ["against_revision"]


def test_an_older_version_halts_at_a_newer_format_and_rejects_later_states():
    """In a rolling upgrade, a newer version accepts a note this one cannot evaluate."""
    newer = record("n2", 0, {"format": 2, "holidays": {"added": {"x": {}}}})
    after = record("n3", 0, {"rules": {"changed": {"retry_budget": 2}}})
    state, verdicts = folded(record("n1", -1, BASE), newer, after)
    assert verdicts[1:] == [Halted(2), Halted(2)]
    assert (state.configuration.revision, state.next_offset) == (0, 1)
    assert not restore(snapshot(state)).is_halted
    fields = cbor2.loads(zlib.decompress(snapshot(state)))
    fields["state"]["calendars"] = {}
    assert restore(zlib.compress(cbor2.dumps(fields))).configuration.revision == 0
    fields["state"]["format"] = 2
    assert isinstance(restore(zlib.compress(cbor2.dumps(fields))), Undecodable)
    assert isinstance(restore(b"nonsense"), Undecodable)
