"""The fold on several instances, compared with a reference fold.

Appends are repeated, lost, delayed and concurrent. Instances read overlapping pages,
restart from snapshots, lose records to retention, and adopt states of peers, also old
ones.
"""

import importlib
import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ragwortshelf.core.releases import (
    Accepted,
    Duplicate,
    RefusalReason,
    Refused,
    ReleaseState,
    fold,
    restore,
    snapshot,
)
from ragwortshelf.core.streams import (
    Delivery,
    ReleaseSubmitted,
    Skipped,
    StreamFollower,
    encode_record,
)

folding = importlib.import_module("ragwortshelf.core.releases.folding")

NAMES = ("alpha", "beta", "gamma")
RULES = ("retry_budget", "queue_limit")
CAPACITY = 8
BASE = {
    "data_centres": {
        "added": {
            "dc1": {
                "region": "north",
                "racks": [
                    {"name": "r", "workers": ["w"], "accelerators_per_worker": CAPACITY}
                ],
            }
        }
    }
}
WITHDRAWAL = {"waiting": "refuse", "running": "stop"}


class ReferenceFold:
    """Reference fold that never drops a record and keeps objects in plain dicts."""

    def __init__(self):
        self.accelerators_by_name = {}
        self.weight_by_name = {}
        self.rules = {}
        self.revision = -1
        self.changed_at = {}
        self.text_by_id = {}

    def evaluate(self, offset, record):
        """Return accepted, refused or duplicate, and apply an accepted note."""
        if record.note_id in self.text_by_id:
            is_repeat = self.text_by_id[record.note_id] == record.note_json
            return "duplicate" if is_repeat else "refused"
        self.text_by_id[record.note_id] = record.note_json
        note = json.loads(record.note_json)
        against = note["against_revision"]
        touched = [
            (kind, name)
            for kind in ("organisations", "rules", "data_centres")
            for names in note.get(kind, {}).values()
            for name in names
        ]
        if against > self.revision or any(
            self.changed_at.get(item, -1) > against for item in touched
        ):
            return "refused"
        if not self._apply(note):
            return "refused"
        self.revision = offset
        self.changed_at.update(dict.fromkeys(touched, offset))
        return "accepted"

    def _apply(self, note):
        accelerators_by_name = dict(self.accelerators_by_name)
        weights = dict(self.weight_by_name)
        rules = dict(self.rules)
        parts = note.get("organisations", {})
        for name, fields in parts.get("added", {}).items():
            if name in accelerators_by_name:
                return False
            accelerators_by_name[name] = sum(
                s["accelerators"] for s in fields.get("guarantees", [])
            )
            weights[name] = fields.get("weight", 1)
        for name, fields in parts.get("changed", {}).items():
            if name not in accelerators_by_name:
                return False
            weights[name] = fields.get("weight", weights[name])
            if "guarantees" in fields:
                accelerators_by_name[name] = sum(
                    s["accelerators"] for s in fields["guarantees"]
                )
        for name in parts.get("withdrawn", {}):
            if accelerators_by_name.pop(name, None) is None:
                return False
            del weights[name]
        for name, value in note.get("rules", {}).get("added", {}).items():
            if name in rules:
                return False
            rules[name] = value
        for name, value in note.get("rules", {}).get("changed", {}).items():
            if name not in rules:
                return False
            rules[name] = value
        if sum(accelerators_by_name.values()) > CAPACITY:
            return False
        self.accelerators_by_name, self.weight_by_name, self.rules = (
            accelerators_by_name,
            weights,
            rules,
        )
        return True


class Instance:
    """Position and state of one process, both lost at a restart."""

    def __init__(self):
        self.follower = StreamFollower("releases")
        self.state = ReleaseState()

    def adopt(self, next_offset, data):
        if next_offset > self.follower.next_offset:
            self.state = restore(data)
            self.follower.advance_to(next_offset)

    def state_for_peer(self):
        return self.follower.next_offset, snapshot(self.state)


organisation_fields = st.fixed_dictionaries(
    {},
    optional={
        "weight": st.integers(1, 9),
        "guarantees": st.lists(
            st.fixed_dictionaries(
                {"data_centre": st.just("dc1"), "accelerators": st.integers(1, 3)}
            ),
            max_size=2,
        ),
    },
).filter(bool)
changes = st.one_of(
    st.tuples(st.just("organisations"), st.sampled_from(NAMES), organisation_fields),
    st.tuples(st.just("organisations"), st.sampled_from(NAMES), st.none()),
    st.tuples(st.just("rules"), st.sampled_from(RULES), st.integers(1, 9)),
)
# Revisions by which a note lags behind the newest one: mostly none. An author of lag 99
# does not read the new records before writing.
lags = st.sampled_from([0, 0, 0, 1, 2, 99])
instances = st.integers(0, 2)


