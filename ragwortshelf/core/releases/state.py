"""State of the fold of release notes, and the verdicts that it gives."""

from __future__ import annotations

import dataclasses
import enum
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model import NO_REVISION, Configuration
from ..streams.codec import Undecodable, decode, encode
from .note import NOTE_FORMAT, Fault

__all__ = [
    "Accepted",
    "Conflict",
    "Duplicate",
    "Halted",
    "LastChange",
    "NoteEntry",
    "RefusalReason",
    "Refused",
    "ReleaseState",
    "Verdict",
    "restore",
    "snapshot",
]


class RefusalReason(enum.StrEnum):
    """Why a note is refused; the value is the name on the wire."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    TOO_OLD = "too_old"
    NOTE_ID_REUSED = "note_id_reused"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The note is in force since ``revision``, its offset."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """An object that somebody changed after the revision the note names."""

    object: str
    revision: int
    author: str
    note_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The note changed nothing; ``reason`` is one of ``RefusalReason``."""

    reason: RefusalReason
    faults: tuple[Fault, ...] = ()
    conflicts: tuple[Conflict, ...] = ()


@dataclass(frozen=True, slots=True)
class Duplicate:
    """A second copy of a note; the verdict is that of the first copy."""

    first_offset: int


@dataclass(frozen=True, slots=True)
class Halted:
    """The note's format is newer than this version, which folds nothing from here on.

    Any other answer could differ from what newer instances say.
    """

    format: int


Verdict = Accepted | Refused | Duplicate | Halted


@dataclass(frozen=True, slots=True)
class LastChange:
    """The last accepted note that touched an object."""

    revision: int
    author: str
    note_id: str


@dataclass(frozen=True, slots=True)
class NoteEntry:
    """A note that was judged, with its verdict at its first offset.

    ``digest`` tells a repeat of the note from another one under the same id.
    """

    note_id: str
    author: str
    purpose: str
    offset: int
    against_revision: int
    digest: bytes
    submitted_wall_ms: int
    touched: tuple[str, ...] = ()
    accepted: bool = False
    refusal: Refused | None = None

    @property
    def verdict(self) -> Accepted | Refused:
        """The verdict as the fold gave it."""
        return Accepted(self.offset) if self.accepted else self.refusal


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """What the notes before ``next_offset`` amount to.

    ``entry_by_note_id`` holds the newest judged notes in the order of their offsets.
    A note against a revision below ``oldest_revision`` is refused as too old unless
    that revision is still in force: the fold has forgotten what a repeat or a
    conflict would be told by. ``format`` is the newest format of a note in force.
    """

    next_offset: int = 0
    configuration: Configuration = field(default_factory=Configuration)
    last_change_by_object: Mapping[str, LastChange] = field(default_factory=dict)
    entry_by_note_id: Mapping[str, NoteEntry] = field(default_factory=dict)
    oldest_revision: int = NO_REVISION
    format: int = NOTE_FORMAT
    halted_format: int | None = None

    @property
    def is_halted(self) -> bool:
        """Whether a note of a newer format stopped the fold."""
        return self.halted_format is not None

    @property
    def history(self) -> tuple[NoteEntry, ...]:
        """The newest judged notes, the oldest of them first."""
        return tuple(self.entry_by_note_id.values())

    def verdict_of(self, note_id: str) -> Accepted | Refused | None:
        """Return the verdict of a note's first copy, None if it is not known."""
        entry = self.entry_by_note_id.get(note_id)
        return None if entry is None else entry.verdict


@dataclass(frozen=True, slots=True)
class _Snapshot:
    VERSION = 1

    state: ReleaseState


def snapshot(state: ReleaseState) -> bytes:
    """Encode the state; a halted one is encoded as it was before it halted."""
    kept = dataclasses.replace(state, halted_format=None)
    return zlib.compress(encode(_Snapshot(kept)))


def restore(data: bytes) -> ReleaseState | Undecodable:
    """Decode a state that ``snapshot`` encoded, at this or a neighbouring version.

    A state with notes of a newer format is ``Undecodable``: fields of it that are
    unknown here would be lost, and with them what is in force.
    """
    try:
        plain = zlib.decompress(data)
    except zlib.error as error:
        return Undecodable(f"not compressed: {error}")
    message = decode(plain, {"_Snapshot": _Snapshot})
    if isinstance(message, Undecodable):
        return message
    if message.state.format > NOTE_FORMAT:
        return Undecodable(f"a state with notes of format {message.state.format}")
    return message.state
