"""Messages between instances about requests, shares and load.

All are frozen data classes encoded by ``core.streams.codec``. ``MESSAGE_TYPES`` lists
them for registration with a codec. Masks are integers whose bit ``k`` stands for token
``k`` of an endpoint. Times are remaining milliseconds, since clocks differ between
instances.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model import Answered, NotRun, Reason, Request, RequestOutcome, Unknown

__all__ = [
    "DelegatedRequest",
    "HandedOver",
    "HandoverNoted",
    "KeptOutcome",
    "LoadReport",
    "MESSAGE_TYPES",
    "OutcomeMessage",
    "OutcomeQuery",
    "OwnedRequest",
    "ShareHeartbeat",
    "ShareReply",
]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an instance, as reported to its peers.

    ``free_slots`` is the number of requests that it could start at once, and
    ``in_flight_by_endpoint`` counts its own running requests, so that peers of the data
    centre can add up the total load of an endpoint.
    """

    data_centre: str = ""
    free_slots: int = 0
    waiting: int = 0
    is_draining: bool = False
    in_flight_by_endpoint: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ShareHeartbeat:
    """Asks a peer to promise, or keep promising, not to use certain tokens.

    These are the tokens in ``wanted_by_endpoint``. The sender uses no others, and none
    ever again if ``has_ended`` is set. ``members`` are the instances of its data centre
    that may hold tokens as far as the sender knows.
    """

    data_centre: str
    incarnation: int
    sequence: int
    wanted_by_endpoint: Mapping[str, int] = field(default_factory=dict)
    members: tuple[str, ...] = ()
    holds_share: bool = False
    is_draining: bool = False
    has_ended: bool = False
    load: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class ShareReply:
    """Promises not to use the tokens in ``granted_by_endpoint``.

    The promise holds until a later heartbeat leaves the token out, or until the lease
    of the asking instance has certainly expired.
    """

    incarnation: int
    sequence: int
    granted_by_endpoint: Mapping[str, int] = field(default_factory=dict)
    members: tuple[str, ...] = ()
    holds_share: bool = False
    is_draining: bool = False
    load: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class OutcomeMessage:
    """A ``RequestOutcome`` as a message; an empty ``kind`` means that none is known."""

    kind: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: str = ""
    detail: str = ""
    retry_after_ms: int | None = None

    @classmethod
    def of(cls, outcome: RequestOutcome | None) -> OutcomeMessage:
        """Return the message that carries an outcome."""
        match outcome:
            case None:
                return cls()
            case Answered(status, headers, body):
                return cls("answered", status, headers, body)
            case NotRun(reason, detail, retry_after_ms):
                return cls(
                    "not_run",
                    reason=reason.value,
                    detail=detail,
                    retry_after_ms=retry_after_ms,
                )
            case Unknown(reason, detail):
                return cls("unknown", reason=reason.value, detail=detail)
        raise TypeError(f"{outcome!r} is no outcome of a request")

    def outcome(self) -> RequestOutcome | None:
        """Return the outcome that the message carries, or None."""
        if self.kind == "answered":
            return Answered(self.status, self.headers, self.body)
        if self.kind == "not_run":
            return NotRun(Reason(self.reason), self.detail, self.retry_after_ms)
        if self.kind == "unknown":
            return Unknown(Reason(self.reason), self.detail)
        return None


@dataclass(frozen=True, slots=True)
class OwnedRequest:
    """Forwards a request to the owner of its id; answered by ``OutcomeMessage``."""

    request: Request
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class DelegatedRequest:
    """Lets the receiver send a request once, if it can do so immediately.

    Only the owner of the id sends this message. ``attempt`` distinguishes a repeated
    delivery from a new attempt. Answered by ``OutcomeMessage``.
    """

    request: Request
    remaining_ms: int
    attempt: int


@dataclass(frozen=True, slots=True)
class OutcomeQuery:
    """Asks for the known outcome of a request whose owner has stopped."""

    request_id: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class KeptOutcome:
    """The stored outcome of one non-idempotent request."""

    request_id: str
    fingerprint: str
    outcome: OutcomeMessage


@dataclass(frozen=True, slots=True)
class HandedOver:
    """Outcomes that a stopping instance hands over; it sends no more requests.

    A request numbered ``forgotten_below`` or higher that is not in ``outcomes`` never
    ran.
    """

    instance: str
    incarnation: int
    forgotten_below: int
    outcomes: tuple[KeptOutcome, ...]


@dataclass(frozen=True, slots=True)
class HandoverNoted:
    """Confirms that the receiver stored the handed-over outcomes."""

    count: int


MESSAGE_TYPES = (
    DelegatedRequest,
    HandedOver,
    HandoverNoted,
    KeptOutcome,
    LoadReport,
    OutcomeMessage,
    OutcomeQuery,
    OwnedRequest,
    ShareHeartbeat,
    ShareReply,
)
