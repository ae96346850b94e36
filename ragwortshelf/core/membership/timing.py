"""Timeouts and intervals of the membership protocol, in milliseconds.

The acknowledgement of an instance's heartbeats must expire before its peers reassign
its roles, so ``ACK_VALID_MS`` is less than ``DEAD_AFTER_MS``. A peer whose host refuses
connections has no process left that could act in a role, so it is declared dead after
``REFUSED_DEAD_AFTER_MS``, which only allows for one lost heartbeat. Heartbeats from
another data centre pass through up to two relays, so their timeouts are extended by
``RELAY_ALLOWANCE_MS``.
"""

__all__ = [
    "ACK_VALID_MS",
    "DEAD_AFTER_MS",
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

ACK_VALID_MS = 3_500
PAUSE_AFTER_MS = 2_500
JOIN_DELAY_MS = 3_000

LINK_SILENT_AFTER_MS = 3_500
LINK_FALLBACK_MS = 1_000
OPEN_TIMEOUT_MS = 3_000
RETRY_MIN_MS = 200
RETRY_MAX_MS = 2_000
RETRY_UNLISTED_MS = 10_000
