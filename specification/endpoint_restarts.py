"""Model of one endpoint that may restart, its holder and one run.

The holder extends the lease by deadlines on the endpoint's clock, which starts anew at
a restart. So a deadline on the clock of an earlier incarnation grants the longest lease
in a later one. Renewals may be carried out at any time after they were sent, in any
order, and answers may be lost. Time passes in ticks, and the clocks run at one rate.

Two cases are left out, in which no bound holds: a start that is carried out after its
timeout, which counts as the moment at which it is sent, and a renewal that is, while
the run was sent and not listed yet. Either would have to reach an incarnation that the
holder doesn't know, and never gets to know.

The holder may start the task elsewhere once all leases have expired by its own bounds.
The run must have ended by then.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["RESTART_MUTANTS", "State", "endpoint_restart_protocol", "steps"]

LEASE = 2
"""Ticks by which a renewal extends the lease."""

LONGEST_LEASE = 3
"""Ticks to which an endpoint shortens a longer lease."""

RESTARTS_MAX = 2
CALLS_MAX = 2

RESTART_MUTANTS = (
    "no_higher_token",
    "no_bound_of_earlier_calls",
    "no_wait_for_unlisted_runs",
)


class Call(NamedTuple):
    """A renewal on its way: its token, and its deadline in ticks from now.

    ``incarnation`` is the one on whose clock the deadline is; ``ticks`` is None for a
    renewal without one.
    """

    token: int
    incarnation: int
    ticks: int | None


class State(NamedTuple):
    """The endpoint, the calls on their way, and the holder.

    ``incarnation``, ``token``, ``lease`` (in ticks) and ``is_running`` are the
    endpoint's. ``known`` is the incarnation that the holder knows, and ``is_fenced``
    whether that refuses the calls sent to earlier ones. ``deadline`` (of the newest
    renewal), ``earlier`` (of earlier calls) and ``longest`` (of the newest call in an
    incarnation not known) are the holder's bounds in ticks. ``is_failing`` is set while
    the newest renewal got no answer. The run is ``none``, ``sent``, ``listed`` or
    ``released``.
    """

    incarnation: int = 0
    token: int = 0
    lease: int = 0
    is_running: bool = False
    calls: tuple[Call, ...] = ()
    known: int = 0
    sent_token: int = 0
    is_fenced: bool = True
    deadline: int = 0
    earlier: int = 0
    longest: int = 0
    is_failing: bool = False
    run: str = "none"


def steps(state: State, mutant: str = ""):
    """Yield each possible step as (label, next state)."""
    yield "a tick passes", _after_tick(state)
    if state.incarnation < RESTARTS_MAX:
        restarted = state._replace(
            incarnation=state.incarnation + 1, token=0, lease=0, is_running=False
        )
        yield "the endpoint restarts", restarted
    for call in set(state.calls):
        yield from _delivery_steps(state, call, mutant)
    if state.run == "released":
        return
    if len(state.calls) < CALLS_MAX:
        yield "the holder renews", _after_renewal(state)
    if state.run == "none" and state.is_fenced and state.deadline > 0:
        yield "the holder starts the run", _after_start(state)
    bounds = [state.deadline, state.earlier]
    if state.run == "sent" and mutant != "no_wait_for_unlisted_runs":
        bounds.append(state.longest)
    if state.run != "none" and not any(bounds):
        yield "the leases have expired", state._replace(run="released")


def _after_tick(state: State) -> State:
    lease = max(0, state.lease - 1)
    timely_calls = () if state.run == "sent" else state.calls
    calls = tuple(
        call if call.ticks is None else call._replace(ticks=max(0, call.ticks - 1))
        for call in timely_calls
    )
    return state._replace(
        lease=lease,
        is_running=state.is_running and lease > 0,
        calls=tuple(sorted(calls, key=str)),
        deadline=max(0, state.deadline - 1),
        earlier=max(0, state.earlier - 1),
        longest=max(0, state.longest - 1),
    )


def _after_renewal(state: State) -> State:
    """Return the state after a renewal, which extends no lease while they fail."""
    extends = state.is_fenced and not state.is_failing
    call = Call(state.sent_token, state.known, LEASE if extends else None)
    return state._replace(
        calls=tuple(sorted((*state.calls, call), key=str)),
        deadline=LEASE if extends else state.deadline,
        longest=LONGEST_LEASE if extends else state.longest,
        is_failing=True,
    )


def _after_start(state: State) -> State:
    """Return the state after a start, which carries the newest deadline."""
    sent = state._replace(run="sent", longest=LONGEST_LEASE)
    if state.sent_token < state.token:
        return sent
    is_known = state.known == state.incarnation
    granted = state.deadline if is_known else LONGEST_LEASE
    return sent._replace(
        token=state.sent_token, lease=max(state.lease, granted), is_running=True
    )


def _delivery_steps(state: State, call: Call, mutant: str):
    remaining = list(state.calls)
    remaining.remove(call)
    state = state._replace(calls=tuple(remaining))
    if call.token < state.token:
        yield "the endpoint refuses a renewal", state
        return
    lease = state.lease
    if call.ticks is not None:
        is_present = call.incarnation == state.incarnation
        lease = max(lease, call.ticks if is_present else LONGEST_LEASE)
    state = state._replace(token=call.token, lease=lease)
    yield "the endpoint takes a renewal", state
    if state.run != "released" and call.token == state.sent_token:
        yield "a renewal is answered", _after_answer(state, mutant)


def _after_answer(state: State, mutant: str) -> State:
    state = state._replace(is_failing=False)
    has_higher_token = mutant != "no_higher_token"
    bound = 0 if mutant == "no_bound_of_earlier_calls" else LONGEST_LEASE
    if state.known != state.incarnation:
        return state._replace(
            known=state.incarnation,
            sent_token=state.sent_token + 1 if has_higher_token else state.sent_token,
            is_fenced=not has_higher_token,
            deadline=0,
            earlier=max(state.earlier, bound),
        )
    if not state.is_fenced:
        # The answer was to a renewal with the higher token.
        state = state._replace(is_fenced=True, earlier=max(state.earlier, bound))
    if state.run == "sent":
        return state._replace(run="listed" if state.is_running else "released")
    if state.run == "listed" and not state.is_running:
        return state._replace(run="released")
    return state


def endpoint_restart_protocol(mutant: str = "") -> Protocol:
    """Return the model, without the protection that ``mutant`` names."""
    return Protocol(
        name=f"endpoint_restarts{'-' + mutant if mutant else ''}",
        candidate=bool(mutant),
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda raw: [
            (label, tuple(after)) for label, after in steps(State(*raw), mutant)
        ],
        invariants={
            "nothing_runs_once_it_may_start_elsewhere": lambda f: (
                f["run"] != "released" or not f["is_running"]
            ),
        },
    )
