"""Model of one non-idempotent job, two placers and three workers.

A placer leases the workers of a group in canonical order, claims the attempt in the log
and sends the starts. Any placer may take over a claimed attempt: it fences every worker
of the claim and records whether anything started. Placers may pause at any moment,
starts may be delayed for any time, answers may be lost, and one worker may reboot once.

Time is modelled by one flag, ``is_before_deadline``: a placer acts on its leases only
until its own deadline, which it counts from before it asked for them. A worker lets a
lease lapse only after the holder's deadline.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

__all__ = ["LEASE_MUTANTS", "SCENARIOS", "State", "lease_protocol", "steps"]

WORKERS = 3
PLACERS = 2
ATTEMPTS = 2

LEASE_MUTANTS = (
    "no_fencing",
    "no_claim_before_start",
    "no_all_or_nothing",
    "no_at_most_once_guard",
    "deadline_from_answer",
)


class Scenario(NamedTuple):
    """Groups that placers choose from, and whether a worker may reboot."""

    groups: tuple[tuple[int, ...], ...]
    can_reboot: bool


SCENARIOS = {
    "two_groups": Scenario(((0, 1), (1, 2)), False),
    "one_group_and_a_reboot": Scenario(((0, 1),), True),
    "groups_apart": Scenario(((0,), (2,)), True),
}


class Placer(NamedTuple):
    """State of one placer.

    ``stage`` is idle, leasing, claiming, starting or fencing. ``done`` are the workers
    of the group that this stage has handled. ``has_seen_start`` is set in stage fencing
    if the attempt may have started on a fenced worker.
    """

    stage: str = "idle"
    attempt: int = 0
    group: tuple[int, ...] = ()
    done: tuple[int, ...] = ()
    is_before_deadline: bool = False
    has_seen_start: bool = False


class State(NamedTuple):
    """The whole system; collections are indexed by worker, placer or attempt - 1.

    ``leases`` holds (attempt, placer) or None. ``in_flight`` are undelivered starts, as
    (worker, attempt, placer, boot). ``claims`` holds (placer, group, boots) or None,
    ``ended`` None, "no_start" or "maybe". ``has_part_start`` records that a start was
    sent while the placer did not lease every worker of the group, although nothing had
    stopped the attempt before.
    """

    leases: tuple = (None,) * WORKERS
    fences: tuple[int, ...] = (0,) * WORKERS
    starts: tuple[tuple[int, ...], ...] = ((),) * WORKERS
    running: tuple[int, ...] = (0,) * WORKERS
    boots: tuple[int, ...] = (0,) * WORKERS
    in_flight: tuple = ()
    claims: tuple = (None,) * ATTEMPTS
    ended: tuple = (None,) * ATTEMPTS
    outcome: str = ""
    placers: tuple[Placer, ...] = (Placer(),) * PLACERS
    has_part_start: bool = False


def _replace_item(items: tuple, index: int, value) -> tuple:
    return (*items[:index], value, *items[index + 1 :])


def _claimed_attempt(state: State) -> int:
    """Return the newest claimed attempt, or 0 if there is none."""
    return max((i + 1 for i, claim in enumerate(state.claims) if claim), default=0)


def _is_waiting(state: State) -> bool:
    """Whether the fold would accept the claim of a new attempt."""
    newest = _claimed_attempt(state)
    return not state.outcome and (not newest or state.ended[newest - 1] is not None)


def _with_placer(state: State, index: int, placer: Placer) -> State:
    return state._replace(placers=_replace_item(state.placers, index, placer))


def steps(state: State, scenario: Scenario, mutant: str = ""):
    """Yield each possible step as (label, next state)."""
    yield from _delivery_steps(state, mutant)
    if state.outcome:
        return  # a job that has an outcome is not placed again
    for index, placer in enumerate(state.placers):
        yield from _placer_steps(state, index, placer, scenario, mutant)
    yield from _worker_steps(state, scenario, mutant)
    yield from _outcome_steps(state)


def _placer_steps(
    state: State, index: int, placer: Placer, scenario: Scenario, mutant: str
):
    if placer.is_before_deadline:
        yield f"p{index} deadline", _with_placer(state, index, _after_deadline(placer))
    if placer.stage == "idle":
        yield from _idle_steps(state, index, scenario, mutant)
    elif placer.stage == "leasing":
        yield from _leasing_steps(state, index, placer, mutant)
    elif placer.stage == "claiming":
        yield from _claiming_steps(state, index, placer)
    elif placer.stage == "starting":
        yield from _starting_steps(state, index, placer)
    else:
        yield from _fencing_steps(state, index, placer)


def _after_deadline(placer: Placer) -> Placer:
    """Return the placer after its own deadline, when it may no longer use its leases.

    Only an append that it has already sent may still take effect.
    """
    if placer.stage == "claiming":
        return placer._replace(is_before_deadline=False)
    return Placer()


def _idle_steps(state: State, index: int, scenario: Scenario, mutant: str):
    newest = _claimed_attempt(state)
    is_without_claims = mutant == "no_claim_before_start"
    # Without claims, each placer numbers its attempts independently.
    attempt = index + 1 if is_without_claims else newest + 1
    has_started = newest and state.ended[newest - 1] == "maybe"
    may_start = not has_started or mutant == "no_at_most_once_guard"
    if _is_waiting(state) and attempt <= ATTEMPTS and may_start:
        for group in scenario.groups:
            placer = Placer("leasing", attempt, group, (), True)
            yield f"p{index} leases {group}", _with_placer(state, index, placer)
    if newest and state.ended[newest - 1] is None and not state.outcome:
        group = state.claims[newest - 1][1]
        placer = Placer("fencing", newest, group)
        yield f"p{index} takes over {newest}", _with_placer(state, index, placer)


def _leasing_steps(state: State, index: int, placer: Placer, mutant: str):
    remaining = [worker for worker in placer.group if worker not in placer.done]
    if not remaining or (mutant == "no_all_or_nothing" and placer.done):
        stage = "starting" if mutant == "no_claim_before_start" else "claiming"
        claiming = placer._replace(stage=stage, done=())
        yield f"p{index} holds its group", _with_placer(state, index, claiming)
        return
    worker = remaining[0]
    lease = (placer.attempt, index)
    if state.fences[worker] >= placer.attempt:
        yield f"p{index} is denied", _with_leases_released(state, index, placer)
    elif state.leases[worker] in (None, lease):
        granted = state._replace(leases=_replace_item(state.leases, worker, lease))
        leased = placer._replace(done=(*placer.done, worker))
        yield f"p{index} lease {worker}", _with_placer(granted, index, leased)
    else:
        yield (
            f"p{index} finds {worker} held",
            _with_leases_released(state, index, placer),
        )


def _with_leases_released(state: State, index: int, placer: Placer) -> State:
    leases = tuple(
        None if lease == (placer.attempt, index) else lease for lease in state.leases
    )
    return _with_placer(state._replace(leases=leases), index, Placer())


def _claiming_steps(state: State, index: int, placer: Placer):
    claim = state.claims[placer.attempt - 1]
    may_win = _is_waiting(state) and _claimed_attempt(state) < placer.attempt
    if claim is None and may_win:
        # An append that was sent may land after its sender's deadline.
        record = (index, placer.group, state.boots)
        claims = _replace_item(state.claims, placer.attempt - 1, record)
        claimed = state._replace(claims=claims)
        if not placer.is_before_deadline:
            claimed = _with_placer(claimed, index, Placer())
            # The append may also have been lost.
            yield f"p{index} claim is lost", _with_placer(state, index, Placer())
        yield f"p{index} claim lands", claimed
    elif claim is not None and claim[0] == index and claim[1] == placer.group:
        if not placer.is_before_deadline:
            yield f"p{index} drops", _with_placer(state, index, Placer())
        else:
            starting = placer._replace(stage="starting", done=())
            yield f"p{index} reads its claim", _with_placer(state, index, starting)
    else:
        yield f"p{index} lost the claim", _with_leases_released(state, index, placer)


def _starting_steps(state: State, index: int, placer: Placer):
    remaining = [worker for worker in placer.group if worker not in placer.done]
    if not remaining:
        return
    worker = remaining[0]
    lease = (placer.attempt, index)
    is_part_start = not _is_stopped_somewhere(state, placer.attempt) and any(
        state.leases[member] != lease for member in placer.group
    )
    message = (worker, placer.attempt, index, state.boots[worker])
    sent = state._replace(
        in_flight=tuple(sorted({*state.in_flight, message})),
        has_part_start=state.has_part_start or is_part_start,
    )
    starting = placer._replace(done=(*placer.done, worker))
    yield f"p{index} sends start {worker}", _with_placer(sent, index, starting)


def _is_stopped_somewhere(state: State, attempt: int) -> bool:
    """Whether a successor or a reboot may already have stopped the attempt on a worker.

    That worker refuses further starts, and the successor stops the others.
    """
    is_fenced = any(
        placer.stage == "fencing" and placer.attempt >= attempt
        for placer in state.placers
    )
    is_over = bool(state.outcome) or state.ended[attempt - 1] is not None
    return is_fenced or is_over or any(state.boots)


def _fencing_steps(state: State, index: int, placer: Placer):
    if state.ended[placer.attempt - 1] is not None or state.outcome:
        yield f"p{index} finds it ended", _with_placer(state, index, Placer())
        return
    remaining = [worker for worker in placer.group if worker not in placer.done]
    if remaining:
        worker = remaining[0]
        boots = state.claims[placer.attempt - 1][2]
        may_have_started = (
            placer.attempt in state.starts[worker]
            or state.boots[worker] != boots[worker]
        )
        fencing = placer._replace(
            done=(*placer.done, worker),
            has_seen_start=placer.has_seen_start or may_have_started,
        )
        fenced = _fence(state, worker, placer.attempt)
        yield f"p{index} fences {worker}", _with_placer(fenced, index, fencing)
        return
    verdict = "maybe" if placer.has_seen_start else "no_start"
    ended = state._replace(
        ended=_replace_item(state.ended, placer.attempt - 1, verdict)
    )
    yield f"p{index} records {verdict}", _with_placer(ended, index, Placer())


def _fence(state: State, worker: int, attempt: int) -> State:
    lease = state.leases[worker]
    is_fenced = lease is not None and lease[0] <= attempt
    fence = max(attempt, state.fences[worker])
    running = 0 if state.running[worker] <= attempt else state.running[worker]
    return state._replace(
        fences=_replace_item(state.fences, worker, fence),
        leases=_replace_item(state.leases, worker, None if is_fenced else lease),
        running=_replace_item(state.running, worker, running),
    )


def _delivery_steps(state: State, mutant: str):
    for message in state.in_flight:
        worker, attempt, index, boot = message
        other_messages = tuple(other for other in state.in_flight if other != message)
        is_granted = (
            state.leases[worker] == (attempt, index)
            and state.fences[worker] < attempt
            and state.boots[worker] == boot
        )
        if is_granted or mutant == "no_fencing":
            starts = tuple(sorted({*state.starts[worker], attempt}))
            started = state._replace(
                in_flight=other_messages,
                starts=_replace_item(state.starts, worker, starts),
                running=_replace_item(state.running, worker, attempt),
            )
            yield f"w{worker} starts {attempt}", started
        else:
            yield f"w{worker} refuses start", state._replace(in_flight=other_messages)


def _worker_steps(state: State, scenario: Scenario, mutant: str):
    for worker, lease in enumerate(state.leases):
        if lease is None:
            continue
        attempt, index = lease
        holder = state.placers[index]
        holds = holder.stage != "idle" and holder.attempt == attempt
        is_covered = (
            holds and holder.is_before_deadline and mutant != "deadline_from_answer"
        )
        if not is_covered:
            # The worker stops the tasks of a lapsed lease and fences its attempt.
            yield f"w{worker} lease lapses", _fence(state, worker, attempt)
    if scenario.can_reboot and not any(state.boots):
        for worker in scenario.groups[0]:
            yield f"w{worker} reboots", _rebooted(state, worker)


def _rebooted(state: State, worker: int) -> State:
    return state._replace(
        leases=_replace_item(state.leases, worker, None),
        fences=_replace_item(state.fences, worker, 0),
        running=_replace_item(state.running, worker, 0),
        boots=_replace_item(state.boots, worker, 1),
    )


def _outcome_steps(state: State):
    newest = _claimed_attempt(state)
    if state.outcome:
        return
    if not newest or state.ended[newest - 1] == "no_start":
        yield "cancelled as not run", state._replace(outcome="not_run")
    elif state.ended[newest - 1] == "maybe":
        yield "interrupted", state._replace(outcome="interrupted")
    elif all(state.running[worker] == newest for worker in state.claims[newest - 1][1]):
        running = tuple(0 if r == newest else r for r in state.running)
        yield "completed", state._replace(outcome="completed", running=running)


def _canonical_state(state: State, mutant: str) -> State:
    """Return the representative of all states that are equivalent to ``state``.

    Starts that their worker would refuse are left out, since it would refuse them later
    too: fences only rise within a boot. States that differ only in the order of the two
    placers are equivalent. Mutants keep all states, so that an index means the same
    placer throughout a trace.
    """
    if mutant:
        return state
    in_flight = tuple(
        message
        for message in state.in_flight
        if state.fences[message[0]] < message[1]
        and state.boots[message[0]] == message[3]
    )
    state = state._replace(in_flight=in_flight)
    first, second = state.placers
    return _with_placers_swapped(state) if first > second else state


def _with_placers_swapped(state: State) -> State:
    leases = tuple(lease and (lease[0], 1 - lease[1]) for lease in state.leases)
    in_flight = tuple(
        sorted((w, a, 1 - index, b) for w, a, index, b in state.in_flight)
    )
    claims = tuple(claim and (1 - claim[0], *claim[1:]) for claim in state.claims)
    return state._replace(
        leases=leases, in_flight=in_flight, claims=claims, placers=state.placers[::-1]
    )


def _ended_attempts_do_not_run(fields: dict) -> bool:
    """Whether no task runs of an attempt whose end is recorded."""
    ended_attempts = {i + 1 for i, ended in enumerate(fields["ended"]) if ended}
    if fields["outcome"]:
        ended_attempts |= set(range(1, ATTEMPTS + 1))
    return not ended_attempts & set(fields["running"])


def lease_protocol(scenario_name: str, mutant: str = "") -> Protocol:
    """Return the scenario's model, without the protection that ``mutant`` names."""
    scenario = SCENARIOS[scenario_name]
    return Protocol(
        name=f"leases-{scenario_name}{'-' + mutant if mutant else ''}",
        candidate=bool(mutant),
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda raw: [
            (name, tuple(_canonical_state(after, mutant)))
            for name, after in steps(State(*raw), scenario, mutant)
        ],
        invariants={
            "non_idempotent_runs_at_most_once": lambda f: (
                len({a for starts in f["starts"] for a in starts}) <= 1
            ),
            "not_run_did_not_run": lambda f: (
                f["outcome"] != "not_run" or not any(f["starts"])
            ),
            "no_gang_on_a_part_of_its_group": lambda f: not f["has_part_start"],
            "nothing_runs_after_its_recorded_end": _ended_attempts_do_not_run,
        },
    )
