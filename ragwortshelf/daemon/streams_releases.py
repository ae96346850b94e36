"""Release notes in the log: the fold that builds the configuration, and submission."""

from __future__ import annotations

from absl import logging

from ..core.model import Configuration, NotRun, Unreachable
from ..core.releases import (
    Accepted,
    Duplicate,
    Halted,
    Refused,
    ReleaseNote,
    ReleaseState,
    fold,
    note_to_json,
    restore,
    snapshot,
    verdict_at,
)
from ..core.streams import RELEASES_STREAM, Record, ReleaseSubmitted, Undecodable
from .streams import StreamService
from .streams_fold import Clock, Fold

__all__ = ["ReleaseFold", "submit_release"]


class ReleaseFold(Fold):
    """Builds the configuration in force, with its history, from release notes."""

    def __init__(self):
        self.state = ReleaseState()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.state.configuration

    def apply(self, offset: int, record: Record) -> None:
        """Apply a release note; other records do not affect the configuration."""
        if not isinstance(record, ReleaseSubmitted):
            return
        was_halted = self.state.is_halted
        self.state, verdict = fold(self.state, offset, record)
        if isinstance(verdict, Halted) and not was_halted:
            logging.error(
                "release note %s at %d has format %d, which this version does not"
                " know: the configuration stays at revision %d",
                record.note_id,
                offset,
                verdict.format,
                self.configuration.revision,
            )

    def snapshot(self) -> bytes:
        """Encode the configuration and its history."""
        return snapshot(self.state)

    def restore(self, data: bytes) -> bool:
        """Restore a state unless it is older than the present one."""
        state = restore(data)
        if isinstance(state, Undecodable) or state.next_offset < self.state.next_offset:
            return False
        self.state = state
        return True

    @property
    def is_halted(self) -> bool:
        """Whether a note of a newer format stopped the fold."""
        return self.state.is_halted


async def submit_release(
    service: StreamService,
    releases: ReleaseFold,
    note: ReleaseNote,
    *,
    deadline_ms: int,
    clock: Clock | None = None,
) -> Accepted | Refused | Duplicate | Halted | NotRun | Unreachable:
    """Append a note and return the verdict that the fold gives it.

    A repeated note returns ``Duplicate`` with the offset of the first, whose verdict
    ``releases.state.verdict_of`` returns. ``Unreachable`` means that the note may still
    take effect. It is safe to submit the same note again, here or at another instance,
    to learn its verdict.
    """
    clock = clock or Clock()
    record = ReleaseSubmitted(
        note.note_id, note.author, note_to_json(note), clock.wall_ms()
    )
    answer = await service.append(RELEASES_STREAM, record, deadline_ms=deadline_ms)
    if isinstance(answer, NotRun | Unreachable):
        return answer
    offset = answer.first_offset
    if not await service.wait_for(RELEASES_STREAM, offset, deadline_ms):
        return Unreachable(f"the note is at offset {offset} and was not judged in time")
    return verdict_at(releases.state, offset, record)
