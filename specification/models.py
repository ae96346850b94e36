"""The list of models, the bounds of the searches, and the search itself."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from minicheck import Protocol, check_safety

from .endpoint_restarts import RESTART_MUTANTS, endpoint_restart_protocol
from .lease_hand_over import HAND_OVER_MUTANTS, lease_hand_over_protocol
from .lease_reports import REPORT_MUTANTS, lease_report_protocol
from .leases import LEASE_MUTANTS, SCENARIOS, lease_protocol
from .releases import RELEASE_MUTANTS, release_protocol
from .request_ids import REQUEST_ID_MUTANTS, request_id_protocol

__all__ = [
    "MODELS",
    "MUTANTS",
    "CheckResult",
    "Model",
    "check_model",
    "find_counterexample",
]

MAX_BASE_STATES = 2_000_000
"""States after which a search without a mutant stops, which counts as a failure."""

MUTANT_BOUNDS = (2_000, 20_000, 80_000)
"""States after which the successive searches for a mutant's counterexample stop."""


@dataclass(frozen=True, slots=True)
class Model:
    """One model; ``build`` takes the name of a mutant, or "" for none."""

    name: str
    build: Callable[[str], Protocol]
    mutants: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of the search of one model.

    ``verdict_by_invariant`` holds True, False, or None if the search reached its bound
    without a violation. ``trace_by_invariant`` holds a shortest trace for each violated
    invariant, as a list of (label, state fields) of which the first label is None.
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


def _leases(scenario_name: str) -> Callable[[str], Protocol]:
    return lambda mutant: lease_protocol(scenario_name, mutant)


MODELS = (
    *(Model(f"leases/{name}", _leases(name), LEASE_MUTANTS) for name in SCENARIOS),
    Model("endpoint_restarts", endpoint_restart_protocol, RESTART_MUTANTS),
    Model("lease_hand_over", lease_hand_over_protocol, HAND_OVER_MUTANTS),
    Model("lease_reports", lease_report_protocol, REPORT_MUTANTS),
    Model("releases", release_protocol, RELEASE_MUTANTS),
    Model("request_ids", request_id_protocol, REQUEST_ID_MUTANTS),
)

MUTANTS = tuple(dict.fromkeys(name for model in MODELS for name in model.mutants))


def check_model(model: Model, mutant: str = "") -> CheckResult:
    """Search the model, with one protection removed if ``mutant`` names it.

    The search is breadth-first, so the first violation that it finds is the shortest.
    A mutant in which it finds none is searched again with the next larger bound.
    """
    if not mutant:
        return _search(model, mutant, MAX_BASE_STATES)
    for bound in MUTANT_BOUNDS:
        result = _search(model, mutant, bound)
        if result.trace_by_invariant or result.is_exhaustive:
            break
    return result


def _search(model: Model, mutant: str, max_states: int) -> CheckResult:
    report = check_safety(model.build(mutant), max_states=max_states)
    properties = report["properties"]
    return CheckResult(
        model.name,
        report["reachable_states"],
        report["exhaustive"],
        {name: check["holds"] for name, check in properties.items()},
        {
            name: [(step["label"], step["state"]) for step in check["counterexample"]]
            for name, check in properties.items()
            if check["holds"] is False
        },
    )


def find_counterexample(mutant: str) -> tuple[CheckResult, str] | None:
    """Return the result and the invariant of the mutant's shortest counterexample.

    None means that the search found no violation in the first model that has this
    protection: either the protection is not needed, or an invariant is too weak.
    """
    model = next(model for model in MODELS if mutant in model.mutants)
    result = check_model(model, mutant)
    traces = result.trace_by_invariant
    if not traces:
        return None
    return result, min(traces, key=lambda name: len(traces[name]))
