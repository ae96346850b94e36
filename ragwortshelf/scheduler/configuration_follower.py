"""Follows the operator's log and tracks the age of the configuration."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import trio

from ..core.scheduling import ServiceConfiguration
from ..core.scheduling.upkeep import UpkeepWave
from ..daemon.logs import log_event, log_failure
from .clock import boot_ms, monotonic_ms
from .interfaces import (
    Entry,
    KeyedLog,
    LogGap,
    LogPage,
    PlatformAdapter,
    ReadOutcome,
)
from .log_regaining import regain_log
from .loss_reporter import LossReporter
from .newest_records import NewestReader, NewestRecords
from .settings import SchedulingSettings

__all__ = ["ConfigurationFollower"]

REVOCATION_MARGIN_MS = 250
"""Subtracted from the time during which a revoked key may still be accepted. It covers
the delay between checking a key and accepting its request."""


class _Load:
    """One load of the newest records, which failed pages may interrupt.

    The records are as old as the first call, sent at ``sent_boot_ms``.
    """

    def __init__(self, log: KeyedLog, sent_boot_ms: int):
        self.sent_boot_ms = sent_boot_ms
        self.reader = NewestReader(log)
        self.value_by_key: dict[str, bytes] = {}

    def add_page(self, entries: tuple[Entry, ...]) -> None:
        """Add the records of one page."""
        self.value_by_key.update(entries)


class ConfigurationFollower:
    """Holds the newest configuration and the time at which the log confirmed it.

    ``confirmed_boot_ms`` is the time at which the confirming read was sent, so every
    configuration published before then has been seen. A configuration with the same or
    a lower version than the current one is ignored. When more versions are waiting than
    fit one page of the log, all but the newest are skipped.
    """

    def __init__(
        self, adapter: PlatformAdapter, log: KeyedLog, settings: SchedulingSettings
    ):
        self._adapter = adapter
        self._log = log
        self.settings = settings
        self.current: ServiceConfiguration | None = None
        self.confirmed_boot_ms: int | None = None
        self.on_change: Callable[[ServiceConfiguration], None] = lambda newest: None
        self.on_evacuations_change: Callable[[], None] = lambda: None
        self._evacuations: dict[str, int] = {}
        self._waves: dict[int, UpkeepWave] = {}
        self._value_by_key: dict[str, bytes] = {}
        self._next_offset: int | None = None
        self._load_in_progress: _Load | None = None
        self._is_confirmation_due = False
        self._loss_reporter = LossReporter("operator_log_lost")
        self.is_log_answering = False

    def age_ms(self) -> int | None:
        """Return the time since the last confirmation, None before the first one."""
        if self.current is None or self.confirmed_boot_ms is None:
            return None
        return boot_ms() - self.confirmed_boot_ms

    def read_age_ms(self) -> int | None:
        """Return the time since the newest complete read was sent, None before it.

        Every record that was acknowledged before then is known, a configuration or not.
        """
        if self.confirmed_boot_ms is None:
            return None
        return boot_ms() - self.confirmed_boot_ms

    def is_trusted(self) -> bool:
        """Whether the configuration is recent enough to accept API keys."""
        age = self.age_ms()
        limit = self.settings.revocation_ms - REVOCATION_MARGIN_MS
        return age is not None and age < limit

    async def run(self) -> None:
        """Follow the operator's log until cancelled."""
        while True:
            if self._next_offset is None:
                await self._retry_if_lost(await self._load(boot_ms()))
            elif self.is_log_answering:
                # Records that took long to arrive are confirmed without waiting.
                is_due = self._is_confirmation_due
                wait_ms = 0 if is_due else self.settings.configuration_wait_ms
                await self._read(wait_ms, self.settings.read_timeout_ms(wait_ms))
            else:
                await self._regain()

    async def _regain(self) -> None:
        """Read the log until it answers again, or has to be loaded anew."""
        await regain_log(
            self._log,
            next_offset=lambda: self._next_offset,
            read=lambda timeout_ms: self._read(0, timeout_ms),
            is_regained=lambda: self.is_log_answering or self._next_offset is None,
            settings=self.settings,
        )

    async def _retry_if_lost(self, detail: str | None) -> None:
        """Report a failed call, if there is a detail, and wait before the next one."""
        if detail is not None:
            self._log_lost(detail)
            await trio.sleep(self.settings.log_retry_ms / 1000)

    async def _load(self, sent_boot_ms: int) -> str | None:
        load = self._load_in_progress or _Load(self._log, sent_boot_ms)
        self._load_in_progress = load
        outcome = await load.reader.read(
            load.add_page, self.settings.log_call_timeout_ms
        )
        if not isinstance(outcome, NewestRecords):
            return outcome.detail
        self._load_in_progress = None
        self._replace_records(load.value_by_key)
        self._next_offset = outcome.next_offset
        self._is_confirmation_due = True
        self._confirm(load.sent_boot_ms)
        return None

    async def _read(self, wait_ms: int, timeout_ms: int) -> None:
        sent_boot_ms = boot_ms()
        page = await self._log.read(
            self._next_offset, wait_ms=wait_ms, timeout_ms=timeout_ms
        )
        await self._retry_if_lost(self._apply_page(page, sent_boot_ms))

    def _apply_page(self, page: ReadOutcome, sent_boot_ms: int) -> str | None:
        """Apply the outcome of a read; returns what failed, or None."""
        match page:
            case LogPage() if page.end < self._next_offset:
                # The log has lost records, or another one took its place.
                log_event("operator_log_rewound", end=page.end)
                self._next_offset = None
                return None
            case LogPage():
                self._replace_records(self._value_by_key | dict(page.entries))
                self._next_offset = page.next_offset
                self._is_confirmation_due = bool(page.entries)
                if page.next_offset >= page.end:
                    self._confirm(sent_boot_ms)
                elif page.end - page.next_offset > 1:
                    # Superseded versions are not worth their transfer.
                    self._next_offset = None
                return None
            case LogGap():
                log_event("operator_log_gap", first=page.first)
                self._next_offset = None
                return None
        return page.detail

    def _replace_records(self, value_by_key: dict[str, bytes]) -> None:
        """Decode the records if any has changed; those without a value are deleted.

        They are kept only once they are decoded, so that an unexpected error is
        repeated rather than ignored, unless it is one in the waves.
        """
        present = {key: value for key, value in value_by_key.items() if key and value}
        if present != self._value_by_key:
            self._decode(present)
            self._value_by_key = present

    def waves(self) -> dict[int, UpkeepWave]:
        """Return the upkeep waves that operators have requested, by number."""
        return self._waves

    def evacuations(self) -> Mapping[str, int]:
        """Return the data centres to be emptied.

        The values are the local times, ``monotonic_ms``, at which this instance learned
        of the requests.
        """
        return self._evacuations

    def _set_evacuations(self, data_centres: frozenset[str]) -> None:
        if data_centres == self._evacuations.keys():
            return
        now_ms = monotonic_ms()
        self._evacuations = {
            data_centre: self._evacuations.get(data_centre, now_ms)
            for data_centre in data_centres
        }
        self.on_evacuations_change()

    def _decode(self, value_by_key: dict[str, bytes]) -> None:
        # First, so that they hold even if the configuration cannot be decoded.
        self._set_evacuations(self._adapter.decode_evacuations(value_by_key))
        try:
            self._waves = self._adapter.decode_waves(value_by_key)
        except Exception:
            # Costs the operators a wave, and the callers nothing.
            log_failure("waves_failed")
        newest = self._adapter.decode_configuration(value_by_key)
        if newest is None:
            return
        if self.current is not None and newest.version <= self.current.version:
            return
        before = self.current.version if self.current else None
        self.current = newest
        log_event("configuration_in_force", version=newest.version, before=before)
        self.on_change(newest)

    def _confirm(self, sent_boot_ms: int) -> None:
        if not self.is_log_answering:
            self.is_log_answering = True
            self._loss_reporter.call_answered()
            log_event("operator_log_regained", age_ms=self.age_ms())
        self.confirmed_boot_ms = sent_boot_ms

    def _log_lost(self, detail: str) -> None:
        self._loss_reporter.call_failed(detail, self.age_ms())
        self.is_log_answering = False
