"""Bounds until when the holders of the scheduler's role extended leases.

A holder extends leases for a limited time after the log has last confirmed its term,
and not at all from its resignation on. It counts from the sending of the record that
was confirmed, which is earlier than any follower's read of it. So the time of that read
bounds the extensions, whatever time of day the instances have; their steady clocks are
taken to run at one rate.

A holder that outlives its term stops earlier than that, and knows when the leases
expire that it extended. It reports what is left of them, as of a moment before the
report is sent. So they have expired when that much has passed since a read of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .records import TermHeld, TermReport

__all__ = ["LeaseGrants"]

EARLIER_TERMS_MAX = 32
"""Earlier terms that are told apart. Those before them share one bound."""


@dataclass(frozen=True, slots=True)
class _ReportedEnd:
    """When the leases of a term have expired, as its holder reported."""

    end_ms: int
    end_ms_by_endpoint_id: dict[str, int] = field(default_factory=dict)


class LeaseGrants:
    """Follows the terms in the log on a clock that counts suspensions.

    A holder that is cut off from the log may go on after the next one has claimed, and
    even resigned, the role. So the bound covers all terms and not only the newest.

    >>> grants = LeaseGrants(4_000)
    >>> grants.loaded(None, 0)
    >>> grants.term_read(TermHeld(1, "a", 0), 1_000)
    >>> grants.term_read(TermHeld(7, "b", 0), 2_500)
    >>> grants.term_read(TermHeld(7, "b", 0, is_resigned=True), 3_000)
    >>> grants.end_ms
    5000

    Without a report, the leases of a term last as long as they can.

    >>> grants.leases_end_ms(7_000)
    12000
    >>> grants.report_read(TermReport("a", 1, 2_000), 3_500)
    >>> grants.leases_end_ms(7_000)
    10000
    """

    def __init__(self, grant_max_ms: int):
        self._grant_max_ms = grant_max_ms
        self._newest: TermHeld | None = None
        self._newest_read_ms = 0
        # Until when the holders before the newest one may have extended leases: those
        # of terms that were read, and all others together.
        self._grants_end_ms_by_term: dict[int, int] = {}
        self._other_grants_end_ms: int | None = None
        self._reported_end_by_term: dict[int, _ReportedEnd] = {}

    @property
    def end_ms(self) -> int | None:
        """Time from which no term in the log extends a lease; None without a term."""
        if self._newest is None:
            return None
        ends_ms = [self._newest_end_ms(), *self._grants_end_ms_by_term.values()]
        if self._other_grants_end_ms is not None:
            ends_ms.append(self._other_grants_end_ms)
        return max(ends_ms)

    def leases_end_ms(
        self,
        lease_ms: int,
        before_term: int | None = None,
        endpoint_id: str | None = None,
    ) -> int | None:
        """Return the time by which the leases of all terms have expired.

        ``lease_ms`` is the longest time for which a lease lasts. With ``before_term``,
        only earlier terms count; with ``endpoint_id``, only the leases there. None
        without a term.
        """
        ends_ms = self._leases_end_ms_by_term(lease_ms, before_term, endpoint_id)
        return max(ends_ms.values(), default=None)

    def longest_term(self, lease_ms: int, before_term: int | None = None) -> int | None:
        """Return the term whose leases last longest; 0 for one that was not read."""
        ends_ms = self._leases_end_ms_by_term(lease_ms, before_term, None)
        return max(ends_ms, key=ends_ms.get, default=None)

    def endpoint_ids_with_report(self) -> set[str]:
        """Return the endpoints of which a report says more than of all others."""
        reports = self._reported_end_by_term.values()
        return {i for report in reports for i in report.end_ms_by_endpoint_id}

    def loaded(self, newest: TermHeld | None, now_ms: int) -> None:
        """Note a load of the newest records, which tells nothing of earlier terms.

        If the newest term was known before the load, no other one has followed it.
        """
        if newest is None or newest == self._newest:
            return
        if self._newest is None or newest.term != self._newest.term:
            self._other_grants_end_ms = now_ms + self._grant_max_ms
            self._grants_end_ms_by_term.clear()
            self._reported_end_by_term.clear()
        self._newest, self._newest_read_ms = newest, now_ms

    def term_read(self, record: TermHeld, now_ms: int) -> None:
        """Note a claim, renewal or resignation; those of earlier terms are void."""
        if self._newest is not None:
            if record.term < self._newest.term:
                return
            if record.term > self._newest.term:
                self._grants_end_ms_by_term[self._newest.term] = self._newest_end_ms()
                self._join_oldest_terms()
        self._newest, self._newest_read_ms = record, now_ms

    def report_read(self, record: TermReport, now_ms: int) -> None:
        """Note when the leases of a term have expired, which its holder reported.

        A term that was not read is one of several with a common bound.
        """
        is_newest = self._newest is not None and record.term == self._newest.term
        if not is_newest and record.term not in self._grants_end_ms_by_term:
            return
        self._reported_end_by_term[record.term] = _ReportedEnd(
            now_ms + record.left_ms,
            {id_: now_ms + left_ms for id_, left_ms in record.left_ms_by_endpoint},
        )

    def _newest_end_ms(self) -> int:
        if self._newest.is_resigned:
            return self._newest_read_ms
        return self._newest_read_ms + self._grant_max_ms

    def _leases_end_ms_by_term(
        self, lease_ms: int, before_term: int | None, endpoint_id: str | None
    ) -> dict[int, int]:
        grants_end_ms = dict(self._grants_end_ms_by_term)
        if self._newest is not None:
            grants_end_ms[self._newest.term] = self._newest_end_ms()
        ends_ms = {}
        for term, end_ms in grants_end_ms.items():
            if before_term is not None and term >= before_term:
                continue
            ends_ms[term] = end_ms + lease_ms
            reported = self._reported_end_by_term.get(term)
            if reported is not None:
                reported_ms = reported.end_ms_by_endpoint_id.get(
                    endpoint_id, reported.end_ms
                )
                ends_ms[term] = min(ends_ms[term], reported_ms)
        if self._other_grants_end_ms is not None:
            ends_ms[0] = self._other_grants_end_ms + lease_ms
        return ends_ms

    def _join_oldest_terms(self) -> None:
        while len(self._grants_end_ms_by_term) > EARLIER_TERMS_MAX:
            oldest = min(self._grants_end_ms_by_term)
            end_ms = self._grants_end_ms_by_term.pop(oldest)
            self._reported_end_by_term.pop(oldest, None)
            other_ms = self._other_grants_end_ms
            self._other_grants_end_ms = max(end_ms, other_ms or end_ms)
