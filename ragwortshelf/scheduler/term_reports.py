"""Reports what a holder knew, and had not in the log, when its term was ended."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import trio

from ..core.scheduling.model import UnitKey
from ..core.scheduling.record_codec import encode_record
from ..core.scheduling.records import TermReport
from ..daemon.logs import log_event
from .clock import boot_ms
from .endpoint_session import max_local_duration_ms
from .interfaces import Appended, KeyedLog, entry_bytes
from .log_follower import LogFollower
from .settings import SchedulingSettings

__all__ = ["EndedTerm", "TermReporter"]


@dataclass(frozen=True, slots=True)
class EndedTerm:
    """What the holder of a term that has ended knows, and the log may not say.

    All its leases have expired at ``end_boot_ms``, and those on some endpoints as
    ``end_boot_ms_by_endpoint_id`` says; the times count suspensions. ``done_runs`` are
    units that are done in their run of that number.
    """

    term: int
    end_boot_ms: int
    end_boot_ms_by_endpoint_id: Mapping[str, int] = field(default_factory=dict)
    done_runs: tuple[tuple[UnitKey, int], ...] = ()

    def record(self, holder: str, now_boot_ms: int, bytes_max: int) -> TermReport:
        """Return the report as of a moment before it is sent.

        If it is larger than ``bytes_max``, it bounds the leases of the term alone.
        """
        left_ms_by_endpoint = tuple(
            (endpoint_id, max(0, end_ms - now_boot_ms))
            for endpoint_id, end_ms in self.end_boot_ms_by_endpoint_id.items()
        )
        left_ms = max(0, self.end_boot_ms - now_boot_ms)
        record = TermReport(
            holder, self.term, left_ms, left_ms_by_endpoint, self.done_runs
        )
        if entry_bytes(encode_record(record)) > bytes_max:
            return TermReport(holder, self.term, left_ms)
        return record


class TermReporter:
    """Appends reports of the terms that this instance has lost.

    A successor counts until when the holder may have extended leases, and starts again
    what is not known to have ended. A holder that lives on knows better, and says so as
    soon as the log answers. The report is not fenced, as
    it only tells of a term that has ended. It is repeated while no answer arrives:
    each attempt is true whenever it takes effect.
    """

    def __init__(
        self, log: KeyedLog, settings: SchedulingSettings, follower: LogFollower
    ):
        self._log = log
        self.settings = settings
        self._follower = follower
        # What is not in the log yet, with the time from which no successor needs it.
        self._waiting: list[tuple[int, EndedTerm]] = []
        self._added_event = trio.Event()

    def add(self, ended: EndedTerm) -> None:
        """Report a term that has ended just now."""
        lease_ms = max_local_duration_ms(self.settings.lease_ms)
        useful_ms = self.settings.lease_grant_max_ms + lease_ms
        self._waiting.append((boot_ms() + useful_ms, ended))
        self._added_event.set()

    async def run(self) -> None:
        """Append what is added, until cancelled."""
        while True:
            self._drop_expired()
            if not self._waiting:
                self._added_event = trio.Event()
                await self._added_event.wait()
                continue
            waiting = list(self._waiting)
            if await self._append([ended for _, ended in waiting]):
                self._waiting = [w for w in self._waiting if w not in waiting]
            else:
                await trio.sleep(self.settings.log_retry_ms / 1000)

    def _drop_expired(self) -> None:
        """Drop what no successor needs any more."""
        now_ms = boot_ms()
        for until_ms, ended in self._waiting:
            if until_ms < now_ms:
                log_event("term_not_reported", term=ended.term)
        self._waiting = [w for w in self._waiting if w[0] >= now_ms]

    async def _append(self, ended_terms: list[EndedTerm]) -> bool:
        settings = self.settings
        now_ms = boot_ms()
        bytes_max = settings.append_bytes_max() // len(ended_terms)
        records = [
            ended.record(settings.instance, now_ms, bytes_max) for ended in ended_terms
        ]
        is_answering = self._follower.is_log_answering
        outcome = await self._log.append(
            [encode_record(record) for record in records],
            timeout_ms=(
                settings.log_call_timeout_ms
                if is_answering
                else settings.log_probe_timeout_ms
            ),
        )
        if not isinstance(outcome, Appended):
            return False
        for record in records:
            log_event(
                "term_reported",
                term=record.term,
                left_ms=record.left_ms,
                endpoints=len(record.left_ms_by_endpoint),
                ends=len(record.done_runs),
            )
        return True
