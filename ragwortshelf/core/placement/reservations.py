"""Keeps accelerators for groups that have been blocked for long.

At most one group of each organisation, its oldest, has a reservation. Work that
cannot be stopped, and groups as large as the blocked one, stay off the reserved
accelerators. Smaller borrowed work may use them meanwhile, since it is reclaimed once
nothing else stands there; so nothing depends on declared run times.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..model import JobSpec
from .ledger import Accelerator

__all__ = ["Reservation", "Reservations"]


@dataclass(frozen=True, slots=True)
class Reservation:
    """Accelerators kept for ``spec``; they are chosen anew after ``until_ms``."""

    spec: JobSpec
    accelerators: frozenset[Accelerator]
    until_ms: int

    def is_for(self, spec: JobSpec) -> bool:
        """Return whether the job may use it: it is like the one it was made for.

        Jobs that are alike share a reservation, since an older one may come back to
        wait after it was stopped.
        """
        made_for = self.spec
        return (
            spec.organisation == made_for.organisation
            and spec.accelerators == made_for.accelerators
            and spec.adjacency is made_for.adjacency
            and spec.is_reclaimable == made_for.is_reclaimable
        )


class Reservations:
    """Reservations by organisation; their accelerators do not overlap."""

    def __init__(self) -> None:
        self.by_organisation: dict[str, Reservation] = {}
        self._owner_of_region: dict[Accelerator, str] = {}
        self._by_accelerator: dict[Accelerator, Reservation] = {}

    @property
    def is_any(self) -> bool:
        """Whether anything is reserved."""
        return bool(self.by_organisation)

    def set(
        self, reservation: Reservation, owner_of_region: dict[Accelerator, str]
    ) -> None:
        """Add the reservation in place of its organisation's earlier one."""
        self.drop(reservation.spec.organisation)
        self._owner_of_region = owner_of_region
        self.by_organisation[reservation.spec.organisation] = reservation
        for accelerator in reservation.accelerators:
            self._by_accelerator[accelerator] = reservation

    def drop(self, organisation: str) -> None:
        """Give up the organisation's reservation."""
        reservation = self.by_organisation.pop(organisation, None)
        if reservation is not None:
            for accelerator in reservation.accelerators:
                del self._by_accelerator[accelerator]

    def is_reserved(self, accelerator: Accelerator, organisation: str) -> bool:
        """Return whether another organisation has reserved the accelerator."""
        reservation = self._by_accelerator.get(accelerator)
        return reservation is not None and (
            reservation.spec.organisation != organisation
        )

    def blocks(self, spec: JobSpec, worker: str, index: int, is_lasting: bool) -> bool:
        """Return whether a reservation keeps ``spec`` off the accelerator.

        ``is_lasting`` says that the job would not be reclaimed for the reservation.
        An organisation's own region is never kept from it by another organisation.
        """
        if not self.by_organisation:
            return False
        reservation = self._by_accelerator.get((worker, index))
        if reservation is None or reservation.is_for(spec):
            return False
        if (
            reservation.spec.organisation != spec.organisation
            and self._owner_of_region.get((worker, index)) == spec.organisation
        ):
            return False
        return is_lasting or spec.accelerators >= reservation.spec.accelerators
