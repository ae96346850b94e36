"""The models by name, their sizes, and the search that gives the verdicts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from minicheck import Protocol, check_safety

from .leases import LEASE_MUTANTS, SCENARIOS, lease_protocol
from .releases import RELEASE_MUTANTS, release_protocol
from .request_ids import REQUEST_ID_MUTANTS, request_id_protocol

__all__ = ["MODELS", "MUTANTS", "Finding", "Model", "find", "shortest"]

MAX_BASE_STATES = 2_000_000
"""A base search that meets this bound is undetermined, which counts as a failure."""

MUTANT_BOUNDS = (2_000, 20_000, 80_000)
"""Searches for a mutant's counter-example, each wider than the one before."""


@dataclass(frozen=True, slots=True)
class Model:
    """One model: ``build`` takes the name of a mutant, "" being none."""

    name: str
    build: Callable[[str], Protocol]
    mutants: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """What a search found.

    ``verdict_by_invariant`` holds True, False, or None if the search was cut short
    before any violation. ``trace_by_invariant`` holds shortest traces of the violated
    ones, as lists of (label, state fields), the first label being None.
    """

    model: str
    states: int
    is_exhaustive: bool
    verdict_by_invariant: dict[str, bool | None]
    trace_by_invariant: dict[str, list]

    @property
    def holds(self) -> bool:
        """Whether every invariant is proved for all states of the model."""
        verdicts = self.verdict_by_invariant.values()
        return self.is_exhaustive and all(verdict is True for verdict in verdicts)


def _leases(scenario: str) -> Callable[[str], Protocol]:
    return lambda mutant: lease_protocol(scenario, mutant)


MODELS = (
    *(Model(f"leases/{name}", _leases(name), LEASE_MUTANTS) for name in SCENARIOS),
    Model("releases", release_protocol, RELEASE_MUTANTS),
    Model("request_ids", request_id_protocol, REQUEST_ID_MUTANTS),
)

MUTANTS = tuple(dict.fromkeys(name for model in MODELS for name in model.mutants))


def find(model: Model, mutant: str = "") -> Finding:
    """Search the model, with one protection removed if ``mutant`` names it.

    The search goes in breadth, so the first violation that a narrow search meets is
    also the shortest; only a mutant that it misses is searched more widely.
    """
    if not mutant:
        return _search(model, mutant, MAX_BASE_STATES)
    for bound in MUTANT_BOUNDS:
        finding = _search(model, mutant, bound)
        if finding.trace_by_invariant or finding.is_exhaustive:
            break
    return finding


def _search(model: Model, mutant: str, max_states: int) -> Finding:
    result = check_safety(model.build(mutant), max_states=max_states)
    properties = result["properties"]
    return Finding(
        model.name,
        result["reachable_states"],
        result["exhaustive"],
        {name: found["holds"] for name, found in properties.items()},
        {
            name: [(step["label"], step["state"]) for step in found["counterexample"]]
            for name, found in properties.items()
            if found["holds"] is False
        },
    )


def shortest(mutant: str) -> tuple[Finding, str] | None:
    """Return the finding and the invariant of the mutant's shortest counter-example.

    None means that no model that has the protection misses it: the protection, or an
    invariant, is then worth nothing.
    """
    model = next(model for model in MODELS if mutant in model.mutants)
    finding = find(model, mutant)
    traces = finding.trace_by_invariant
    if not traces:
        return None
    return finding, min(traces, key=lambda name: len(traces[name]))
