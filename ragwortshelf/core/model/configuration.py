"""The configuration that results from applying all release notes.

A configuration is immutable and identified by its ``revision``, the offset of the last
release note that took effect. Two instances at the same revision have equal
configurations.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = [
    "Adjacency",
    "Configuration",
    "DataCentre",
    "NO_REVISION",
    "Organisation",
    "Rack",
    "Rule",
    "Shape",
    "Withdrawal",
]

NO_REVISION = -1
"""The revision of the empty configuration, before any release note."""


class Adjacency(enum.StrEnum):
    """The unit that must contain all accelerators of a group."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


@dataclass(frozen=True, slots=True)
class Shape:
    """``count`` groups of ``accelerators`` accelerators each in one data centre."""

    data_centre: str
    accelerators: int
    adjacency: Adjacency
    count: int = 1


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer with its guaranteed shapes.

    ``weight`` sets its share in fair queueing. ``quota_accelerators`` limits what it
    may hold at once in all data centres together; None means no limit. Work that
    cannot be stopped and resumed may only run in ``home_region``.
    """

    name: str
    weight: int = 1
    guarantees: tuple[Shape, ...] = ()
    quota_accelerators: int | None = None
    home_region: str = ""


@dataclass(frozen=True, slots=True)
class Rack:
    """Workers of equal size that are connected to one switch."""

    name: str
    workers: tuple[str, ...]
    accelerators_per_worker: int


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and its configured racks of workers."""

    name: str
    region: str
    racks: tuple[Rack, ...] = ()

    @property
    def accelerators(self) -> int:
        """Number of accelerators of all configured workers."""
        return sum(
            len(rack.workers) * rack.accelerators_per_worker for rack in self.racks
        )


@dataclass(frozen=True, slots=True)
class Rule:
    """A named setting of the scheduler, which operators change by release note."""

    name: str
    value: int | float | str | bool


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """How to treat the work of an organisation or data centre that was withdrawn.

    ``waiting`` and ``running`` apply to its jobs: ``finish`` lets them run to their
    end, ``refuse`` ends waiting jobs as not run and ``stop`` stops running ones.
    ``late_charges`` says whether usage reported afterwards is still charged
    (``charge``) or recorded separately as waived (``waive``).
    """

    name: str
    waiting: str
    running: str
    late_charges: str = "charge"
    revision: int = NO_REVISION


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in force at ``revision``.

    The most recent withdrawals are retained, each until its name is added again,
    because jobs and charges outlive an organisation or data centre.
    """

    revision: int = NO_REVISION
    organisations_by_name: Mapping[str, Organisation] = field(default_factory=dict)
    data_centres_by_name: Mapping[str, DataCentre] = field(default_factory=dict)
    rules_by_name: Mapping[str, Rule] = field(default_factory=dict)
    withdrawn_organisations_by_name: Mapping[str, Withdrawal] = field(
        default_factory=dict
    )
    withdrawn_data_centres_by_name: Mapping[str, Withdrawal] = field(
        default_factory=dict
    )

    def rule(self, name: str, default: int | float | str | bool):
        """Return the value of the rule ``name``, or ``default`` if it is not set."""
        rule = self.rules_by_name.get(name)
        return default if rule is None else rule.value
