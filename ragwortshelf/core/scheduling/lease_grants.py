"""Bounds until when the holders of the scheduler's role extended leases.

A holder extends leases for a limited time after the log has last confirmed its term,
and not at all from its resignation on. It counts from the sending of the record that
was confirmed, which is earlier than any follower's read of it. So the time of that read
bounds the extensions, whatever time of day the instances have; their steady clocks are
taken to run at one rate.
"""

from __future__ import annotations

from .records import TermHeld

__all__ = ["LeaseGrants"]


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
    """

    def __init__(self, grant_max_ms: int):
        self._grant_max_ms = grant_max_ms
        self._newest: TermHeld | None = None
        self._newest_read_ms = 0
        # Until when the holders before the newest one may have extended leases.
        self._earlier_end_ms: int | None = None

    @property
    def end_ms(self) -> int | None:
        """Time from which no term in the log extends a lease; None without a term."""
        if self._newest is None:
            return None
        end_ms = self._newest_read_ms
        if not self._newest.is_resigned:
            end_ms += self._grant_max_ms
        return max(end_ms, self._earlier_end_ms or end_ms)

    def loaded(self, newest: TermHeld | None, now_ms: int) -> None:
        """Note a load of the newest records, which tells nothing of earlier terms.

        If the newest term was known before the load, no other one has followed it.
        """
        if newest is None or newest == self._newest:
            return
        if self._newest is None or newest.term != self._newest.term:
            self._earlier_end_ms = now_ms + self._grant_max_ms
        self._newest, self._newest_read_ms = newest, now_ms

    def term_read(self, record: TermHeld, now_ms: int) -> None:
        """Note a claim, renewal or resignation; those of earlier terms are void."""
        if self._newest is not None:
            if record.term < self._newest.term:
                return
            if record.term > self._newest.term:
                self._earlier_end_ms = self.end_ms
        self._newest, self._newest_read_ms = record, now_ms
