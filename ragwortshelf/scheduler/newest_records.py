"""Reads the newest record of every key in a log, page by page."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .interfaces import Entry, KeyedLog, LogRefused, LogUnanswered, NewestPage

__all__ = ["NewestRecords", "read_newest_records"]


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """All pages were read; the caller continues reading at ``next_offset``.

    The pages are not a consistent snapshot. ``next_offset`` is the end of the log at
    the first page, so records appended while paging are read again.
    """

    next_offset: int


async def read_newest_records(
    log: KeyedLog, on_page: Callable[[tuple[Entry, ...]], None], timeout_ms: int
) -> NewestRecords | LogRefused | LogUnanswered:
    """Pass each page to ``on_page``; ``timeout_ms`` applies to each page separately.

    Stops at the first page that is refused or unanswered and returns that outcome.
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
