"""Reads the newest record of every key in a log, page by page."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .interfaces import Entry, KeyedLog, LogRefused, LogUnanswered, NewestPage

__all__ = ["NewestReader", "NewestRecords"]


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """All pages were read; the caller continues reading at ``next_offset``.

    The pages are not a consistent snapshot. ``next_offset`` is the end of the log at
    the first page, so records appended while paging are read again.
    """

    next_offset: int


class NewestReader:
    """Reads all pages once, over as many calls of ``read`` as failed pages require.

    Any time may pass between two calls. What is appended or deleted meanwhile follows
    ``next_offset``, and the caller reads it after the last page. If those records have
    expired by then, that read returns `LogGap`, and a new reader is needed.
    """

    def __init__(self, log: KeyedLog):
        self._log = log
        self._after_key: str | None = None
        self._next_offset: int | None = None

    async def read(
        self, on_page: Callable[[tuple[Entry, ...]], None], timeout_ms: int
    ) -> NewestRecords | LogRefused | LogUnanswered:
        """Pass each page to ``on_page``; ``timeout_ms`` applies to each separately.

        Stops at the first page that is refused or unanswered and returns that outcome.
        The next call continues with that page. Not to be called again once it has
        returned `NewestRecords`.
        """
        while True:
            page = await self._log.newest(self._after_key, timeout_ms=timeout_ms)
            if not isinstance(page, NewestPage):
                return page
            on_page(page.entries)
            if self._next_offset is None:
                self._next_offset = page.end
            self._after_key = page.next_key
            if self._after_key is None:
                return NewestRecords(self._next_offset)
