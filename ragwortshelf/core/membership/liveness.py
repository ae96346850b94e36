"""Who has been heard of lately, and whether this instance's own heartbeats arrive."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .messages import Beat
from .timing import (
    DEAD_AFTER_MS,
    EVIDENCE_VALID_MS,
    REFUSED_DEAD_AFTER_MS,
    RELAY_ALLOWANCE_MS,
    SUSPECT_AFTER_MS,
)
from .view import MemberStatus

__all__ = ["Evidence", "Liveness"]

_SENT_HEARTBEATS_KEPT = 64


@dataclass(frozen=True, slots=True)
class _Heard:
    """The newest beat of a member, 0 while only listed, and when it came."""

    incarnation: int
    sequence: int
    heard_ms: int


class Liveness:
    """The newest beat of each member and the status that follows from its age."""

    def __init__(self):
        self._heard_by_name: dict[str, _Heard] = {}
        self._refusing: set[str] = set()

    def expect(self, name: str, now_ms: int) -> None:
        """Start to wait for the first beat of a member, if it is not known yet."""
        self._heard_by_name.setdefault(name, _Heard(0, 0, now_ms))

    def note_beat(self, beat: Beat, now_ms: int) -> bool:
        """Take a beat into account; False if it is no news."""
        known = self._heard_by_name.get(beat.name)
        if known is not None and (known.incarnation, known.sequence) >= (
            beat.incarnation,
            beat.sequence,
        ):
            return False
        self._heard_by_name[beat.name] = _Heard(beat.incarnation, beat.sequence, now_ms)
        self._refusing.discard(beat.name)
        return True

    def note_refused(self, name: str) -> None:
        """A member's host says that its process is gone; its next beat undoes it."""
        self._refusing.add(name)

    def knows(self, name: str) -> bool:
        """Whether the member has been listed or heard of."""
        return name in self._heard_by_name

    def beat(self, name: str) -> Beat | None:
        """Return the newest beat of a member that has been heard of."""
        heard = self._heard_by_name.get(name)
        if heard is None or heard.incarnation == 0:
            return None
        return Beat(name, heard.incarnation, heard.sequence)

    def incarnation(self, name: str) -> int:
        """Return the newest incarnation known of a member, or 0."""
        heard = self._heard_by_name.get(name)
        return 0 if heard is None else heard.incarnation

    def silent_ms(self, name: str, now_ms: int) -> int:
        """Return for how long no news of a member has come."""
        return now_ms - self._heard_by_name[name].heard_ms

    def status(self, name: str, now_ms: int, *, is_remote: bool) -> MemberStatus:
        """Judge a member by the age of its newest beat."""
        allowance_ms = RELAY_ALLOWANCE_MS if is_remote else 0
        silent_ms = self.silent_ms(name, now_ms) - allowance_ms
        dead_after_ms = DEAD_AFTER_MS
        if name in self._refusing:
            dead_after_ms = REFUSED_DEAD_AFTER_MS
        if silent_ms >= dead_after_ms:
            return MemberStatus.DEAD
        if silent_ms >= SUSPECT_AFTER_MS or self.incarnation(name) == 0:
            return MemberStatus.SUSPECTED
        return MemberStatus.ALIVE

    def restart_waiting(self, now_ms: int) -> None:
        """Give every member its full time again, after a pause of this instance."""
        self._refusing.clear()
        for name, heard in self._heard_by_name.items():
            self._heard_by_name[name] = _Heard(
                heard.incarnation, heard.sequence, now_ms
            )

    def forget(self, name: str) -> None:
        """Drop a member."""
        self._heard_by_name.pop(name, None)
        self._refusing.discard(name)


class Evidence:
    """Which of this instance's heartbeats a peer is known to have heard.

    The proof dates from when the heartbeat was sent, so that it is never younger than
    what the peer went by.
    """

    def __init__(self):
        self._sent_ms_by_sequence: dict[int, int] = {}
        self._sequences: deque[int] = deque()
        self._proved_ms: int | None = None

    def note_sent(self, sequence: int, now_ms: int) -> None:
        """Remember when a heartbeat was sent."""
        self._sent_ms_by_sequence[sequence] = now_ms
        self._sequences.append(sequence)
        if len(self._sequences) > _SENT_HEARTBEATS_KEPT:
            del self._sent_ms_by_sequence[self._sequences.popleft()]

    def note_echo(self, sequence: int) -> None:
        """Take a peer's word that it knows of a heartbeat."""
        sent_ms = self._sent_ms_by_sequence.get(sequence)
        if sent_ms is None:
            return
        if self._proved_ms is None or sent_ms > self._proved_ms:
            self._proved_ms = sent_ms

    def is_valid(self, now_ms: int) -> bool:
        """Whether a heartbeat sent lately is known to have arrived."""
        if self._proved_ms is None:
            return False
        return now_ms - self._proved_ms <= EVIDENCE_VALID_MS
