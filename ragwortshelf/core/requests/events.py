"""Events that ``RequestMachine`` takes and actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass

from ..model import Decision, Request, RequestOutcome, ServingEndpoint, Unreachable
from .messages import LoadReport

__all__ = [
    "Abort",
    "Action",
    "AttemptEnded",
    "Cancelled",
    "ConnectionsSuspected",
    "DrainStarted",
    "Event",
    "Finish",
    "Log",
    "EndpointsListed",
    "NotSentToEndpoint",
    "OrganisationsChanged",
    "PeerLoadReceived",
    "PeerLost",
    "Send",
    "Delegate",
    "Submitted",
    "Suspect",
    "Ticked",
]


DEFAULT_QUEUE_LIMIT = 5_000


@dataclass(frozen=True, slots=True)
class Submitted:
    """A new request.

    ``is_delegated`` is set if the instance that owns the request's id delegated it.
    """

    request: Request
    is_delegated: bool = False


@dataclass(frozen=True, slots=True)
class NotSentToEndpoint:
    """Result that proves that an attempt did not run.

    ``is_refusal`` is set if the endpoint itself refused, because it is leaving or full.
    """

    detail: str
    is_refusal: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Result of a ``Send`` or a ``Delegate``; the slot it used is free again.

    ``is_old_connection`` is set if the connection had returned an answer before. The
    failure of such a connection says little about the health of the endpoint.
    """

    request_id: str
    result: RequestOutcome | NotSentToEndpoint | Unreachable
    is_old_connection: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionsSuspected:
    """Requests running on a silent connection and on its siblings.

    ``ProgressRules`` defines siblings.
    """

    request_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller cancelled the request and no other caller waits for it."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """The endpoints in the endpoint list, of all data centres."""

    endpoints: tuple[ServingEndpoint, ...]


@dataclass(frozen=True, slots=True)
class OrganisationsChanged:
    """Weights by organisation; None admits any organisation with weight 1.

    ``queue_limit`` is how many requests of each organisation may wait at this instance.
    """

    weight_by_organisation: dict[str, int] | None
    queue_limit: int = DEFAULT_QUEUE_LIMIT


@dataclass(frozen=True, slots=True)
class PeerLoadReceived:
    """A peer's load report."""

    peer: str
    load: LoadReport


@dataclass(frozen=True, slots=True)
class PeerLost:
    """A peer is unreachable; nothing is sent to it until its next load report."""

    peer: str


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """New requests are refused from now on."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed or the shares of slots have changed."""


Event = (
    Submitted
    | AttemptEnded
    | Cancelled
    | ConnectionsSuspected
    | EndpointsListed
    | OrganisationsChanged
    | PeerLoadReceived
    | PeerLost
    | DrainStarted
    | Ticked
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an endpoint once, as attempt number ``attempt``."""

    request: Request
    endpoint: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Delegate:
    """Delegate a request to a peer for one attempt."""

    request: Request
    peer: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Abort:
    """Stop an attempt and close its connection; then report ``AttemptEnded``.

    ``is_silent`` is set if the attempt got no answer in the time that is likely for its
    class. The siblings of its connection are then checked as for ``Suspect``.
    """

    request_id: str
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class Suspect:
    """Check a connection without an answer by the progress deadline.

    The request continues. If no sibling of the connection has answered since the
    request was sent, the driver reports ``ConnectionsSuspected``.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class Finish:
    """The final outcome of a request."""

    request_id: str
    outcome: RequestOutcome


@dataclass(frozen=True, slots=True)
class Log:
    """A decision to write to the decision log."""

    decision: Decision


Action = Send | Delegate | Abort | Suspect | Finish | Log
