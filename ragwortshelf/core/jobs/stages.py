"""Stages of an attempt, with their timeouts."""

from __future__ import annotations

import enum

__all__ = [
    "CLAIM_TIMEOUT_MS",
    "LAPSED_LEASE_GRACE_MS",
    "LEASE_TTL_MS",
    "RENEWING_STAGES",
    "RENEWAL_INTERVAL_MS",
    "RETRY_INTERVAL_MS",
    "TIMEOUT_MS_BY_STAGE",
    "WATCHED_STAGES",
    "Stage",
]

LEASE_TTL_MS = 15_000
RENEWAL_INTERVAL_MS = 5_000
RETRY_INTERVAL_MS = 250
LEASING_TIMEOUT_MS = 5_000
CLAIM_TIMEOUT_MS = 8_000
START_TIMEOUT_MS = 5_000
ADOPTION_TIMEOUT_MS = 10_000
LAPSED_LEASE_GRACE_MS = 5_000
FENCE_TIMEOUT_MS = 10_000


class Stage(enum.StrEnum):
    """Stages of an attempt, as its placer runs it.

    An attempt placed here goes from ``LEASING`` to ``CLAIMING`` (unless it is off log),
    ``STARTING`` and ``RUNNING``. One that another placer began is adopted at
    ``ADOPTING`` or ``RUNNING``. A running gang may go through ``CHECKPOINTING`` before
    it stops. An attempt that is dropped before any start finishes as ``DROPPED``. Any
    other goes through ``ENDING``, in which its members are fenced, to ``CONCLUDED``.
    """

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
    Stage.ADOPTING: ADOPTION_TIMEOUT_MS,
    Stage.ENDING: FENCE_TIMEOUT_MS,
}
