"""Model of one request id, the two incarnations of its owner and another instance.

The id names incarnation 0 of the owner. Incarnation 1 may start under the same name at
any moment, also while incarnation 0 is only paused. The caller tries through any
instance; tries may be delayed for any time and reach either incarnation, since they are
sent to a name. Answers may be lost, outcomes are dropped after a while, and incarnation
0 may shut down gracefully and hand over what it knows.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["REQUEST_ID_MUTANTS", "RequestState", "request_id_protocol", "steps"]

MAX_TRIES = 3
NAMED_INCARNATION = 0
OTHER_INSTANCE = 2

REQUEST_ID_MUTANTS = (
    "no_owner_check",
    "no_incarnation_check",
    "no_kept_outcome",
    "no_refusal_after_handover",
    "no_proof_before_resend",
)


class RequestState(NamedTuple):
    """The whole system.

    ``known`` is what each process knows of the id: absent (not started yet), unused,
    running, done, not_run, forgotten (the outcome was dropped) or gone (the process has
    ended). Processes are incarnations 0 and 1 of the owner, then the other instance.
    ``in_flight`` counts the tries that have not arrived. ``sending`` are the processes
    whose send has not reached the endpoint yet. ``sent`` counts the sends that are not
    proved refused, and ``ran`` the runs. ``handed_over`` is what the owner knew when it
    handed over.
    """

    known: tuple[str, str, str] = ("unused", "absent", "unused")
    tries: int = 0
    in_flight: int = 0
    sending: tuple[int, ...] = ()
    sent: int = 0
    ran: int = 0
    is_draining: bool = False
    handed_over: str = ""
    answers: tuple[str, ...] = ()


def _replace_item(items: tuple, index: int, value) -> tuple:
    return (*items[:index], value, *items[index + 1 :])


def _with_answer(state: RequestState, answer: str) -> RequestState:
    answers = tuple(sorted({*state.answers, answer}))
    return state._replace(answers=answers)


def _with_known(state: RequestState, process: int, knowledge: str) -> RequestState:
    return state._replace(known=_replace_item(state.known, process, knowledge))


def steps(state: RequestState, mutant: str = ""):
    """Yield each possible step as (label, next state)."""
    if state.tries < MAX_TRIES:
        tried = state._replace(tries=state.tries + 1, in_flight=state.in_flight + 1)
        yield "caller tries", tried
    if state.in_flight:
        arrived_try = state._replace(in_flight=state.in_flight - 1)
        yield "try is lost", arrived_try
        for process, known in enumerate(state.known):
            if known not in ("absent", "gone"):
                yield from _try_steps(arrived_try, process, mutant)
    yield from _endpoint_steps(state, mutant)
    yield from _owner_steps(state)


def _try_steps(state: RequestState, process: int, mutant: str):
    known = state.known[process]
    if process == OTHER_INSTANCE and mutant != "no_owner_check":
        yield from _other_instance_steps(state)
    elif process == 1 - NAMED_INCARNATION and mutant != "no_incarnation_check":
        yield "i1 answers unknown", _with_answer(state, "unknown")
    elif known == "unused":
        is_refused = state.is_draining and process == NAMED_INCARNATION
        if is_refused and mutant != "no_refusal_after_handover":
            refused = _with_known(state, process, "not_run")
            yield f"i{process} refuses", _with_answer(refused, "not_run")
        else:
            yield f"i{process} sends", _with_send(state, process)
    elif known == "running":
        yield f"i{process} joins the try to the first", state
    elif mutant == "no_kept_outcome" and known == "forgotten":
        yield f"i{process} sends", _with_send(state, process)
    else:
        answer = "unknown" if known == "forgotten" else known
        yield f"i{process} answers {answer}", _with_answer(state, answer)


def _other_instance_steps(state: RequestState):
    """Yield the steps of the other instance: relay the try, or answer it itself."""
    yield "other passes it on", state._replace(in_flight=state.in_flight + 1)
    # An id that the owner had not used when it handed over cannot have run.
    answer_by_knowledge = {"": "unknown", "unused": "not_run", "forgotten": "unknown"}
    answer = answer_by_knowledge.get(state.handed_over, state.handed_over)
    yield f"other answers {answer}", _with_answer(state, answer)


def _with_send(state: RequestState, process: int) -> RequestState:
    running = _with_known(state, process, "running")
    sending = tuple(sorted((*state.sending, process)))
    return running._replace(sending=sending, sent=state.sent + 1)


def _endpoint_steps(state: RequestState, mutant: str):
    for process in set(state.sending):
        position = state.sending.index(process)
        rest = state.sending[:position] + state.sending[position + 1 :]
        arrived = state._replace(sending=rest)
        is_live = state.known[process] == "running"
        refused = arrived._replace(sent=state.sent - 1)
        if not is_live:
            yield "endpoint refuses", refused
            yield "endpoint runs", arrived._replace(ran=state.ran + 1)
            continue
        yield "endpoint refuses", _with_known(refused, process, "not_run")
        yield "endpoint refuses, sent again", _with_send(refused, process)
        ran = arrived._replace(ran=state.ran + 1)
        yield "endpoint runs", _with_answer(_with_known(ran, process, "done"), "done")
        lost = _with_known(ran, process, "forgotten")
        yield "endpoint runs, answer is lost", _with_answer(lost, "unknown")
        if mutant == "no_proof_before_resend":
            yield "answer is lost, sent again", _with_send(ran, process)


def _owner_steps(state: RequestState):
    if state.known[1] == "absent":
        yield "i1 starts under the same name", _with_known(state, 1, "unused")
    known = state.known[0]
    if known == "gone":
        return
    yield "i0 dies", _with_known(state, 0, "gone")
    if known in ("done", "not_run"):
        yield "i0 forgets the outcome", _with_known(state, 0, "forgotten")
    if not state.is_draining:
        yield "i0 drains", state._replace(is_draining=True)
    elif known != "running" and not state.handed_over:
        yield f"i0 hands over {known}", state._replace(handed_over=known)


def request_id_protocol(mutant: str = "") -> Protocol:
    """Return the model, with one protection removed if ``mutant`` names it."""
    return Protocol(
        name=f"request-ids{'-' + mutant if mutant else ''}",
        candidate=bool(mutant),
        fields=RequestState._fields,
        initial=tuple(RequestState()),
        transitions=lambda raw: [
            (name, tuple(after)) for name, after in steps(RequestState(*raw), mutant)
        ],
        invariants={
            "non_idempotent_sent_at_most_once": lambda f: f["sent"] <= 1,
            "non_idempotent_runs_at_most_once": lambda f: f["ran"] <= 1,
            "not_run_did_not_run": lambda f: (
                "not_run" not in f["answers"] or not f["ran"]
            ),
        },
    )
