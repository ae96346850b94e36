"""Seeded arrivals of requests for the two deployments."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ragwortshelf.core.model import RequestClass

__all__ = ["Arrival", "Deployment", "DEPLOYMENTS", "arrivals"]

DATA_CENTRES = ("d1", "d2", "d3")
INSTANCES_PER_DATA_CENTRE = 2
ENDPOINTS_PER_DATA_CENTRE = 8
SLOTS = 8  # of each endpoint
CONNECTIONS = 64  # of each endpoint
RUN_SIGMA = 0.6  # standard deviation of the logarithm of the run time
IDEMPOTENT_SHARE = 0.6
BURST_PERIOD_MS = 4_000
BURST_SHARE = 0.25  # part of the period with arrivals, at a rate that keeps the mean


@dataclass(frozen=True)
class Deployment:
    """Latency and demand of a deployment; the work shares are of the slot time.

    ``bursting`` is the organisation whose requests arrive in bursts.
    """

    peer_latency_ms: int
    mean_ms_by_class: dict[RequestClass, float]
    work_share_by_class: dict[RequestClass, float]
    deadline_ms_by_class: dict[RequestClass, int]
    weight_by_organisation: dict[str, int]
    work_share_by_organisation: dict[str, float]
    bursting: str


DEPLOYMENTS = {
    "agency": Deployment(
        1,
        {
            RequestClass.QUICK: 40.0,
            RequestClass.ORDINARY: 200.0,
            RequestClass.LONG: 2_000.0,
        },
        {
            RequestClass.QUICK: 0.15,
            RequestClass.ORDINARY: 0.5,
            RequestClass.LONG: 0.35,
        },
        {
            RequestClass.QUICK: 1_000,
            RequestClass.ORDINARY: 5_000,
            RequestClass.LONG: 30_000,
        },
        {"branches": 4, "state": 3, "banks": 2, "audit": 1},
        {"branches": 0.4, "state": 0.2, "banks": 0.3, "audit": 0.1},
        "banks",
    ),
    "workshops": Deployment(
        1,
        {
            RequestClass.QUICK: 60.0,
            RequestClass.ORDINARY: 400.0,
            RequestClass.LONG: 4_000.0,
        },
        {
            RequestClass.QUICK: 0.25,
            RequestClass.ORDINARY: 0.35,
            RequestClass.LONG: 0.4,
        },
        {
            RequestClass.QUICK: 500,
            RequestClass.ORDINARY: 5_000,
            RequestClass.LONG: 60_000,
        },
        {"bench": 4, "planning": 2, "trams": 2, "water": 2},
        {"bench": 0.5, "planning": 0.1, "trams": 0.25, "water": 0.15},
        "trams",
    ),
}


@dataclass(frozen=True, slots=True)
class Arrival:
    """A caller's request; ``instance``, in [0, 1), selects a live instance."""

    at_ms: int
    organisation: str
    request_class: RequestClass
    run_ms: int
    deadline_ms: int
    is_idempotent: bool
    instance: float


def arrivals(
    deployment: Deployment, load: float, start_ms: int, end_ms: int, seed: int
) -> list[Arrival]:
    """Return Poisson arrivals that offer ``load`` times the capacity of all slots."""
    rng = random.Random(seed)
    slots = len(DATA_CENTRES) * ENDPOINTS_PER_DATA_CENTRE * SLOTS
    result = []
    for organisation, share in deployment.work_share_by_organisation.items():
        is_bursting = organisation == deployment.bursting
        for cls, class_share in deployment.work_share_by_class.items():
            mean_ms = deployment.mean_ms_by_class[cls]
            rate = load * slots * share * class_share / mean_ms
            at_ms = float(start_ms)
            while True:
                at_ms += rng.expovariate(rate / BURST_SHARE if is_bursting else rate)
                if is_bursting:
                    at_ms = _skip_pause(at_ms)
                if at_ms >= end_ms:
                    break
                run_ms = mean_ms * math.exp(rng.gauss(-(RUN_SIGMA**2) / 2, RUN_SIGMA))
                result.append(
                    Arrival(
                        int(at_ms),
                        organisation,
                        cls,
                        max(1, round(run_ms)),
                        int(at_ms) + deployment.deadline_ms_by_class[cls],
                        rng.random() < IDEMPOTENT_SHARE,
                        rng.random(),
                    )
                )
    result.sort(key=lambda a: (a.at_ms, a.organisation, a.request_class, a.instance))
    return result


def _skip_pause(at_ms: float) -> float:
    """Move a time between two bursts to the start of the next burst."""
    phase_ms = at_ms % BURST_PERIOD_MS
    if phase_ms < BURST_PERIOD_MS * BURST_SHARE:
        return at_ms
    return at_ms - phase_ms + BURST_PERIOD_MS
