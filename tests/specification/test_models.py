"""The invariants of the models hold, and each protection is needed for them."""

import pytest
from minicheck import Protocol

from specification.__main__ import main
from specification.models import MODELS, MUTANTS, Model, check_model

INVARIANTS_BY_PROTOCOL = {
    "endpoint_restarts": {"nothing_runs_once_it_may_start_elsewhere"},
    "lease_hand_over": {"no_lease_once_it_may_start_elsewhere"},
    "lease_reports": {"no_lease_once_it_may_start_elsewhere"},
    "leases": {
        "non_idempotent_runs_at_most_once",
        "not_run_did_not_run",
        "no_gang_on_a_part_of_its_group",
        "nothing_runs_after_its_recorded_end",
    },
    "releases": {
        "in_force_never_reverts",
        "same_verdict_everywhere",
        "note_takes_effect_once",
        "whole_or_nothing",
        "racing_notes_conflict",
        "disjoint_notes_both_stand",
    },
    "request_ids": {
        "non_idempotent_sent_at_most_once",
        "non_idempotent_runs_at_most_once",
        "not_run_did_not_run",
    },
}


@pytest.mark.parametrize("model", MODELS, ids=lambda model: model.name)
def test_every_invariant_holds_in_all_states(model):
    outcome = check_model(model)
    invariants = INVARIANTS_BY_PROTOCOL[model.name.partition("/")[0]]
    assert outcome.is_exhaustive
    assert outcome.verdict_by_invariant == dict.fromkeys(invariants, True)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_each_protection_is_needed(mutant, capsys):
    assert main(["--mutant", mutant]) == 0
    assert f"{mutant}: " in capsys.readouterr().out


def test_unknown_mutant_is_refused(capsys):
    assert main(["--mutant", "no_such_thing"]) == 2
    assert "no_such_thing" in capsys.readouterr().err


def counter(limit):
    return Protocol(
        "counter",
        False,
        ("n",),
        (0,),
        lambda state: [("up", (state[0] + 1,))] if state[0] < limit else [],
        {"small": lambda fields: fields["n"] < 5},
    )


@pytest.mark.parametrize(
    ("limit", "bound", "verdict", "status"),
    [(4, 10, "holds", 0), (9, 10, "VIOLATED", 1), (9, 3, "UNDETERMINED", 1)],
)
def test_command_fails_if_an_invariant_is_violated_or_undetermined(
    limit, bound, verdict, status, monkeypatch, capsys
):
    model = Model("counter", lambda mutant: counter(limit), ())
    monkeypatch.setattr("specification.__main__.MODELS", (model,))
    monkeypatch.setattr("specification.models.MAX_BASE_STATES", bound)
    assert main([]) == status
    assert f"small: {verdict}" in capsys.readouterr().out


def test_mutant_without_counterexample_fails(monkeypatch, capsys):
    model = Model("counter", lambda mutant: counter(4), ("idle",))
    monkeypatch.setattr("specification.models.MODELS", (model,))
    monkeypatch.setattr("specification.__main__.MUTANTS", ("idle",))
    assert main(["--mutant", "idle"]) == 1
    assert "NO counter-example" in capsys.readouterr().out