class FoldMachine(RuleBasedStateMachine):
    detects_reused_ids = True

    def __init__(self):
        super().__init__()
        self.stored = []
        self.first_available = 0
        self.reference_fold = ReferenceFold()
        self.verdict_by_offset = {}
        self.delayed = []
        self.snapshots = []
        self.old_peer_states = []
        self.instances = [Instance() for _ in range(3)]
        self.highest_revision = [-1] * 3
        self.note_count = 0
        self._append(self._note(-1, BASE))

    def _note(self, against, parts, note_id=None):
        self.note_count += 1
        note_id = note_id or f"n{self.note_count}"
        note = {"note_id": note_id, "against_revision": against, "author": "ayse"}
        return ReleaseSubmitted(note_id, "ayse", json.dumps({**note, **parts}), 0)

    def _append(self, record):
        self.stored.append(encode_record(record))
        offset = len(self.stored) - 1
        self.verdict_by_offset[offset] = (
            record,
            self.reference_fold.evaluate(offset, record),
        )

    def _written_note(self, author, lag, change):
        """Return a note against the revision ``lag`` before the author's newest one."""
        if lag < 99:
            self.read(author, 0, len(self.stored))
        revision = self.instances[author].state.configuration.revision
        kind, name, value = change
        exists = (
            name in self.reference_fold.rules
            or name in self.reference_fold.weight_by_name
        )
        if value is None:
            parts = {"withdrawn": {name: WITHDRAWAL}}
        else:
            parts = {"changed" if exists else "added": {name: value}}
        return self._note(max(-1, revision - lag % 99), {kind: parts})

    @rule(author=instances, lag=lags, change=changes)
    def write(self, author, lag, change):
        self._append(self._written_note(author, lag, change))

    @rule(author=instances, lag=lags, change=changes, other=changes)
    def race(self, author, lag, change, other):
        """Append two notes against the same revision."""
        notes = [self._written_note(author, lag, item) for item in (change, other)]
        for note in notes:
            self._append(note)

    @rule(author=instances, lag=lags, change=changes)
    def write_and_delay(self, author, lag, change):
        self.delayed.append(self._written_note(author, lag, change))

    @rule()
    def deliver_delayed(self):
        if self.delayed:
            self._append(self.delayed.pop(0))

    @rule(back=st.integers(1, 30), other_text=st.booleans())
    def repeat(self, back, other_text):
        """Repeat an earlier append, or append another note with its id."""
        evaluated = list(self.verdict_by_offset.values())
        record, _ = evaluated[-min(back, len(evaluated))]
        if other_text and self.detects_reused_ids:
            revision = self.instances[0].state.configuration.revision
            rules = {"rules": {"changed": {"queue_limit": 7}}}
            record = self._note(revision, rules, record.note_id)
        self._append(record)

    @rule()
    def append_unreadable(self):
        self.stored.append(b"\xffunreadable")

    @rule(index=instances, back=st.integers(0, 4), count=st.integers(1, 9))
    def read(self, index, back, count):
        """Take a page that may start before the position of the instance."""
        instance = self.instances[index]
        if instance.follower.next_offset < self.first_available:
            instance.follower.mark_truncated(self.first_available, len(self.stored))
            assert instance.follower.is_missing_records
            return
        start = max(self.first_available, instance.follower.next_offset - back)
        page = tuple(self.stored[start : start + count])
        for item in instance.follower.deliver(start, page, len(self.stored)):
            if not isinstance(item, Skipped):
                self._fold(instance, item)

    def _fold(self, instance, item: Delivery):
        instance.state, verdict = fold(instance.state, item.offset, item.record)
        again, same_verdict = fold(instance.state, item.offset, item.record)
        assert (again, same_verdict) == (instance.state, verdict)
        _, expected = self.verdict_by_offset[item.offset]
        if isinstance(verdict, Accepted):
            assert expected == "accepted"
        elif isinstance(verdict, Duplicate):
            assert expected == "duplicate"
        elif verdict.reason is not RefusalReason.TOO_OLD:
            # A small fold evaluates the repeat of a refused note again once the note's
            # entry was dropped; the reference fold reports a duplicate.
            assert expected == "refused" or folding.MAX_NOTES_KEPT < 100
            assert expected != "accepted"
        else:
            assert expected != "accepted"

    @rule(index=instances)
    def write_snapshot(self, index):
        self.snapshots.append(self.instances[index].state_for_peer())

    @rule(index=instances)
    def restart(self, index):
        """Restart from the newest snapshot, or a peer's state, and read to the end."""
        self.instances[index] = fresh = Instance()
        if self.snapshots:
            fresh.adopt(*max(self.snapshots, key=lambda pair: pair[0]))
        self.read(index, 0, len(self.stored))
        if fresh.follower.is_missing_records:
            fresh.adopt(
                *max((i.state_for_peer() for i in self.instances), key=lambda p: p[0])
            )
            self.read(index, 0, len(self.stored))

    @rule(keep=st.integers(0, 10))
    def expire(self, keep):
        """Expire records that a snapshot covers."""
        covered = max((offset for offset, _ in self.snapshots), default=0)
        self.first_available = max(
            self.first_available, min(covered, len(self.stored) - keep)
        )

    @rule(index=instances, peer=instances, keeps=st.booleans())
    def hand_over(self, index, peer, keeps):
        state = self.instances[peer].state_for_peer()
        self.instances[index].adopt(*state)
        if keeps:
            self.old_peer_states.append(state)

    @rule(index=instances)
    def adopt_old_peer_state(self, index):
        if self.old_peer_states:
            self.instances[index].adopt(*self.old_peer_states[0])

    @invariant()
    def revisions_never_decrease(self):
        for index, instance in enumerate(self.instances):
            revision = instance.state.configuration.revision
            assert revision >= self.highest_revision[index]
            self.highest_revision[index] = revision

    @invariant()
    def equal_positions_have_equal_states(self):
        state_by_position = {}
        for instance in self.instances:
            position = instance.follower.next_offset
            state = state_by_position.setdefault(position, instance.state)
            assert state == instance.state

    def teardown(self):
        for index, instance in enumerate(self.instances):
            if instance.follower.next_offset < self.first_available:
                self.restart(index)
            self.read(index, 0, len(self.stored))
        self.revisions_never_decrease()
        self.equal_positions_have_equal_states()
        configuration = self.instances[0].state.configuration
        assert configuration.revision == self.reference_fold.revision
        actual_organisations = {
            name: (item.weight, sum(s.accelerators for s in item.guarantees))
            for name, item in configuration.organisations_by_name.items()
        }
        assert actual_organisations == {
            name: (weight, self.reference_fold.accelerators_by_name[name])
            for name, weight in self.reference_fold.weight_by_name.items()
        }
        rules = configuration.rules_by_name
        assert {
            name: item.value for name, item in rules.items()
        } == self.reference_fold.rules


