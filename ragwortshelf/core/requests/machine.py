"""The request machine of one instance: events in, actions out.

It owns the fair queue, routing, retries, health of minions and the outcome rules. It
sends nothing itself: whoever drives it carries out the actions and reports how each
attempt ended. Time is passed in, and the shares of slots are asked of a
``ShareKeeper``.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from ..model import (
    Answered,
    NotRun,
    Reason,
    Request,
    RequestOutcome,
    Unknown,
    Unreachable,
)
from .admission import is_within_share, refusal
from .events import (
    Abort,
    Action,
    AttemptEnded,
    Cancelled,
    ConnectionsSuspected,
    DrainStarted,
    Event,
    Finish,
    Log,
    MinionsListed,
    NotSentToMinion,
    OrganisationsChanged,
    PeerLoadNoted,
    PeerLost,
    Send,
    Spill,
    Submitted,
    Suspect,
    Ticked,
)
from .fair_queue import FairQueue
from .health import MinionHealth
from .messages import LoadReport
from .outcomes import failure_outcome
from .retries import RetryBudget, backoff_ms
from .routing import MinionPool, PeerLoads, least_loaded_of_two, routed
from .run_times import RunTimes
from .shares import ShareKeeper

__all__ = ["RequestMachine"]

DRAINING_RETRY_AFTER_MS = 100
RETRY_AFTER_FAILURE_MS = 500
SPILL_COST_MS = 10
SUSPECT_FACTOR = 2
SILENT_ALLOWANCE_FACTOR = 4
SERVER_ERROR = 500


@dataclass(slots=True)
class _Entry:
    """A request that is not finished, or whose attempt has not ended yet."""

    request: Request
    is_delegated: bool
    arrived_ms: int
    cost_ms: float
    attempt: int = 0
    may_have_run: bool = False
    not_before_ms: int = 0
    minion: str | None = None
    peer: str | None = None
    sent_ms: int = 0
    progress_deadline_ms: int = 0
    silent_attempts: int = 0
    is_suspect: bool = False
    has_silent_siblings: bool = False
    is_aborted: bool = False
    is_finished: bool = False

    @property
    def is_out(self) -> bool:
        return self.minion is not None or self.peer is not None


class RequestMachine:
    """Queues, routes and retries requests, and gives each one outcome."""

    def __init__(self, data_centre: str, shares: ShareKeeper, rng: random.Random):
        self._data_centre = data_centre
        self._shares = shares
        self._rng = rng
        self._queue = FairQueue()
        self._pool = MinionPool(data_centre)
        self._loads = PeerLoads()
        self._health = MinionHealth(rng)
        self._budget = RetryBudget()
        self._run_times = RunTimes()
        self._entry_by_id: dict[str, _Entry] = {}
        self._backing_off: set[str] = set()
        self._timers: list[tuple[int, str]] = []
        self._in_flight_by_minion: dict[str, int] = {}
        self._in_flight_by_organisation: dict[str, int] = {}
        self._weight_by_organisation: dict[str, int] | None = None
        self._is_draining = False

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Take one event and return the actions to carry out, in order."""
        actions: list[Action] = []
        match event:
            case Submitted(request, is_delegated):
                self._submit(request, is_delegated, now_ms, actions)
            case AttemptEnded():
                self._end_attempt(event, now_ms, actions)
            case ConnectionsSuspected(request_ids):
                self._suspect(request_ids, now_ms)
            case Cancelled(request_id):
                self._cancel(request_id, actions)
            case MinionsListed(minions):
                self._list_minions(minions)
            case OrganisationsChanged(weights):
                self._weight_by_organisation = weights
                self._queue.set_weights(weights or {})
            case PeerLoadNoted(peer, load):
                self._loads.note(peer, load, now_ms)
            case PeerLost(peer):
                self._loads.forget(peer)
            case DrainStarted():
                self._is_draining = True
            case Ticked():
                self._cut_lapsed(now_ms, actions)
        self._expire(now_ms, actions)
        self._dispatch(now_ms, actions)
        return actions

    def in_flight(self, minion: str) -> int:
        """Return how many requests of this instance run on a minion."""
        return self._in_flight_by_minion.get(minion, 0)

    def in_flight_by_minion(self) -> dict[str, int]:
        """Return the numbers of running requests of this instance, zeros left out."""
        return {name: n for name, n in self._in_flight_by_minion.items() if n}

    def is_idle(self) -> bool:
        """Whether nothing waits and nothing runs."""
        return not self._entry_by_id

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue) + len(self._backing_off)

    def ejected_minions(self) -> set[str]:
        """Return the minions that are ejected for failures."""
        return self._health.ejected()

    def next_wake_ms(self) -> int | None:
        """Return when ``Ticked`` is next due by what is stored, None if never."""
        return self._timers[0][0] if self._timers else None

    def load_report(self, now_ms: int) -> LoadReport:
        """Return what peers should know of this instance's load."""
        free = 0 if len(self._queue) else self._free_slots(now_ms)
        return LoadReport(
            data_centre=self._data_centre,
            free_slots=0 if self._is_draining else free,
            waiting=self.waiting(),
            is_draining=self._is_draining,
            in_flight_by_minion=self.in_flight_by_minion(),
        )

    def _wake_at(self, when_ms: int, request_id: str) -> None:
        heapq.heappush(self._timers, (when_ms, request_id))

    # Arrival

    def _submit(self, request, is_delegated, now_ms, actions) -> None:
        outcome = self._refusal(request, is_delegated, now_ms)
        if outcome is not None:
            decision = routed(request, "refuse", outcome.reason.value)
            actions.append(Log(decision))
            actions.append(Finish(request.request_id, outcome))
            return
        cost_ms = self._run_times.mean_ms(request.request_class)
        entry = _Entry(request, is_delegated, now_ms, cost_ms)
        self._entry_by_id[request.request_id] = entry
        self._queue.push(request, cost_ms)
        self._wake_at(request.deadline_ms, request.request_id)
        self._budget.earn()

    def _refusal(self, request, is_delegated, now_ms) -> NotRun | None:
        if request.request_id in self._entry_by_id:
            return NotRun(Reason.INVALID, "a request with this id is being served")
        if self._is_draining:
            return NotRun(
                Reason.DRAINING, "this instance stops", DRAINING_RETRY_AFTER_MS
            )
        weights = self._weight_by_organisation
        if weights is not None and request.organisation not in weights:
            return NotRun(Reason.ORGANISATION_UNKNOWN, request.organisation)
        if is_delegated and self._free_slots(now_ms) <= len(self._queue):
            return NotRun(
                Reason.NO_CAPACITY, "no slot is free here", RETRY_AFTER_FAILURE_MS
            )
        slots = self._serving_slots(now_ms)
        return refusal(request, self._queue, slots, self._run_times, now_ms)

    def _serving_slots(self, now_ms) -> int:
        """Slots that serve this instance's queue, its own and free ones of peers."""
        own = sum(
            self._shares.slots(name, now_ms)
            for name in self._pool.usable(now_ms)
            if not self._health.is_ejected(name)
        )
        spare = sum(
            load.free_slots
            for load in self._loads.fresh(now_ms).values()
            if not load.is_draining
        )
        return own + spare

    # Dispatch

    def _open_by_minion(self, now_ms) -> dict[str, int]:
        """Free slots of minions that take ordinary requests, zeros left out."""
        open_by_minion = {}
        for name in self._pool.usable(now_ms):
            free = self._shares.slots(name, now_ms) - self.in_flight(name)
            if free > 0 and not self._health.is_ejected(name):
                open_by_minion[name] = free
        return open_by_minion

    def _free_slots(self, now_ms) -> int:
        return sum(self._open_by_minion(now_ms).values())

    def _dispatch(self, now_ms, actions) -> None:
        self._return_from_backoff(now_ms)
        if not len(self._queue):
            return
        self._send_probes(now_ms, actions)
        open_by_minion = self._open_by_minion(now_ms)
        slots = self._serving_slots(now_ms)
        free = sum(open_by_minion.values())
        while open_by_minion:
            request = self._queue.peek(
                lambda name, free=free: self._may_start(name, slots, free)
            )
            if request is None:
                break
            if self._give_up_late(request, now_ms, actions):
                continue
            minion = self._send(request, open_by_minion, now_ms, actions)
            free -= 1
            open_by_minion[minion] -= 1
            if not open_by_minion[minion]:
                del open_by_minion[minion]
        if not open_by_minion:
            self._spill(slots, now_ms, actions)

    def _may_start(self, organisation, slots, free) -> bool:
        weights = self._weight_by_organisation
        if not weights:
            return True
        return is_within_share(
            self._in_flight_by_organisation.get(organisation, 0),
            self._queue.weight(organisation),
            sum(max(1, weight) for weight in weights.values()),
            slots,
            free,
        )

    def _give_up_late(self, request, now_ms, actions) -> bool:
        """Refuse a request at the head that cannot be in time; True if refused."""
        left_ms = request.deadline_ms - now_ms
        needed_ms = self._run_times.median_ms(request.request_class)
        if len(self._queue) > 1:
            needed_ms = self._run_times.high_ms(request.request_class)
        if left_ms >= needed_ms:
            return False
        entry = self._entry_by_id[request.request_id]
        self._queue.remove(request.request_id)
        wait_ms = now_ms - entry.arrived_ms
        self._finish(
            entry,
            failure_outcome(
                may_have_run=entry.may_have_run,
                reason=Reason.DEADLINE_UNREACHABLE,
                detail=f"waited {wait_ms} ms and {left_ms} ms are left",
                retry_after_ms=int(wait_ms + needed_ms - left_ms) + 1,
            ),
            actions,
        )
        return True

    def _send(self, request, open_by_minion, now_ms, actions) -> str:
        load_by_name = {
            name: self.in_flight(name) + self._loads.in_flight(name, now_ms)
            for name in open_by_minion
        }
        minion, other = least_loaded_of_two(load_by_name, self._rng)
        passed_over = () if other is None else (f"{other}: {load_by_name[other]} run",)
        reason = f"{load_by_name[minion]} run, least of two"
        self._queue.pop(request, now_ms)
        self._start(request, minion, now_ms, actions, reason, passed_over)
        return minion

    def _start(self, request, minion, now_ms, actions, reason, passed_over=()) -> None:
        entry = self._entry_by_id[request.request_id]
        entry.attempt += 1
        entry.minion = minion
        entry.sent_ms = now_ms
        self._plan_progress(entry, now_ms)
        self._in_flight_by_minion[minion] = self.in_flight(minion) + 1
        self._count_organisation(request.organisation, 1)
        actions.append(Log(routed(request, minion, reason, passed_over)))
        actions.append(Send(request, minion, entry.attempt))

    def _send_probes(self, now_ms, actions) -> None:
        for name in self._pool.usable(now_ms):
            if not self._health.wants_probe(name, now_ms):
                continue
            if self._shares.slots(name, now_ms) <= self.in_flight(name):
                continue
            request = next((r for r in self._queue.requests() if r.is_idempotent), None)
            if request is None:
                return
            self._queue.pop(request, now_ms)
            self._health.start_probe(name, request.request_id)
            self._start(request, name, now_ms, actions, "probe of an ejected minion")

    def _spill(self, slots, now_ms, actions) -> None:
        """Let peers run what would wait longer here than the way there takes."""
        while len(self._queue):
            request = self._queue.peek()
            entry = self._entry_by_id[request.request_id]
            if entry.is_delegated:
                return
            has_own = any(
                self._shares.slots(name, now_ms) for name in self._pool.usable(now_ms)
            )
            wait_ms = self._wait_for_head_ms(request, max(1, slots), now_ms)
            if has_own and wait_ms <= SPILL_COST_MS:
                return
            chosen = self._loads.choose(self._data_centre, now_ms, self._rng)
            if chosen is None:
                return
            if self._give_up_late(request, now_ms, actions):
                continue
            self._spill_to(entry, chosen, int(wait_ms), now_ms, actions)

    def _wait_for_head_ms(self, request, slots, now_ms) -> float:
        """Expected wait of the head for the next of ``slots`` to become free."""
        mean_ms = self._run_times.mean_ms(request.request_class)
        wait_ms = self._queue.expected_wait_ms(request, slots, now_ms)
        return max(mean_ms / slots, wait_ms)

    def _spill_to(self, entry, chosen, wait_ms, now_ms, actions) -> None:
        peer, other = chosen
        request = entry.request
        self._queue.pop(request, now_ms)
        self._loads.take_slot(peer)
        entry.attempt += 1
        entry.peer = peer
        entry.sent_ms = now_ms
        entry.progress_deadline_ms = request.deadline_ms
        self._count_organisation(request.organisation, 1)
        passed_over = [f"own minions: wait of {wait_ms} ms"]
        if other is not None:
            passed_over.append(f"{other}: fewer free slots")
        decision = routed(request, peer, "peer has free slots", tuple(passed_over))
        actions.append(Log(decision))
        actions.append(Spill(request, peer, entry.attempt))

    # End of attempts

    def _end_attempt(self, event, now_ms, actions) -> None:
        request_id, result = event.request_id, event.result
        entry = self._entry_by_id.get(request_id)
        if entry is None or not entry.is_out:
            return
        minion, peer = entry.minion, entry.peer
        self._release(entry)
        if minion is not None:
            self._note_health(entry, minion, event, now_ms)
        if peer is not None and isinstance(result, NotRun):
            self._loads.no_slots(peer)
        if peer is not None and isinstance(result, Unreachable):
            self._loads.forget(peer)
        if entry.is_finished:
            del self._entry_by_id[request_id]
            return
        self._judge(entry, result, now_ms, actions)

    def _release(self, entry) -> None:
        if entry.minion is not None:
            self._in_flight_by_minion[entry.minion] -= 1
        self._count_organisation(entry.request.organisation, -1)
        entry.minion = None
        entry.peer = None
        entry.is_aborted = False
        entry.is_suspect = False
        entry.has_silent_siblings = False

    def _count_organisation(self, organisation, change) -> None:
        count = self._in_flight_by_organisation.get(organisation, 0) + change
        self._in_flight_by_organisation[organisation] = count

    def _note_health(self, entry, minion, event, now_ms) -> None:
        request = entry.request
        run_ms = now_ms - entry.sent_ms
        match event.result:
            case Answered(status) if status < SERVER_ERROR:
                self._health.note_success(minion)
                self._run_times.note(request.request_class, run_ms)
                self._queue.correct(request, run_ms - entry.cost_ms)
            case NotSentToMinion(is_refusal=True):
                self._pool.note_refusal(minion, now_ms)
                self._health.forget_probe(minion, request.request_id)
            case Unreachable() if entry.is_finished or event.is_old_connection:
                # Ended by a deadline, by the caller or with an old connection: a new
                # connection is tried before the minion is judged.
                self._health.forget_probe(minion, request.request_id)
            case _:
                self._health.note_failure(minion, request.request_id, now_ms)

    def _judge(self, entry, result, now_ms, actions) -> None:
        """Finish a request or let it wait for its next attempt."""
        match result:
            case Answered(status) if status >= SERVER_ERROR:
                entry.may_have_run = True
                if not entry.request.is_idempotent:
                    self._finish(entry, result, actions)
                else:
                    self._retry(entry, result, now_ms, actions)
            case Answered():
                self._finish(entry, result, actions)
            case NotRun() | NotSentToMinion():
                self._retry(entry, result, now_ms, actions)
            case Unreachable(may_have_applied=False):
                self._retry(entry, result, now_ms, actions)
            case _:
                entry.may_have_run = True
                self._retry(entry, result, now_ms, actions)

    def _retry(self, entry, result, now_ms, actions) -> None:
        request = entry.request
        if entry.may_have_run and not request.is_idempotent:
            self._give_up(entry, Reason.CONNECTION_LOST, result, actions)
            return
        if entry.is_delegated:
            self._give_up(entry, Reason.MINION_FAILED, result, actions)
            return
        pause_ms = 0 if _is_free(result) else backoff_ms(entry.attempt, self._rng)
        needed_ms = pause_ms + self._run_times.median_ms(request.request_class)
        if now_ms + needed_ms > request.deadline_ms:
            self._give_up(entry, Reason.DEADLINE_UNREACHABLE, result, actions)
            return
        if not _is_free(result) and not self._budget.take():
            self._give_up(entry, Reason.RETRY_BUDGET_SPENT, result, actions)
            return
        entry.not_before_ms = now_ms + pause_ms
        self._backing_off.add(request.request_id)
        self._wake_at(entry.not_before_ms, request.request_id)

    def _give_up(self, entry, reason, result, actions) -> None:
        if isinstance(result, Answered):
            # The last word of a minion is more use to the caller than a reason.
            self._finish(entry, result, actions)
            return
        detail = getattr(result, "detail", "")
        outcome = failure_outcome(
            may_have_run=entry.may_have_run,
            reason=reason,
            detail=detail,
            retry_after_ms=RETRY_AFTER_FAILURE_MS,
        )
        self._finish(entry, outcome, actions)

    def _return_from_backoff(self, now_ms) -> None:
        due = [
            request_id
            for request_id in sorted(self._backing_off)
            if self._entry_by_id[request_id].not_before_ms <= now_ms
        ]
        for request_id in due:
            self._backing_off.remove(request_id)
            entry = self._entry_by_id[request_id]
            self._queue.push(entry.request, entry.cost_ms)

    # Ends without an answer

    def _finish(self, entry, outcome: RequestOutcome, actions) -> None:
        request_id = entry.request.request_id
        entry.is_finished = True
        if not entry.is_out:
            del self._entry_by_id[request_id]
        actions.append(Finish(request_id, outcome))

    def _abort(self, entry, actions, *, is_silent=False) -> None:
        entry.is_aborted = True
        actions.append(Abort(entry.request.request_id, is_silent=is_silent))

    def _cancel(self, request_id, actions) -> None:
        entry = self._entry_by_id.get(request_id)
        if entry is None or entry.is_finished:
            return
        self._queue.remove(request_id)
        self._backing_off.discard(request_id)
        if entry.is_out and not entry.is_aborted:
            self._abort(entry, actions)
        outcome = failure_outcome(
            may_have_run=entry.may_have_run or entry.is_out,
            reason=Reason.CANCELLED,
            detail="the caller left",
            retry_after_ms=None,
        )
        self._finish(entry, outcome, actions)

    def _expire(self, now_ms, actions) -> None:
        """Finish what is past its deadline; abort what is past its progress one."""
        while self._timers and self._timers[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._timers)
            entry = self._entry_by_id.get(request_id)
            if entry is None or entry.is_finished:
                continue
            request = entry.request
            if request.deadline_ms <= now_ms:
                self._expire_entry(entry, now_ms, actions)
            elif entry.is_aborted:
                continue
            elif entry.minion is not None and entry.progress_deadline_ms <= now_ms:
                self._note_silence(entry, now_ms, actions)

    def _note_silence(self, entry, now_ms, actions) -> None:
        """Act on a request that brought no answer by its progress deadline."""
        if not entry.is_suspect:
            # Its siblings tell whether the connection or the request is slow.
            self._plan_progress(entry, now_ms)
            actions.append(Suspect(entry.request.request_id))
        elif entry.request.is_idempotent:
            entry.silent_attempts += 1
            self._abort(entry, actions, is_silent=True)
        elif entry.has_silent_siblings:
            self._abort(entry, actions, is_silent=True)
            detail = "its connection and others of the same age went silent"
            self._finish(entry, Unknown(Reason.NO_ANSWER, detail), actions)

    def _plan_progress(self, entry, now_ms) -> None:
        """Set the next progress deadline; each silent attempt allows more time."""
        allowance_ms = self._run_times.progress_ms(entry.request.request_class)
        allowance_ms *= SILENT_ALLOWANCE_FACTOR**entry.silent_attempts
        entry.progress_deadline_ms = now_ms + allowance_ms
        self._wake_at(entry.progress_deadline_ms, entry.request.request_id)

    def _is_overdue(self, entry, now_ms) -> bool:
        high_ms = self._run_times.high_ms(entry.request.request_class)
        return now_ms >= entry.sent_ms + SUSPECT_FACTOR * high_ms

    def _suspect(self, request_ids, now_ms) -> None:
        """Bring forward the progress deadline of what runs on suspect connections."""
        for request_id in request_ids:
            entry = self._entry_by_id.get(request_id)
            if entry is None or entry.minion is None:
                continue
            entry.is_suspect = True
            entry.has_silent_siblings |= len(request_ids) > 1
            high_ms = self._run_times.high_ms(entry.request.request_class)
            soon_ms = max(now_ms + 1, entry.sent_ms + int(SUSPECT_FACTOR * high_ms))
            if soon_ms < entry.progress_deadline_ms:
                entry.progress_deadline_ms = soon_ms
                self._wake_at(soon_ms, request_id)

    def _expire_entry(self, entry, now_ms, actions) -> None:
        request_id = entry.request.request_id
        self._queue.remove(request_id)
        self._backing_off.discard(request_id)
        if entry.is_out and not entry.is_aborted:
            is_silent = self._is_overdue(entry, now_ms)
            self._abort(entry, actions, is_silent=is_silent)
        outcome = failure_outcome(
            may_have_run=entry.may_have_run or entry.is_out,
            reason=Reason.DEADLINE_PASSED,
            detail="no whole answer by the deadline",
            retry_after_ms=RETRY_AFTER_FAILURE_MS,
        )
        self._finish(entry, outcome, actions)

    def _cut_lapsed(self, now_ms, actions) -> None:
        """Abort what runs beyond the limit, once a right has lapsed."""
        for minion, running in self._in_flight_by_minion.items():
            excess = running - self._shares.limit(minion, now_ms)
            if excess <= 0:
                continue
            out = [e for e in self._entry_by_id.values() if e.minion == minion]
            excess -= sum(entry.is_aborted for entry in out)
            for entry in [e for e in out if not e.is_aborted][: max(0, excess)]:
                self._abort(entry, actions)

    def _list_minions(self, minions) -> None:
        if not self._pool.set_minions(minions):
            return
        names = set(self._pool.info_by_name)
        self._health.set_minions(names)
        self._shares.set_minions(
            {
                name: (info.slots, info.connections)
                for name, info in self._pool.info_by_name.items()
            }
        )


def _is_free(result) -> bool:
    """Whether a retry costs no budget: the attempt provably did not run anywhere."""
    return isinstance(result, NotRun) or (
        isinstance(result, NotSentToMinion) and result.is_refusal
    )
