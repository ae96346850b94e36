"""Reservations of accelerators for groups that have been blocked for long.

At most one group of each organisation, its oldest, has a reservation. Work that cannot
be stopped and groups at least as large as the blocked one are kept off the reserved
accelerators. Smaller borrowed work may use them in the meantime, and is reclaimed once
no other work holds them. Reservations therefore do not depend on declared run times.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..model import JobSpec
from .active_jobs import Accelerator

__all__ = ["Reservation", "AcceleratorReservations"]


@dataclass(frozen=True, slots=True)
class Reservation:
    """Accelerators reserved for ``spec``; they are chosen again after ``until_ms``."""

    spec: JobSpec
    accelerators: frozenset[Accelerator]
    until_ms: int

    def is_for(self, spec: JobSpec) -> bool:
        """Return whether the job is equivalent to the one that this was made for.

        Equivalent jobs share a reservation, since an older one may be queued again
        after it was stopped.
        """
        made_for = self.spec
        return (
            spec.organisation == made_for.organisation
            and spec.accelerators == made_for.accelerators
            and spec.adjacency is made_for.adjacency
            and spec.is_reclaimable == made_for.is_reclaimable
        )


class AcceleratorReservations:
    """Reservations by organisation; their accelerators do not overlap."""

    def __init__(self) -> None:
        self.by_organisation: dict[str, Reservation] = {}
        self._region_owner_by_accelerator: dict[Accelerator, str] = {}
        self._by_accelerator: dict[Accelerator, Reservation] = {}

    @property
    def has_any(self) -> bool:
        """Whether anything is reserved."""
        return bool(self.by_organisation)

    def reserve(
        self,
        reservation: Reservation,
        region_owner_by_accelerator: dict[Accelerator, str],
    ) -> None:
        """Add the reservation in place of its organisation's earlier one.

        ``region_owner_by_accelerator`` is taken from the witness, for `blocks`.
        """
        self.drop(reservation.spec.organisation)
        self._region_owner_by_accelerator = region_owner_by_accelerator
        self.by_organisation[reservation.spec.organisation] = reservation
        for accelerator in reservation.accelerators:
            self._by_accelerator[accelerator] = reservation

    def drop(self, organisation: str) -> None:
        """Release the organisation's reservation, if it has one."""
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

    def blocks(
        self, spec: JobSpec, worker: str, index: int, is_protected: bool
    ) -> bool:
        """Return whether a reservation keeps ``spec`` off the accelerator.

        ``is_protected`` is true if the job could not be reclaimed for the reservation.
        An organisation is never kept off its own region by another's reservation.
        """
        if not self.by_organisation:
            return False
        reservation = self._by_accelerator.get((worker, index))
        if reservation is None or reservation.is_for(spec):
            return False
        if (
            reservation.spec.organisation != spec.organisation
            and self._region_owner_by_accelerator.get((worker, index))
            == spec.organisation
        ):
            return False
        return is_protected or spec.accelerators >= reservation.spec.accelerators
