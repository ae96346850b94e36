"""Who may run a request, and what the owners of ids know.

A non-idempotent request is run by the owner of its id alone. Other instances pass it
to the owner; when the owner is gone they look for what it handed over at its stop, and
answer truthfully with what is known.
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

__all__ = ["Ownership", "passed_on"]

HANDOVER_PEERS = 3
HANDOVER_TIMEOUT_MS = 2_000
HANDOVER_OUTCOMES_MAX = 1_000
HANDOVER_MAX_BYTES = 2 * 1024 * 1024
PASSED_BODY_MAX_BYTES = 2 * 1024 * 1024
HANDOVERS_KEPT_MAX = 32
QUERY_TIMEOUT_MS = 1_000
DELEGATED_KEPT_MAX = 10_000

Submit = Callable[[Request], Awaitable[RequestOutcome]]


class Ownership:
    """Outcomes of this incarnation's ids, and the way to other owners."""

    def __init__(self, instance: str, incarnation: int, ids: IdReserver, peers: Peers):
        self._instance = instance
        self._incarnation = incarnation
        self._ids = ids
        self._peers = peers
        self._kept = KeptOutcomes()
        self._handed_over: OrderedDict[tuple[str, int], HandedOver] = OrderedDict()
        self._delegated: OrderedDict[tuple[str, int], RequestOutcome] = OrderedDict()
        self._live_peers: tuple[InstanceInfo, ...] = ()

    def handle(self, submit: Submit) -> None:
        """Answer peers; ``submit`` serves a request that this instance owns."""
        self._submit = submit
        self._peers.handle(OwnedRequest, self._on_owned)
        self._peers.handle(OutcomeQuery, self._on_query)
        self._peers.handle(HandedOver, self._on_handed_over)

    def set_instances(self, instances: tuple[InstanceInfo, ...]) -> None:
        """Apply the list; an empty one changes nothing."""
        if instances:
            self._live_peers = tuple(
                info
                for info in instances
                if info.name != self._instance and info.state is MemberState.LIVE
            )

    def keep(self, request: Request, outcome: RequestOutcome, now_ms: int) -> None:
        """Keep what became of a non-idempotent request of this incarnation.

        One that did not run may still run under its id, so it is not kept.
        """
        if request.is_idempotent or isinstance(outcome, NotRun):
            return
        parsed = parse_request_id(request.request_id)
        if parsed is not None and self._ids.owns(parsed):
            self._kept.keep(request, outcome, now_ms)

    async def outcome_elsewhere(
        self, request: Request, now_ms: int
    ) -> RequestOutcome | None:
        """Return the outcome if it is known or another's to find, else None.

        None means that this instance may run the request.
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
        return await self._ask_owner(request, parsed, now_ms)

    def delegated(self, message: DelegatedRequest) -> RequestOutcome | None:
        """Return the outcome of an attempt that was delegated before, or None."""
        return self._delegated.get((message.request.request_id, message.attempt))

    def note_delegated(
        self, message: DelegatedRequest, outcome: RequestOutcome
    ) -> None:
        """Keep the outcome of a delegated attempt, in case its message repeats."""
        self._delegated[message.request.request_id, message.attempt] = outcome
        while len(self._delegated) > DELEGATED_KEPT_MAX:
            self._delegated.popitem(last=False)

    async def hand_over(self) -> None:
        """Tell a few peers all outcomes; nothing is run here any more."""
        newest = self._kept.items()[-HANDOVER_OUTCOMES_MAX:]
        left_out = self._kept.items()[:-HANDOVER_OUTCOMES_MAX]
        numbers = [parse_request_id(key).number + 1 for key, _, _ in left_out]
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

    async def _ask_owner(
        self, request: Request, parsed: RequestId, now_ms: int
    ) -> RequestOutcome:
        fingerprint = request_fingerprint(request)
        known = self._handed_over_outcome(parsed, fingerprint)
        if known is not None:
            return known
        message = OwnedRequest(request, max(1, request.deadline_ms - now_ms))
        reply = await self._peers.call(
            parsed.instance, message, deadline_ms=request.deadline_ms
        )
        if isinstance(reply, OutcomeMessage) and reply.outcome() is not None:
            return reply.outcome()
        if monotonic_ms() < request.deadline_ms:
            known = await self._ask_everyone(OutcomeQuery(str(parsed), fingerprint))
        if known is not None:
            return known
        if isinstance(reply, OutcomeMessage):
            return Unknown(Reason.INSTANCE_LOST, "the owner of the id is gone")
        return Unknown(Reason.OWNER_UNREACHABLE, "the owner of the id did not answer")

    async def _ask_everyone(self, query: OutcomeQuery) -> RequestOutcome | None:
        """Ask all peers at once for what an owner handed over to them."""
        found: list[RequestOutcome] = []
        deadline_ms = monotonic_ms() + QUERY_TIMEOUT_MS

        async def ask(name: str) -> None:
            reply = await self._call(name, query, deadline_ms)
            outcome = reply.outcome() if isinstance(reply, OutcomeMessage) else None
            if outcome is not None:
                found.append(outcome)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for info in self._live_peers:
                nursery.start_soon(ask, info.name)
        return found[0] if found else None

    def _handed_over_outcome(
        self, parsed: RequestId, fingerprint: str
    ) -> RequestOutcome | None:
        record = self._handed_over.get((parsed.instance, parsed.incarnation))
        if record is None:
            return None
        for kept in record.outcomes:
            if kept.request_id == str(parsed):
                is_same = kept.fingerprint == fingerprint
                return kept.outcome.outcome() if is_same else ID_REUSED
        if parsed.number < record.forgotten_below:
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
        return passed_on(await self._submit(request))

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


def passed_on(
    outcome: RequestOutcome | None, max_bytes: int = PASSED_BODY_MAX_BYTES
) -> OutcomeMessage:
    """Return the message of an outcome; an answer too large for it is ``Unknown``."""
    message = OutcomeMessage.of(outcome)
    if len(message.body) <= max_bytes:
        return message
    detail = "it was answered; the answer is too large to pass on"
    return OutcomeMessage.of(Unknown(Reason.NO_ANSWER, detail))


def _kept_outcomes(
    newest: list[tuple[str, str, RequestOutcome]],
) -> tuple[KeptOutcome, ...]:
    """Return outcomes for a handover, with the bodies of the newest that fit."""
    left_bytes = HANDOVER_MAX_BYTES
    kept = []
    for request_id, fingerprint, outcome in reversed(newest):
        message = passed_on(outcome, left_bytes)
        left_bytes -= len(message.body)
        kept.append(KeptOutcome(request_id, fingerprint, message))
    return tuple(kept)
