"""Check the models: ``python -m specification [--mutant NAME]``.

Without a mutant, exits with 0 if every invariant of every model holds in all states,
and with 1 if one is violated or undetermined. With a mutant, exits with 0 if a
counterexample is found, with 1 if none is, and with 2 if the name is unknown.
"""

from __future__ import annotations

import argparse
import sys
import time

from .models import MODELS, MUTANTS, check_model, find_counterexample

_WORD_BY_VERDICT = {True: "holds", False: "VIOLATED", None: "UNDETERMINED"}


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m specification")
    parser.add_argument("--mutant", help=f"one of {', '.join(MUTANTS)}")
    options = parser.parse_args(arguments)
    if options.mutant is None:
        return _check_all()
    if options.mutant not in MUTANTS:
        names = ", ".join(MUTANTS)
        print(f"unknown mutant {options.mutant}; known: {names}", file=sys.stderr)
        return 2
    return _check_mutant(options.mutant)


def _check_all() -> int:
    all_hold = True
    for model in MODELS:
        started_s = time.monotonic()
        result = check_model(model)
        elapsed_s = time.monotonic() - started_s
        extent = "all" if result.is_exhaustive else "not all"
        print(f"{model.name}: {result.states} states ({extent}) in {elapsed_s:.1f} s")
        for name, verdict in result.verdict_by_invariant.items():
            print(f"  {name}: {_WORD_BY_VERDICT[verdict]}")
        for name, trace in result.trace_by_invariant.items():
            print(f"  shortest way to violate {name}:")
            _print_trace(trace)
        all_hold = all_hold and result.holds
    return 0 if all_hold else 1


def _check_mutant(mutant: str) -> int:
    counterexample = find_counterexample(mutant)
    if counterexample is None:
        print(f"{mutant}: NO counter-example; nothing checks this protection")
        return 1
    result, invariant = counterexample
    trace = result.trace_by_invariant[invariant]
    print(f"{mutant}: {result.model} violates {invariant} in {len(trace) - 1} steps")
    _print_trace(trace)
    return 0


def _print_trace(trace: list) -> None:
    for number, (label, _) in enumerate(trace[1:], start=1):
        print(f"  {number}. {label}")
    print("  ends in:")
    for field, value in trace[-1][1].items():
        print(f"    {field}: {value}")


if __name__ == "__main__":
    sys.exit(main())
