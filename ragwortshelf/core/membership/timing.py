"""Times of the membership protocol, in milliseconds.

An instance's proof that its heartbeats arrive must expire before its peers give its
roles away: ``EVIDENCE_VALID_MS`` is less than ``DEAD_AFTER_MS``. A peer whose host says
that nothing listens any more needs no such time, only that of a lost heartbeat. Another
data centre is heard through up to two relays, so it is given a relay's time more.
"""

__all__ = [
    "DEAD_AFTER_MS",
    "EVIDENCE_VALID_MS",
    "FORGET_AFTER_MS",
    "HEARTBEAT_INTERVAL_MS",
    "JOIN_DELAY_MS",
    "LINK_FALLBACK_MS",
    "LINK_SILENT_AFTER_MS",
    "OPEN_TIMEOUT_MS",
    "PAUSE_AFTER_MS",
    "REFUSED_DEAD_AFTER_MS",
    "RELAY_ALLOWANCE_MS",
    "RETRY_MAX_MS",
    "RETRY_MIN_MS",
    "RETRY_UNLISTED_MS",
    "SUSPECT_AFTER_MS",
]

HEARTBEAT_INTERVAL_MS = 1_000
SUSPECT_AFTER_MS = 2_500
DEAD_AFTER_MS = 5_000
REFUSED_DEAD_AFTER_MS = 1_500
RELAY_ALLOWANCE_MS = 4_000
FORGET_AFTER_MS = 1_800_000

EVIDENCE_VALID_MS = 3_500
PAUSE_AFTER_MS = 2_500
JOIN_DELAY_MS = 3_000

LINK_SILENT_AFTER_MS = 3_500
LINK_FALLBACK_MS = 1_000
OPEN_TIMEOUT_MS = 3_000
RETRY_MIN_MS = 200
RETRY_MAX_MS = 2_000
RETRY_UNLISTED_MS = 10_000
