"""Stages of an attempt in its placer, with their timeouts."""

from __future__ import annotations

import enum

__all__ = [
    "CLAIM_TIMEOUT_MS",
    "LEASE_TTL_MS",
    "LOST_AFTER_MS",
    "RENEWING_STAGES",
    "RENEW_EVERY_MS",
    "RETRY_EVERY_MS",
    "TIMEOUT_MS_BY_STAGE",
    "WATCHED_STAGES",
    "Stage",
]

LEASE_TTL_MS = 15_000
RENEW_EVERY_MS = 5_000
RETRY_EVERY_MS = 250
LEASING_TIMEOUT_MS = 5_000
CLAIM_TIMEOUT_MS = 8_000
START_TIMEOUT_MS = 5_000
TAKEOVER_GRACE_MS = 10_000
LOST_AFTER_MS = 5_000
PROOF_TIMEOUT_MS = 10_000


class Stage(enum.StrEnum):
    """Stages of an attempt in its placer."""

    LEASING = "leasing"
    CLAIMING = "claiming"
    STARTING = "starting"
    ADOPTING = "adopting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    ENDING = "ending"
    CONCLUDED = "concluded"
    DROPPED = "dropped"


RENEWING_STAGES = frozenset(
    {Stage.CLAIMING, Stage.STARTING, Stage.RUNNING, Stage.CHECKPOINTING}
)
WATCHED_STAGES = frozenset({Stage.RUNNING, Stage.CHECKPOINTING})

TIMEOUT_MS_BY_STAGE = {
    Stage.LEASING: LEASING_TIMEOUT_MS,
    Stage.CLAIMING: CLAIM_TIMEOUT_MS,
    Stage.STARTING: START_TIMEOUT_MS,
    Stage.ADOPTING: TAKEOVER_GRACE_MS,
    Stage.ENDING: PROOF_TIMEOUT_MS,
}
