"""Failure detection, and whether peers receive this instance's own heartbeats."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .messages import Beat
from .timing import (
    ACK_VALID_MS,
    DEAD_AFTER_MS,
    REFUSED_DEAD_AFTER_MS,
    RELAY_ALLOWANCE_MS,
    SUSPECT_AFTER_MS,
)
from .view import MemberStatus

__all__ = ["HeartbeatAcks", "Liveness"]

_SENT_HEARTBEATS_KEPT = 64


@dataclass(frozen=True, slots=True)
class _LastBeat:
    """The newest beat of a member and when it was received.

    ``incarnation`` and ``sequence`` are 0 while the member is only listed.
    """

    incarnation: int
    sequence: int
    received_ms: int


class Liveness:
    """Failure detector: derives the status of each member from its newest beat."""

    def __init__(self):
        self._last_beat_by_name: dict[str, _LastBeat] = {}
        self._refused: set[str] = set()

    def expect(self, name: str, now_ms: int) -> None:
        """Start the timeout for the first beat of a member that is not known yet."""
        self._last_beat_by_name.setdefault(name, _LastBeat(0, 0, now_ms))

    def record_beat(self, beat: Beat, now_ms: int) -> bool:
        """Record a beat; return False if an equal or newer one was recorded before."""
        last_beat = self._last_beat_by_name.get(beat.name)
        if last_beat is not None and (last_beat.incarnation, last_beat.sequence) >= (
            beat.incarnation,
            beat.sequence,
        ):
            return False
        self._last_beat_by_name[beat.name] = _LastBeat(
            beat.incarnation, beat.sequence, now_ms
        )
        self._refused.discard(beat.name)
        return True

    def mark_refused(self, name: str) -> None:
        """Record that a member's host refused a connection: its process is gone.

        Until its next beat, the member's timeout is ``REFUSED_DEAD_AFTER_MS``.
        """
        self._refused.add(name)

    def knows(self, name: str) -> bool:
        """Whether the member is known from the platform's list or from a peer."""
        return name in self._last_beat_by_name

    def beat(self, name: str) -> Beat | None:
        """Return the newest beat of a member, or None before the first one."""
        last_beat = self._last_beat_by_name.get(name)
        if last_beat is None or last_beat.incarnation == 0:
            return None
        return Beat(name, last_beat.incarnation, last_beat.sequence)

    def incarnation(self, name: str) -> int:
        """Return the newest known incarnation of a member, or 0."""
        last_beat = self._last_beat_by_name.get(name)
        return 0 if last_beat is None else last_beat.incarnation

    def silent_for_ms(self, name: str, now_ms: int) -> int:
        """Return the time in milliseconds since the newest beat of a member."""
        return now_ms - self._last_beat_by_name[name].received_ms

    def status(self, name: str, now_ms: int, *, is_remote: bool) -> MemberStatus:
        """Return the status of a member according to the age of its newest beat.

        A member that has not sent a beat yet is suspected until its timeout expires.
        """
        allowance_ms = RELAY_ALLOWANCE_MS if is_remote else 0
        silent_for_ms = self.silent_for_ms(name, now_ms) - allowance_ms
        dead_after_ms = DEAD_AFTER_MS
        if name in self._refused:
            dead_after_ms = REFUSED_DEAD_AFTER_MS
        if silent_for_ms >= dead_after_ms:
            return MemberStatus.DEAD
        if silent_for_ms >= SUSPECT_AFTER_MS or self.incarnation(name) == 0:
            return MemberStatus.SUSPECTED
        return MemberStatus.ALIVE

    def restart_timeouts(self, now_ms: int) -> None:
        """Restart the full timeout of every member, after a pause of this instance."""
        self._refused.clear()
        for name, last_beat in self._last_beat_by_name.items():
            self._last_beat_by_name[name] = _LastBeat(
                last_beat.incarnation, last_beat.sequence, now_ms
            )

    def forget(self, name: str) -> None:
        """Remove a member."""
        self._last_beat_by_name.pop(name, None)
        self._refused.discard(name)


class HeartbeatAcks:
    """Tracks which of this instance's heartbeats peers have acknowledged.

    The age of an acknowledgement counts from when its heartbeat was sent, which is
    before the peer received the heartbeat and restarted its timeout.
    """

    def __init__(self):
        self._sent_ms_by_sequence: dict[int, int] = {}
        self._sequences: deque[int] = deque()
        self._newest_acked_sent_ms: int | None = None

    def record_sent(self, sequence: int, now_ms: int) -> None:
        """Record when a heartbeat was sent."""
        self._sent_ms_by_sequence[sequence] = now_ms
        self._sequences.append(sequence)
        if len(self._sequences) > _SENT_HEARTBEATS_KEPT:
            del self._sent_ms_by_sequence[self._sequences.popleft()]

    def record_ack(self, sequence: int) -> None:
        """Record that a peer has received the heartbeat with this sequence number."""
        sent_ms = self._sent_ms_by_sequence.get(sequence)
        if sent_ms is None:
            return
        if self._newest_acked_sent_ms is None or sent_ms > self._newest_acked_sent_ms:
            self._newest_acked_sent_ms = sent_ms

    def is_recent(self, now_ms: int) -> bool:
        """Whether a heartbeat sent within ``ACK_VALID_MS`` has been acknowledged."""
        if self._newest_acked_sent_ms is None:
            return False
        return now_ms - self._newest_acked_sent_ms <= ACK_VALID_MS
