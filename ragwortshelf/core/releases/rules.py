"""The rules that operators may set, with the type, bounds and default of each.

`rule_value` returns the value in force. ``core.placement`` calls
``configuration.rule(name, default)`` instead, with defaults that have to equal those in
``RULES_BY_NAME``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..model import Configuration

__all__ = ["RULES_BY_NAME", "RuleSpec", "rule_fault", "rule_value"]


@dataclass(frozen=True, slots=True)
class RuleSpec:
    """Type, bounds and default of one rule.

    ``minimum`` and ``maximum`` bound numbers, inclusively; ``choices`` lists the
    values of a text rule.
    """

    name: str
    type: type
    default: int | float | str | bool
    purpose: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()


_DAY_MS = 86_400_000

_RULES = (
    RuleSpec(
        "reclaim_grace_ms",
        int,
        2_000,
        "Time that borrowed work gets to write a checkpoint before it is stopped.",
        0,
        _DAY_MS,
    ),
    RuleSpec(
        "reservation_after_ms",
        int,
        30_000,
        "Wait of a blocked group after which accelerators are reserved for it.",
        0,
        _DAY_MS,
    ),
    RuleSpec(
        "fragmentation_weight",
        float,
        1.0,
        "Weight of keeping workers and racks whole in the score of a placement.",
        0,
        1_000,
    ),
    RuleSpec(
        "completion_weight",
        float,
        1.0,
        "Weight of an early completion in the score of a placement.",
        0,
        1_000,
    ),
    RuleSpec(
        "time_throttle_factor",
        float,
        0.0,
        "Multiple of its declared run time after which a job is throttled; 0 never.",
        0,
        1_000,
    ),
    RuleSpec(
        "time_stop_factor",
        float,
        0.0,
        "Multiple of its declared run time after which a job is stopped; 0 never.",
        0,
        1_000,
    ),
    RuleSpec(
        "memory_throttle_factor",
        float,
        0.0,
        "Multiple of its declared memory above which a job is throttled; 0 never.",
        0,
        1_000,
    ),
    RuleSpec(
        "memory_stop_factor",
        float,
        0.0,
        "Multiple of its declared memory above which a job is stopped; 0 never.",
        0,
        1_000,
    ),
    RuleSpec(
        "retry_budget",
        int,
        3,
        "Attempts that an idempotent job may lose before it is given up.",
        1,
        100,
    ),
    RuleSpec(
        "queue_limit",
        int,
        5_000,
        "Requests that one organisation may have waiting at one instance.",
        1,
        100_000,
    ),
)

RULES_BY_NAME: Mapping[str, RuleSpec] = {spec.name: spec for spec in _RULES}


def rule_fault(name: str, value: object) -> str | None:
    """Return why a value is not valid for a rule, or None if it is.

    >>> rule_fault("retry_budget", 0)
    'must be from 1 to 100'
    """
    spec = RULES_BY_NAME.get(name)
    if spec is None:
        return "unknown rule"
    if spec.type is float and type(value) is int:
        value = float(value)
    if type(value) is not spec.type:
        return f"expected {spec.type.__name__}"
    if spec.choices and value not in spec.choices:
        return f"must be one of {', '.join(spec.choices)}"
    # NaN fails this too, since every comparison with it is false.
    if spec.minimum is not None and not spec.minimum <= value <= spec.maximum:
        return f"must be from {spec.minimum:g} to {spec.maximum:g}"
    return None


def rule_value(configuration: Configuration, name: str) -> int | float | str | bool:
    """Return the value of a rule in the configuration, or its default."""
    return configuration.rule(name, RULES_BY_NAME[name].default)
