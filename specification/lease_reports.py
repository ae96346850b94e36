"""Model of reports by which a deposed holder of a role bounds its leases.

A holder extends the lease of an endpoint for a limited time after its last confirmed
append, and may go on with that after another one has claimed the role. Once it has
stopped for good it may report how long the leases that it extended can still last. The
report reaches the log at any later time, or never. The newest holder starts the run
elsewhere once the bounds of all earlier terms and of its own leases have passed. The
run must have ended by then.

Time passes in ticks, and all clocks run at one rate; what is left by a report counts
from the time at which it is read. An extension carries a deadline on the endpoint's
clock, so it ends at the same time whenever it arrives. Any number of holders may
follow each other. Only the report of the one that was deposed last is modelled;
``lease_hand_over`` covers the notes of one endpoint.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["REPORT_MUTANTS", "State", "lease_report_protocol", "steps"]

LEASE = 2
"""Ticks by which an extension prolongs the lease."""

GRANT = 2
"""Ticks after the sending of its last confirmed append in which a holder extends it."""

REPORT_MUTANTS = (
    "report_before_the_stop",
    "report_bounds_all_terms",
    "report_without_open_calls",
)


class State(NamedTuple):
    """The endpoint, and the newest, the deposed and all other holders.

    All numbers are ticks from now. ``call`` is when the deadline ends of an extension
    that is on its way, None if there is none. ``grant``, ``deposed_grant`` and
    ``other_grant`` are how long the holders may extend the lease, the present tick
    included, and ``own`` and ``deposed_own`` what they know of the leases that they
    extended. ``deposed_bound`` and ``other_bound`` are the newest holder's bounds of
    the leases of earlier terms. ``report`` is what is left by a report that is on its
    way, None if there is none.
    """

    lease: int = LEASE
    call: int | None = None
    grant: int = GRANT + 1
    own: int = LEASE
    deposed_grant: int = 0
    deposed_own: int = 0
    has_stopped: bool = False
    report: int | None = None
    other_grant: int = 0
    deposed_bound: int = 0
    other_bound: int = 0
    is_released: bool = False


def steps(state: State, mutant: str = ""):
    """Yield each possible step as (label, next state)."""
    yield "a tick passes", _after_tick(state)
    if state.call is not None:
        arrived = state._replace(lease=max(state.lease, state.call), call=None)
        yield "the extension arrives", arrived
        yield "the extension is lost", state._replace(call=None)
    if state.other_grant:
        yield "another holder extends the lease", state._replace(lease=LEASE)
    if state.deposed_grant:
        yield from _deposed_extension_steps(state, mutant)
        stopped = state._replace(deposed_grant=0, has_stopped=True)
        yield "the deposed holder stops", stopped
    may_report = state.has_stopped or mutant == "report_before_the_stop"
    if may_report and state.report is None:
        yield "the deposed holder reports", state._replace(report=state.deposed_own)
    if state.is_released:
        return
    if state.report is not None:
        yield "the newest holder reads the report", _after_report(state, mutant)
    if state.grant:
        renewed = state._replace(grant=GRANT + 1)
        yield "the newest holder renews its term", renewed
        extended = state._replace(lease=LEASE, own=LEASE)
        yield "the newest holder extends the lease", extended
    yield "another instance claims the role", _after_claim(state)
    if not (state.own or state.deposed_bound or state.other_bound):
        yield "the newest holder releases the run", state._replace(is_released=True)


def _after_tick(state: State) -> State:
    return state._replace(
        lease=max(0, state.lease - 1),
        call=None if state.call is None else max(0, state.call - 1),
        grant=max(0, state.grant - 1),
        own=max(0, state.own - 1),
        deposed_grant=max(0, state.deposed_grant - 1),
        deposed_own=max(0, state.deposed_own - 1),
        other_grant=max(0, state.other_grant - 1),
        deposed_bound=max(0, state.deposed_bound - 1),
        other_bound=max(0, state.other_bound - 1),
    )


def _deposed_extension_steps(state: State, mutant: str):
    extended = state._replace(lease=LEASE, deposed_own=LEASE)
    yield "the deposed holder extends the lease", extended
    if state.call is None:
        sent = state._replace(call=LEASE)
        if mutant != "report_without_open_calls":
            sent = sent._replace(deposed_own=LEASE)
        yield "the deposed holder sends an extension", sent


def _after_report(state: State, mutant: str) -> State:
    after = state._replace(
        deposed_bound=min(state.deposed_bound, state.report), report=None
    )
    if mutant == "report_bounds_all_terms":
        other_bound = min(state.other_bound, state.report)
        after = after._replace(other_bound=other_bound)
    return after


def _after_claim(state: State) -> State:
    """Return the state after a claim, which deposes the newest holder.

    The claimant has read that holder's last record when it was sent or later. What it
    knows of the other terms is what the holders before it knew, or more.
    """
    confirmed_ticks_left = max(0, state.grant - 1)
    return state._replace(
        grant=GRANT + 1,
        own=0,
        deposed_grant=state.grant,
        deposed_own=state.own,
        has_stopped=False,
        report=None,
        other_grant=max(state.other_grant, state.deposed_grant),
        deposed_bound=confirmed_ticks_left + LEASE if state.grant else state.own,
        other_bound=max(state.other_bound, state.deposed_bound),
    )


def lease_report_protocol(mutant: str = "") -> Protocol:
    """Return the model, without the protection that ``mutant`` names."""
    return Protocol(
        name=f"lease_reports{'-' + mutant if mutant else ''}",
        candidate=bool(mutant),
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda raw: [
            (label, tuple(after)) for label, after in steps(State(*raw), mutant)
        ],
        invariants={
            "no_lease_once_it_may_start_elsewhere": lambda f: (
                not f["is_released"] or not f["lease"]
            ),
        },
    )
