"""Messages passed on for others, so that each answer finds its way back."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from .peer_frames import Envelope, EnvelopeKind
from .peer_link import PeerLink

__all__ = ["RelayTable", "answer_to"]

CALLS_MAX = 4_096
HOPS_MAX = 3


def answer_to(
    call: Envelope,
    kind: EnvelopeKind,
    *,
    body: bytes = b"",
    detail: str = "",
    may_have_applied: bool = True,
) -> Envelope:
    """Return the answer to a call; it carries the caller's incarnation back."""
    return Envelope(
        kind,
        call.call_id,
        call.to,
        call.incarnation,
        call.sender,
        body,
        detail=detail,
        may_have_applied=may_have_applied,
    )


@dataclass(frozen=True, slots=True)
class _PassedOn:
    call: Envelope
    came_over: PeerLink
    went_over: PeerLink


class RelayTable:
    """The calls that were passed on and not answered yet."""

    def __init__(self):
        self._passed_on_by_call: dict[tuple[str, int, int], _PassedOn] = {}

    def pass_on(
        self, envelope: Envelope, came_over: PeerLink, go_over: PeerLink | None
    ) -> bool:
        """Send a message on; False if it provably went nowhere."""
        if go_over is None or go_over is came_over or envelope.hops >= HOPS_MAX:
            return False
        is_call = envelope.kind is EnvelopeKind.CALL
        if is_call and len(self._passed_on_by_call) >= CALLS_MAX:
            return False
        onward = dataclasses.replace(envelope, hops=envelope.hops + 1)
        if go_over.offer(onward) is None:
            return False
        if is_call:
            key = (envelope.sender, envelope.incarnation, envelope.call_id)
            self._passed_on_by_call[key] = _PassedOn(envelope, came_over, go_over)
        return True

    def return_answer(self, answer: Envelope) -> None:
        """Send an answer back the way its call came; drop it if nobody waits."""
        key = (answer.to, answer.incarnation, answer.call_id)
        passed_on = self._passed_on_by_call.pop(key, None)
        if passed_on is not None:
            passed_on.came_over.offer(answer)

    def drop_link(self, link: PeerLink) -> None:
        """Answer the calls that went over a lost link, and forget those it brought."""
        for key, passed_on in tuple(self._passed_on_by_call.items()):
            if link not in (passed_on.came_over, passed_on.went_over):
                continue
            del self._passed_on_by_call[key]
            if passed_on.went_over is link:
                passed_on.came_over.offer(
                    answer_to(
                        passed_on.call, EnvelopeKind.FAILED, detail="lost on the way"
                    )
                )
