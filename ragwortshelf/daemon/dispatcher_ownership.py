"""Ownership of request ids, which ensures that a request runs at most once.

A non-idempotent request is served only by its owner, the instance that reserved its id.
Other instances forward the request to the owner. If the owner does not answer, they
look for the outcomes that it handed over when it stopped, and answer ``Unknown`` if
they find no handover.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio

from ..core.model import (
    InstanceInfo,
    MemberState,
    NotRun,
    Reason,
    Request,
    RequestOutcome,
    Unknown,
)
from ..core.requests import (
    ID_REUSED,
    DelegatedRequest,
    HandedOver,
    HandoverNoted,
    IdReserver,
    KeptOutcome,
    KeptOutcomes,
    OutcomeMessage,
    OutcomeQuery,
    OwnedRequest,
    RequestId,
    parse_request_id,
    request_fingerprint,
)
from ..net.interfaces import Peers
from .clock import monotonic_ms

__all__ = ["Ownership", "outcome_message"]

HANDOVER_PEERS = 3
HANDOVER_TIMEOUT_MS = 2_000
HANDOVER_OUTCOMES_MAX = 1_000
HANDOVER_MAX_BYTES = 2 * 1024 * 1024
FORWARDED_BODY_MAX_BYTES = 2 * 1024 * 1024
HANDOVERS_KEPT_MAX = 32
QUERY_TIMEOUT_MS = 1_000
DELEGATED_KEPT_MAX = 10_000

Submit = Callable[[Request], Awaitable[RequestOutcome]]


class Ownership:
    """Keeps the outcomes of this incarnation's ids, and forwards other requests."""

    def __init__(self, instance: str, incarnation: int, ids: IdReserver, peers: Peers):
        self._instance = instance
        self._incarnation = incarnation
        self._ids = ids
        self._peers = peers
        self._kept = KeptOutcomes()
        self._handed_over: OrderedDict[tuple[str, int], HandedOver] = OrderedDict()
        self._delegated_outcomes: OrderedDict[tuple[str, int], RequestOutcome] = (
            OrderedDict()
        )
        self._live_peers: tuple[InstanceInfo, ...] = ()

    def register_handlers(self, submit: Submit) -> None:
        """Start to answer peers; ``submit`` serves a request owned by this instance."""
        self._submit = submit
        self._peers.handle(OwnedRequest, self._on_owned)
        self._peers.handle(OutcomeQuery, self._on_query)
        self._peers.handle(HandedOver, self._on_handed_over)

    def set_instances(self, instances: tuple[InstanceInfo, ...]) -> None:
        """Apply the listed instances; an empty list changes nothing."""
        if instances:
            self._live_peers = tuple(
                info
                for info in instances
                if info.name != self._instance and info.state is MemberState.LIVE
            )

    def record_outcome(
        self, request: Request, outcome: RequestOutcome, now_ms: int
    ) -> None:
        """Keep the outcome of a non-idempotent request of this incarnation.

        ``NotRun`` is not kept, since the request may still be run under its id.
        """
        if request.is_idempotent or isinstance(outcome, NotRun):
            return
        parsed = parse_request_id(request.request_id)
        if parsed is not None and self._ids.owns(parsed):
            self._kept.keep(request, outcome, now_ms)

    async def find_outcome(
        self, request: Request, now_ms: int
    ) -> RequestOutcome | None:
        """Return the outcome of a request, or None if it is to be run here.

        A request whose owner is another instance is forwarded, and may run there.
        """
        parsed = parse_request_id(request.request_id)
        if parsed is None:
            return NotRun(Reason.INVALID, "the request id is malformed")
        if request.is_idempotent:
            return None
        if self._ids.owns(parsed):
            return self._kept.get(request)
        if (parsed.instance, parsed.incarnation) == (self._instance, self._incarnation):
            return NotRun(Reason.INVALID, "the request id was never reserved")
        return await self._forward_to_owner(request, parsed, now_ms)

    def delegated_outcome(self, message: DelegatedRequest) -> RequestOutcome | None:
        """Return the outcome of a delegated attempt that already ran here, or None."""
        return self._delegated_outcomes.get(
            (message.request.request_id, message.attempt)
        )

    def record_delegated(
        self, message: DelegatedRequest, outcome: RequestOutcome
    ) -> None:
        """Keep the outcome of a delegated attempt, in case its message is repeated."""
        self._delegated_outcomes[message.request.request_id, message.attempt] = outcome
        while len(self._delegated_outcomes) > DELEGATED_KEPT_MAX:
            self._delegated_outcomes.popitem(last=False)

    async def hand_over(self) -> None:
        """Send the kept outcomes to a few peers; call this when no request runs."""
        newest = self._kept.items()[-HANDOVER_OUTCOMES_MAX:]
        omitted = self._kept.items()[:-HANDOVER_OUTCOMES_MAX]
        numbers = [parse_request_id(key).number + 1 for key, _, _ in omitted]
        numbers.append(self._kept.forgotten_below)
        message = HandedOver(
            self._instance,
            self._incarnation,
            max(numbers),
            _kept_outcomes(newest),
        )
        deadline_ms = monotonic_ms() + HANDOVER_TIMEOUT_MS
        async with trio.open_nursery() as nursery:
            for info in self._live_peers[:HANDOVER_PEERS]:
                nursery.start_soon(self._call, info.name, message, deadline_ms)

    async def _call(self, peer: str, message: object, deadline_ms: int) -> object:
        return await self._peers.call(peer, message, deadline_ms=deadline_ms)

    async def _forward_to_owner(
        self, request: Request, parsed: RequestId, now_ms: int
    ) -> RequestOutcome:
        fingerprint = request_fingerprint(request)
        known_outcome = self._handed_over_outcome(parsed, fingerprint)
        if known_outcome is not None:
            return known_outcome
        message = OwnedRequest(request, max(1, request.deadline_ms - now_ms))
        reply = await self._peers.call(
            parsed.instance, message, deadline_ms=request.deadline_ms
        )
        if isinstance(reply, OutcomeMessage) and reply.outcome() is not None:
            return reply.outcome()
        if monotonic_ms() < request.deadline_ms:
            known_outcome = await self._query_peers(
                OutcomeQuery(str(parsed), fingerprint)
            )
        if known_outcome is not None:
            return known_outcome
        if isinstance(reply, OutcomeMessage):
            return Unknown(Reason.INSTANCE_LOST, "the owner of the id is gone")
        return Unknown(Reason.OWNER_UNREACHABLE, "the owner of the id did not answer")

    async def _query_peers(self, query: OutcomeQuery) -> RequestOutcome | None:
        """Ask all peers concurrently for an outcome that was handed over to them."""
        outcomes: list[RequestOutcome] = []
        deadline_ms = monotonic_ms() + QUERY_TIMEOUT_MS

        async def ask(name: str) -> None:
            reply = await self._call(name, query, deadline_ms)
            outcome = reply.outcome() if isinstance(reply, OutcomeMessage) else None
            if outcome is not None:
                outcomes.append(outcome)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for info in self._live_peers:
                nursery.start_soon(ask, info.name)
        return outcomes[0] if outcomes else None

    def _handed_over_outcome(
        self, parsed: RequestId, fingerprint: str
    ) -> RequestOutcome | None:
        handover = self._handed_over.get((parsed.instance, parsed.incarnation))
        if handover is None:
            return None
        for entry in handover.outcomes:
            if entry.request_id == str(parsed):
                is_same_request = entry.fingerprint == fingerprint
                return entry.outcome.outcome() if is_same_request else ID_REUSED
        if parsed.number < handover.forgotten_below:
            return Unknown(Reason.INSTANCE_LOST, "the outcome is no longer kept")
        return NotRun(
            Reason.INSTANCE_LOST,
            "the owner of the id stopped before it ran; reserve a new id",
            0,
        )

    async def _on_owned(self, sender: str, message: OwnedRequest) -> OutcomeMessage:
        parsed = parse_request_id(message.request.request_id)
        if parsed is None or not self._ids.owns(parsed):
            query = OutcomeQuery(
                message.request.request_id, request_fingerprint(message.request)
            )
            return await self._on_query(sender, query)
        deadline_ms = monotonic_ms() + message.remaining_ms
        request = replace(message.request, deadline_ms=deadline_ms)
        return outcome_message(await self._submit(request))

    async def _on_query(self, sender: str, message: OutcomeQuery) -> OutcomeMessage:
        parsed = parse_request_id(message.request_id)
        if parsed is None:
            return OutcomeMessage()
        return OutcomeMessage.of(self._handed_over_outcome(parsed, message.fingerprint))

    async def _on_handed_over(self, sender: str, message: HandedOver) -> HandoverNoted:
        self._handed_over[message.instance, message.incarnation] = message
        while len(self._handed_over) > HANDOVERS_KEPT_MAX:
            self._handed_over.popitem(last=False)
        return HandoverNoted(len(message.outcomes))


def outcome_message(
    outcome: RequestOutcome | None, max_bytes: int = FORWARDED_BODY_MAX_BYTES
) -> OutcomeMessage:
    """Encode an outcome; an answer above ``max_bytes`` becomes ``Unknown``."""
    message = OutcomeMessage.of(outcome)
    if len(message.body) <= max_bytes:
        return message
    detail = "it was answered; the answer is too large to pass on"
    return OutcomeMessage.of(Unknown(Reason.NO_ANSWER, detail))


def _kept_outcomes(
    newest: list[tuple[str, str, RequestOutcome]],
) -> tuple[KeptOutcome, ...]:
    """Return outcomes for a handover, newest first, with as many bodies as fit."""
    remaining_bytes = HANDOVER_MAX_BYTES
    kept_outcomes = []
    for request_id, fingerprint, outcome in reversed(newest):
        message = outcome_message(outcome, remaining_bytes)
        remaining_bytes -= len(message.body)
        kept_outcomes.append(KeptOutcome(request_id, fingerprint, message))
    return tuple(kept_outcomes)