class SmallCapacityFoldMachine(FoldMachine):
    """The machine for a fold that keeps few notes.

    Notes that the fold refuses as too old are counted as refused by the reference fold.
    """

    # Another note with the id of a dropped note counts as a new note.
    detects_reused_ids = False

    def _append(self, record):
        state = getattr(self, "small_fold_state", ReleaseState())
        offset = len(self.stored)
        self.small_fold_state, verdict = fold(state, offset, record)
        if isinstance(verdict, Refused) and verdict.reason is RefusalReason.TOO_OLD:
            # The reference fold, which drops nothing, could give another verdict.
            self.stored.append(encode_record(record))
            self.reference_fold.text_by_id.setdefault(record.note_id, record.note_json)
            self.verdict_by_offset[offset] = (record, "refused")
            return
        super()._append(record)


SETTINGS = settings(stateful_step_count=60)


def test_the_fold_agrees_with_the_reference_fold():
    machine = FoldMachine.TestCase
    machine.settings = SETTINGS
    machine().runTest()


@pytest.mark.parametrize("max_kept", [1, 2, 3])
def test_a_fold_that_drops_entries_applies_no_note_twice(monkeypatch, max_kept):
    monkeypatch.setattr(folding, "MAX_NOTES_KEPT", max_kept)
    monkeypatch.setattr(folding, "MAX_WITHDRAWN_KEPT", max_kept)
    machine = SmallCapacityFoldMachine.TestCase
    machine.settings = SETTINGS
    machine().runTest()
