"""Model of the lease of one endpoint, which holders of a role hand over by the log.

A holder extends the lease while its last confirmed append was sent recently enough. It
may be cut off from the log meanwhile: then its appends get no answer, and take effect
once or never. When it loses contact with the endpoint it extends no lease, and records
by when all leases there have expired. When it reaches the endpoint again it records a
retraction, and extends the lease again once that is confirmed. A successor computes
from the log when it may start the run elsewhere. The run must have ended by then.

Time passes in ticks, and all clocks run at one rate. A term's clock counts from the
sending of the term's claim; only differences between readings of one term's clock are
used. Any number of holders may follow each other at any time, so a holder that was
killed or has resigned is one that takes no more steps.

Calls to the endpoint are instantaneous, since a call that arrives later does not extend
the lease further. The log takes the appends of a term in their order, so the next one
is sent once the last one was answered. Only the newest term releases the run, since the
log has to take that. The endpoint does not restart, which ``endpoint_restarts`` covers.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["HAND_OVER_MUTANTS", "State", "lease_hand_over_protocol", "steps"]

LEASE = 2
"""Ticks by which an extension prolongs the lease."""

GRANT = 2
"""Ticks after the sending of its last confirmed append in which a holder extends it."""

UNCONFIRMED = -GRANT - 1
"""Reading at which a confirmation allows no extension from the claim on."""

HAND_OVER_MUTANTS = (
    "no_wait_for_retraction",
    "confirmed_as_of_repeat",
    "no_earlier_bound_in_record",
    "claim_with_unread_records",
    "no_grant_in_bound",
    "record_of_earlier_term_stands",
)


class Append(NamedTuple):
    """An append without an answer.

    ``kind`` is ``claim``, ``renewal``, ``leases_end`` or ``retraction``. ``reading`` is
    that of the term's clock when the append was encoded, and ``deadline`` that of a
    ``leases_end``. ``is_in_log`` is set once it has taken effect.
    """

    kind: str
    reading: int
    deadline: int | None = None
    is_in_log: bool = False


class State(NamedTuple):
    """The endpoint, the log, the newest holder, its successor, and earlier holders.

    ``lease`` is in ticks from now. The log has the newest ``log_reading`` and the
    ``log_deadline`` of the newest record on the endpoint, which is None if there is no
    record or a retraction. ``is_of_newest_term`` tells whether the newest term wrote
    that record.

    ``clock`` is the newest term's, and ``confirmed`` its reading when the last
    confirmed append was sent. ``contact`` is ``kept``, ``lost``, ``recorded`` (lost,
    and a record of the deadline is sent) or ``regained`` (a retraction is sent).
    ``own`` and ``earlier`` are bounds, in ticks from now, of the leases that the newest
    holder extended and of those that earlier holders did.

    ``next_bound`` is the bound of the process that claims the role next, in ticks from
    now, or None while it has not read all records. ``earlier_grant`` is the number of
    ticks, the present one included, in which holders of earlier terms may extend the
    lease, whatever answers they still get.
    """

    lease: int = LEASE
    log_reading: int = 0
    log_deadline: int | None = None
    is_of_newest_term: bool = False
    clock: int = 0
    confirmed: int = 0
    append: Append | None = None
    contact: str = "kept"
    own: int = LEASE
    earlier: int = 0
    next_bound: int | None = None
    earlier_grant: int = 0
    is_released: bool = False


def steps(state: State, mutant: str = ""):
    """Yield each possible step as (label, next state)."""
    yield "a tick passes", _after_tick(state)
    if state.earlier_grant:
        yield "an earlier holder extends the lease", state._replace(lease=LEASE)
    if state.is_released:
        return
    if _may_extend(state, state.confirmed, mutant):
        yield "the holder extends the lease", state._replace(lease=LEASE, own=LEASE)
    if state.contact in ("kept", "regained"):
        yield "the holder loses contact", state._replace(contact="lost")
    if state.append is None:
        yield from _append_steps(state, mutant)
        if not state.own and not state.earlier:
            yield "the holder releases the run", state._replace(is_released=True)
    else:
        yield from _log_steps(state, state.append, mutant)
    if state.next_bound is None:
        bound = _bound_from_log(state, mutant)
        yield "a successor reads the log", state._replace(next_bound=bound)
    else:
        yield "the successor claims the role", _after_claim(state, mutant)


def _after_tick(state: State) -> State:
    bound = state.next_bound
    return state._replace(
        lease=max(0, state.lease - 1),
        clock=state.clock + 1,
        own=max(0, state.own - 1),
        earlier=max(0, state.earlier - 1),
        next_bound=None if bound is None else max(0, bound - 1),
        earlier_grant=max(0, state.earlier_grant - 1),
    )


def _may_extend(state: State, confirmed: int, mutant: str) -> bool:
    """Whether the newest holder extends the lease if ``confirmed`` is as given."""
    is_allowed = state.contact == "kept" or (
        state.contact == "regained" and mutant == "no_wait_for_retraction"
    )
    return is_allowed and state.clock - confirmed <= GRANT


def _append_steps(state: State, mutant: str):
    """Yield the appends that the holder may send while none is unanswered."""
    clock = state.clock
    if state.contact in ("kept", "recorded"):
        renewed = state._replace(append=Append("renewal", clock))
        yield "the holder renews its term", renewed
    if state.contact == "lost":
        bounds = [state.own]
        if mutant != "no_earlier_bound_in_record":
            bounds.append(state.earlier)
        append = Append("leases_end", clock, clock + max(bounds))
        recorded = state._replace(append=append, contact="recorded")
        yield "the holder records the deadline", recorded
    if state.contact in ("lost", "recorded"):
        append = Append("retraction", clock)
        regained = state._replace(append=append, contact="regained")
        yield "the holder regains contact and retracts", regained


def _log_steps(state: State, append: Append, mutant: str):
    """Yield what may become of the append without an answer."""
    if append.is_in_log:
        if mutant == "confirmed_as_of_repeat" and append.reading < state.clock:
            # The log keeps the first reading, but the holder counts from this one.
            repeated = append._replace(reading=state.clock)
            yield "the holder repeats its append", state._replace(append=repeated)
        is_retracted = append.kind == "retraction" and state.contact == "regained"
        yield (
            f"the {append.kind} is answered",
            state._replace(
                append=None,
                confirmed=append.reading,
                contact="kept" if is_retracted else state.contact,
            ),
        )
        return
    logged = state._replace(
        log_reading=append.reading, append=append._replace(is_in_log=True)
    )
    if mutant != "claim_with_unread_records":
        logged = logged._replace(next_bound=None)
    if append.kind != "renewal":
        logged = logged._replace(log_deadline=append.deadline, is_of_newest_term=True)
    yield f"the {append.kind} takes effect", logged


def _bound_from_log(state: State, mutant: str) -> int:
    """Return the bound of a process that reads the newest records now."""
    is_known = state.log_deadline is not None and (
        state.is_of_newest_term or mutant == "record_of_earlier_term_stands"
    )
    if is_known:
        return max(0, state.log_deadline - state.log_reading)
    return LEASE if mutant == "no_grant_in_bound" else GRANT + LEASE


def _after_claim(state: State, mutant: str) -> State:
    """Return the state after a claim has taken effect, which isn't answered yet.

    While a record of the deadline stands, of any term, the holder has to retract it
    before it extends the lease. Either this or that records of earlier terms do not
    count would be enough, so the mutant lacks both.
    """
    must_retract = (
        state.log_deadline is not None and mutant != "record_of_earlier_term_stands"
    )
    return state._replace(
        log_reading=0,
        is_of_newest_term=False,
        clock=0,
        confirmed=UNCONFIRMED,
        append=Append("claim", 0, is_in_log=True),
        contact="lost" if must_retract else "kept",
        own=0,
        earlier=state.next_bound,
        next_bound=None,
        earlier_grant=max(state.earlier_grant, _remaining_grant(state, mutant)),
    )


def _remaining_grant(state: State, mutant: str) -> int:
    """Return for how many ticks the newest holder extends the lease once deposed.

    The answer to an append that has taken effect may still arrive.
    """
    confirmed = state.confirmed
    append = state.append
    if append is not None and append.is_in_log:
        confirmed = append.reading
        if append.kind == "retraction" and state.contact == "regained":
            state = state._replace(contact="kept")
    if not _may_extend(state, confirmed, mutant):
        return 0
    return GRANT + 1 - (state.clock - confirmed)


def _canonical_state(state: State, mutant: str) -> State:
    """Return the representative of all states that are equivalent to ``state``.

    Only differences between readings of the newest term's clock count, so the clock is
    set to 0. What lies too far back to have an effect is moved as near as it may be.
    Mutants keep all states, so that traces show what the clocks read.
    """
    if mutant:
        return state
    state = _shifted(state, -state.clock)
    append = state.append
    if append is not None:
        # No deadline is later than this after the reading that goes with it.
        lag = max(0, -append.reading - GRANT - LEASE)
        append = append._replace(
            reading=append.reading + lag,
            deadline=None if append.deadline is None else append.deadline + lag,
        )
        state = _with_log_shifted(state, lag)._replace(append=append)
    if state.log_deadline is None or not state.is_of_newest_term:
        # The reading goes with no deadline, nor does an old one count.
        old_deadline = None if state.log_deadline is None else 0
        state = state._replace(log_reading=0, log_deadline=old_deadline)
    else:
        deadline = max(state.log_deadline, state.log_reading)
        next_reading = 0 if append is None else append.reading
        lag = max(0, next_reading - deadline)
        state = _with_log_shifted(state._replace(log_deadline=deadline), lag)
    return state._replace(confirmed=max(state.confirmed, UNCONFIRMED))


def _shifted(state: State, ticks: int) -> State:
    """Return the state with all readings of the newest term's clock moved."""
    append = state.append
    if append is not None:
        append = append._replace(
            reading=append.reading + ticks,
            deadline=None if append.deadline is None else append.deadline + ticks,
        )
    return _with_log_shifted(state, ticks)._replace(
        clock=state.clock + ticks, confirmed=state.confirmed + ticks, append=append
    )


def _with_log_shifted(state: State, ticks: int) -> State:
    deadline = state.log_deadline
    return state._replace(
        log_reading=state.log_reading + ticks,
        log_deadline=None if deadline is None else deadline + ticks,
    )


def lease_hand_over_protocol(mutant: str = "") -> Protocol:
    """Return the model, without the protection that ``mutant`` names."""
    return Protocol(
        name=f"lease_hand_over{'-' + mutant if mutant else ''}",
        candidate=bool(mutant),
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda raw: [
            (label, tuple(_canonical_state(after, mutant)))
            for label, after in steps(State(*raw), mutant)
        ],
        invariants={
            "no_lease_once_it_may_start_elsewhere": lambda f: (
                not f["is_released"] or not f["lease"]
            ),
        },
    )
