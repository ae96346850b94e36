"""Reads the newest record of every key of a log, page by page."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .interfaces import Entry, KeyedLog, LogRefused, LogUnanswered, NewestPage

__all__ = ["NewestRecords", "read_newest_records"]


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """All pages were read. Reading goes on at ``next_offset``.

    Pages are not a snapshot: records that came after the first page are read again
    from there.
    """

    next_offset: int


async def read_newest_records(
    log: KeyedLog, on_page: Callable[[tuple[Entry, ...]], None], timeout_ms: int
) -> NewestRecords | LogRefused | LogUnanswered:
    """Hand each page of the newest records to ``on_page``; ``timeout_ms`` is a page's.

    A page that was not answered ends the reading, and its outcome is returned.
    """
    after_key: str | None = None
    next_offset: int | None = None
    while True:
        page = await log.newest(after_key, timeout_ms=timeout_ms)
        if not isinstance(page, NewestPage):
            return page
        on_page(page.entries)
        next_offset = page.end if next_offset is None else next_offset
        after_key = page.next_key
        if after_key is None:
            return NewestRecords(next_offset)
