"""Routing, limits, retries and outcomes of requests.

``RequestMachine`` queues, routes and retries the requests of one instance;
``ShareManager`` divides the slots and connections of endpoints among the instances of a
data centre; ``IdReserver`` hands out request ids, and ``KeptOutcomes`` stores the
outcomes that the owner of an id returns for repeated requests.
"""

from .events import (
    Abort,
    Action,
    AttemptEnded,
    Cancelled,
    ConnectionsSuspected,
    Delegate,
    DrainStarted,
    EndpointsListed,
    Event,
    Finish,
    Log,
    NotSentToEndpoint,
    OrganisationsChanged,
    PeerLoadReceived,
    PeerLost,
    Send,
    Submitted,
    Suspect,
    Ticked,
)
from .fair_queue import FairQueue
from .health import EndpointHealth
from .ids import IdReserver, RequestId, parse_request_id, request_fingerprint
from .machine import RequestMachine
from .messages import (
    MESSAGE_TYPES,
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
from .outcomes import ID_REUSED, KeptOutcomes, failure_outcome
from .retries import RetryBudget, backoff_ms
from .routing import least_loaded_of_two
from .run_times import RunTimes
from .shares import ShareManager, ShareSettings

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
    "FairQueue",
    "EndpointHealth",
    "IdReserver",
    "RequestId",
    "parse_request_id",
    "request_fingerprint",
    "RequestMachine",
    "MESSAGE_TYPES",
    "DelegatedRequest",
    "HandedOver",
    "HandoverNoted",
    "KeptOutcome",
    "LoadReport",
    "OutcomeMessage",
    "OutcomeQuery",
    "OwnedRequest",
    "ShareHeartbeat",
    "ShareReply",
    "ID_REUSED",
    "KeptOutcomes",
    "failure_outcome",
    "RetryBudget",
    "backoff_ms",
    "least_loaded_of_two",
    "RunTimes",
    "ShareManager",
    "ShareSettings",
]
