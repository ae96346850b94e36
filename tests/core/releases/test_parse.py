"""Parsing of notes: faults carry their path; valid notes survive a round trip."""

import ast
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

import ragwortshelf
from ragwortshelf.core.jobs.overruns import OverrunRules
from ragwortshelf.core.model import Adjacency, Shape
from ragwortshelf.core.releases import (
    RULES_BY_NAME,
    ReleaseNote,
    note_to_json,
    parse_note,
    rule_fault,
    touched_objects,
)

NOTE = """
note_id = "2026-12-more-loans"
against_revision = 41
author = "ayse"
purpose = "A second rack, and loans may use it."

[organisations.added.loans]
weight = 3
home_region = "ankara"
guarantees = [{data_centre = "ankara-1", accelerators = 16, adjacency = "rack"}]

[organisations.changed.postings]
quota_accelerators = "unlimited"

[organisations.withdrawn.audit]
waiting = "refuse"
running = "finish"
late_charges = "waive"

[data_centres.changed.ankara-1]
racks = [{name = "r1", workers = ["w1", "w2"], accelerators_per_worker = 8}]

[rules]
withdrawn = ["queue_limit"]
added.retry_budget = 2
changed.fragmentation_weight = 2
"""


def test_a_complete_note_survives_a_round_trip():
    note = parse_note(NOTE, "toml")
    loans = note.organisations.added_by_name["loans"]
    assert loans.guarantees == (Shape("ankara-1", 16, Adjacency.RACK, 1),)
    assert note.organisations.changed_by_name["postings"].quota_accelerators is None
    assert touched_objects(note) == (
        "organisations.loans",
        "organisations.postings",
        "organisations.audit",
        "data_centres.ankara-1",
        "rules.retry_budget",
        "rules.fragmentation_weight",
        "rules.queue_limit",
    )
    assert parse_note(note_to_json(note), "json") == note


VALID_FIELDS = {"note_id": "n", "against_revision": 0, "author": "a", "rules": {}}
RULE = {"added": {"queue_limit": 1}}


@pytest.mark.parametrize(
    "change, path",
    [
        ({"author": None}, "author"),
        ({"author": "a b"}, "author"),
        ({"against_revision": True}, "against_revision"),
        ({"against_revision": -2}, "against_revision"),
        ({"purpose": "\ud800"}, "purpose"),
        ({"format": 0}, "format"),
        ({"colour": 1}, "colour"),
        ({"rules": []}, "rules"),
        ({"rules": {"added": {"speed": 1}}}, "rules.added.speed"),
        ({"rules": {"added": {"queue_limit": 0}}}, "rules.added.queue_limit"),
        ({"rules": {**RULE, "withdrawn": ["queue_limit"]}}, ""),
        ({"rules": {"withdrawn": [3]}}, "rules.withdrawn[0]"),
        ({"rules": {}}, ""),
        ({"organisations": {"added": {"x y": {}}}}, "organisations.added.x y"),
        ({"organisations": {"changed": {"x": {}}}}, "organisations.changed.x"),
        (
            {"organisations": {"added": {"x": {"guarantees": [{"accelerators": 0}]}}}},
            "organisations.added.x.guarantees[0].accelerators",
        ),
        (
            {"organisations": {"added": {"x": {"guarantees": [{"adjacency": []}]}}}},
            "organisations.added.x.guarantees[0].adjacency",
        ),
        (
            {"organisations": {"withdrawn": {"x": {"waiting": "later"}}}},
            "organisations.withdrawn.x.running",
        ),
        ({"data_centres": {"added": {"d": {}}}}, "data_centres.added.d.region"),
        (
            {"data_centres": {"changed": {"d": {"racks": [{"workers": "w"}]}}}},
            "data_centres.changed.d.racks[0].workers",
        ),
    ],
)
def test_a_fault_is_reported_with_its_path(change, path):
    faults = parse_note(json.dumps({**VALID_FIELDS, "rules": RULE, **change}), "json")
    assert path in [fault.path for fault in faults]


def test_all_faults_are_listed_at_once():
    text = '{"author": 3, "rules": {"added": {"a": 1, "b": 2}}, "x": 0}'
    assert [fault.path for fault in parse_note(text, "json")] == [
        "x",
        "note_id",
        "against_revision",
        "author",
        "rules.added.a",
        "rules.added.b",
    ]


@pytest.mark.parametrize("text", ["[1]", "{", '{"a": 1, "a": 2}', "[" * 100_000])
def test_a_text_that_is_not_a_table_has_one_fault(text):
    (fault,) = parse_note(text, "json")
    assert fault.path == ""


KEYS = (
    *("organisations", "data_centres", "rules", "added", "changed", "withdrawn"),
    *("guarantees", "racks", "workers", "dc1", "loans", "weight", "waiting"),
)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(KEYS),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@given(json_values)
def test_any_json_value_is_parsed_to_a_note_or_to_faults(value):
    fields = {**VALID_FIELDS, **value} if isinstance(value, dict) else value
    note = parse_note(json.dumps(fields), "json")
    if isinstance(note, ReleaseNote):
        assert parse_note(note_to_json(note), "json") == note
    else:
        assert note


def test_every_rule_has_a_default_within_its_bounds():
    for name, spec in RULES_BY_NAME.items():
        assert rule_fault(name, spec.default) is None
        assert rule_fault(name, float("nan")) is not None


def _literal_rule_names():
    """Yield the literals passed to ``Configuration.rule`` and ``rule_value``."""
    for path in Path(ragwortshelf.__file__).parent.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, "attr", None) or getattr(node.func, "id", None)
            if name in ("rule", "rule_value"):
                yield from (a.value for a in node.args if isinstance(a, ast.Constant))


def test_code_reads_only_rules_that_operators_can_set():
    names = {name for name in _literal_rule_names() if isinstance(name, str)}
    assert {"retry_budget", "reclaim_grace_ms"} <= names
    assert names <= set(RULES_BY_NAME)
    assert set(OverrunRules.__dataclass_fields__) <= set(RULES_BY_NAME)
