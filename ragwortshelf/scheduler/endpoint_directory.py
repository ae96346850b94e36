"""Discovers endpoints from their reports in the platform's log."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..core.scheduling.listings import EndpointInfo
from ..daemon.logs import log_event, log_failure
from .clock import boot_ms
from .interfaces import Entry, KeyedLog, LogGap, LogPage, PlatformAdapter
from .newest_records import NewestReader, NewestRecords
from .settings import SchedulingSettings

__all__ = ["EndpointDirectory"]


class EndpointDirectory:
    """Follows the endpoint log and reports changes of the set of endpoints.

    Calls ``on_updated`` for each new or changed endpoint and ``on_removed`` for each
    removed one. A record with an empty value removes an endpoint. An unexpected error
    in one record is logged and costs this record alone; the next one of its key is
    applied whether or not its content has changed.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        log: KeyedLog,
        settings: SchedulingSettings,
        on_updated: Callable[[EndpointInfo], None],
        on_removed: Callable[[str], None],
    ):
        self._adapter = adapter
        self._log = log
        self._settings = settings
        self._on_updated = on_updated
        self._on_removed = on_removed
        # None for a key whose newest record was not applied, because of an error.
        self._info_by_key: dict[str, EndpointInfo | None] = {}
        self._next_offset: int | None = None
        self._confirmed_boot_ms: int | None = None
        self._newest_reader = NewestReader(log)
        # Keys on the pages that the reader has read.
        self._listed_keys: set[str] = set()

    async def run(self) -> None:
        """Poll the endpoint log until cancelled."""
        while True:
            detail = await self._poll()
            if detail is not None:
                log_event("endpoint_log_lost", detail=detail)
            await trio.sleep(self._settings.directory_interval_ms / 1000)

    def age_ms(self) -> int | None:
        """Return the maximum age of the reports, None before they have been loaded."""
        if self._confirmed_boot_ms is None:
            return None
        return boot_ms() - self._confirmed_boot_ms

    async def _poll(self) -> str | None:
        sent_boot_ms = boot_ms()
        detail = await self._update()
        if detail is None:
            self._confirmed_boot_ms = sent_boot_ms
        return detail

    async def _update(self) -> str | None:
        if self._next_offset is None:
            return await self._load()
        page = await self._log.read(
            self._next_offset,
            wait_ms=0,
            timeout_ms=self._settings.log_call_timeout_ms,
        )
        match page:
            case LogPage():
                self._next_offset = page.next_offset
                for entry in page.entries:
                    self._apply(entry)
                return None
            case LogGap():
                self._next_offset = None
                return await self._load()
        return page.detail

    async def _load(self) -> str | None:
        outcome = await self._newest_reader.read(
            self._apply_newest, self._settings.log_call_timeout_ms
        )
        if not isinstance(outcome, NewestRecords):
            return outcome.detail
        for removed_key in self._info_by_key.keys() - self._listed_keys:
            self._apply((removed_key, b""))
        self._next_offset = outcome.next_offset
        self._newest_reader = NewestReader(self._log)
        self._listed_keys = set()
        return None

    def _apply_newest(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._listed_keys.add(entry[0])
            self._apply(entry)

    def _apply(self, entry: Entry) -> None:
        key, value = entry
        if not key:
            return
        try:
            if value:
                self._update_endpoint(key, value)
            else:
                self._remove(key)
        except Exception:
            log_failure("endpoint_record_failed", key=key, bytes=len(value))

    def _update_endpoint(self, key: str, value: bytes) -> None:
        info = self._adapter.decode_endpoint(key, value)
        if info is None or self._info_by_key.get(key) == info:
            return
        # Its removal must be reported even if this error left a part of it behind.
        self._info_by_key[key] = None
        self._on_updated(info)
        self._info_by_key[key] = info

    def _remove(self, key: str) -> None:
        if key in self._info_by_key:
            self._on_removed(key)
            del self._info_by_key[key]
