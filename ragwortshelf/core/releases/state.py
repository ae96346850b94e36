"""State of the fold of release notes, and the verdicts on notes."""

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
    """Why a note is refused; the values are sent over the API."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    TOO_OLD = "too_old"
    NOTE_ID_REUSED = "note_id_reused"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The note took effect at ``revision``, which is its offset in the stream."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """An object that another note changed after the note's ``against_revision``.

    The other note is identified by ``revision``, ``author`` and ``note_id``.
    """

    object: str
    revision: int
    author: str
    note_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The note has no effect; ``faults`` or ``conflicts`` may give the details."""

    reason: RefusalReason
    faults: tuple[Fault, ...] = ()
    conflicts: tuple[Conflict, ...] = ()


@dataclass(frozen=True, slots=True)
class Duplicate:
    """A repeat of a note; the verdict of its first copy applies."""

    first_offset: int


@dataclass(frozen=True, slots=True)
class Halted:
    """The note's format is newer than this version supports; the fold stops before it.

    Any other verdict could differ from that of newer instances.
    """

    format: int


Verdict = Accepted | Refused | Duplicate | Halted


@dataclass(frozen=True, slots=True)
class LastChange:
    """The last accepted note that added, changed or withdrew an object."""

    revision: int
    author: str
    note_id: str


@dataclass(frozen=True, slots=True)
class NoteEntry:
    """An evaluated note, with the verdict on its first copy.

    ``offset`` is that of the first copy. ``digest`` distinguishes a repeat of the note
    from another note with the same id. ``submitted_wall_ms`` is the Unix time in
    milliseconds.
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
        """The verdict on the first copy of the note."""
        return Accepted(self.offset) if self.accepted else self.refusal


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Result of folding the records before ``next_offset``.

    ``entry_by_note_id`` holds the newest evaluated notes in the order of their offsets.
    A note against a revision below ``oldest_revision`` is refused as too old unless
    that revision is still in force, since the entries that would reveal a repeat or a
    conflict may have been dropped. ``format`` is the newest format of an accepted note.
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
        """Whether the fold has stopped at a note of an unsupported format."""
        return self.halted_format is not None

    @property
    def history(self) -> tuple[NoteEntry, ...]:
        """The newest evaluated notes in the order of their offsets."""
        return tuple(self.entry_by_note_id.values())

    def verdict_of(self, note_id: str) -> Accepted | Refused | None:
        """Return the verdict on a note's first copy, or None if the note is unknown."""
        entry = self.entry_by_note_id.get(note_id)
        return None if entry is None else entry.verdict


@dataclass(frozen=True, slots=True)
class _Snapshot:
    VERSION = 1

    state: ReleaseState


def snapshot(state: ReleaseState) -> bytes:
    """Encode the state, without the mark that it has halted.

    An instance of a newer version can then continue from it.
    """
    state_before_halt = dataclasses.replace(state, halted_format=None)
    return zlib.compress(encode(_Snapshot(state_before_halt)))


def restore(data: bytes) -> ReleaseState | Undecodable:
    """Decode a state encoded by ``snapshot`` in this or a neighbouring version.

    A state with notes of a newer format is ``Undecodable``: fields that this version
    does not know would be lost, and with them a part of the configuration in force.
    """
    try:
        plain = zlib.decompress(data)
    except zlib.error as error:
        return Undecodable(f"not compressed: {error}")
    message = decode(plain, {"_Snapshot": _Snapshot})
    if isinstance(message, Undecodable):
        return message
    if message.state.format > NOTE_FORMAT:
        return Undecodable(
            f"contains notes of unsupported format {message.state.format}"
        )
    return message.state
