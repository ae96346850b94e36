"""Forwarding of messages between peers that are not connected to each other."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from .peer_frames import Envelope, EnvelopeKind
from .peer_link import PeerLink

__all__ = ["RelayTable", "make_answer"]

MAX_RELAYED_CALLS = 4_096
MAX_HOPS = 3


def make_answer(
    call: Envelope,
    kind: EnvelopeKind,
    *,
    body: bytes = b"",
    detail: str = "",
    may_have_applied: bool = True,
) -> Envelope:
    """Return the answer to a call, with the caller's incarnation and call id."""
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
class _RelayedCall:
    """A forwarded call, with the links that it arrived on and was sent over."""

    call: Envelope
    incoming_link: PeerLink
    outgoing_link: PeerLink


class RelayTable:
    """The forwarded calls that have not been answered yet.

    An answer is sent back over the link that its call arrived on.
    """

    def __init__(self):
        self._relayed_calls: dict[tuple[str, int, int], _RelayedCall] = {}

    def forward(
        self,
        envelope: Envelope,
        incoming_link: PeerLink,
        outgoing_link: PeerLink | None,
    ) -> bool:
        """Forward a message; False if it was certainly not sent."""
        if (
            outgoing_link is None
            or outgoing_link is incoming_link
            or envelope.hops >= MAX_HOPS
        ):
            return False
        is_call = envelope.kind is EnvelopeKind.CALL
        if is_call and len(self._relayed_calls) >= MAX_RELAYED_CALLS:
            return False
        forwarded = dataclasses.replace(envelope, hops=envelope.hops + 1)
        if outgoing_link.enqueue(forwarded) is None:
            return False
        if is_call:
            key = (envelope.sender, envelope.incarnation, envelope.call_id)
            self._relayed_calls[key] = _RelayedCall(
                envelope, incoming_link, outgoing_link
            )
        return True

    def forward_answer(self, answer: Envelope) -> None:
        """Send an answer back over its call's link; drop it if the call is unknown."""
        key = (answer.to, answer.incarnation, answer.call_id)
        relayed = self._relayed_calls.pop(key, None)
        if relayed is not None:
            relayed.incoming_link.enqueue(answer)

    def remove_link(self, link: PeerLink) -> None:
        """Fail the calls sent over a lost link, and drop those that arrived on it."""
        for key, relayed in tuple(self._relayed_calls.items()):
            if link not in (relayed.incoming_link, relayed.outgoing_link):
                continue
            del self._relayed_calls[key]
            if relayed.outgoing_link is link:
                relayed.incoming_link.enqueue(
                    make_answer(
                        relayed.call, EnvelopeKind.FAILED, detail="lost on the way"
                    )
                )
