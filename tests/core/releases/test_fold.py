"""Verdicts of the fold: whole or nothing, conflicts, repeats, what it forgets."""

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


def paths(verdict):
    assert verdict.reason is RefusalReason.INVALID
    return [fault.path for fault in verdict.faults]


def test_disjoint_changes_of_racing_authors_both_stand():
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
    assert path in paths(verdicts[1])
    assert state.configuration.revision == 0
    assert "queue_limit" not in state.configuration.rules_by_name


def test_an_organisation_may_move_its_guarantee_to_another_in_one_note():
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


def test_a_stale_author_cannot_add_a_withdrawn_name_that_was_forgotten(monkeypatch):
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


def test_a_refused_note_is_not_accepted_when_its_copy_comes_after_forgetting(
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
    assert paths(verdicts[1]) == ["organisations.added.x.guarantees"]
    assert verdicts[4].reason is RefusalReason.TOO_OLD
    assert "x" not in state.configuration.organisations_by_name


def test_a_revision_that_nobody_read_and_a_foreign_id_are_refused():
    other = record("n1", -1, BASE)
    foreign = ReleaseSubmitted("n9", "jon", other.note_json, 0)
    _, verdicts = folded(foreign, record("n2", 5, BASE))
    assert paths(verdicts[0]) == ["note_id", "author"]
    assert paths(verdicts[1]) == ["against_revision"]


def test_an_older_version_stops_at_a_newer_format_and_takes_no_state_past_it():
    """A rolling upgrade: what the older version cannot judge it does not guess."""
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
