"""Steps of the models, replayed on the code, which has to give the same verdicts."""

import itertools
import json
import random

import pytest

from ragwortshelf.core.jobs import JobLedger
from ragwortshelf.core.model import Grant, JobPhase, JobSpec, Reason
from ragwortshelf.core.releases import Accepted, Duplicate, ReleaseState, fold
from ragwortshelf.core.requests import IdReserver, parse_request_id
from ragwortshelf.core.streams import (
    AttemptClaimed,
    AttemptEnded,
    JobAccepted,
    JobEnded,
    ReleaseSubmitted,
)
from ragwortshelf.standins.worker_state import WorkerLeases
from specification import leases, releases, request_ids
from specification.models import MODELS, check_model

JOB = "e.1.1"
TTL_MS = 1000
LEASE_MODELS = [model for model in MODELS if model.name.startswith("leases/")]
WALKS = 300
WALK_STEPS = 60
RARE_STEPS = {"deadline", "lapses", "reboots", "over"}


class CodeUnderTest:
    """Three workers and the fold of the job log, driven by lease-model labels."""

    def __init__(self):
        self.workers = [WorkerLeases(1) for _ in range(leases.WORKERS)]
        self.boots = [[worker.boot_id] for worker in self.workers]
        self.now_s = 0.0
        self.ledger = JobLedger()
        self.ledger.apply(JobAccepted(JobSpec(JOB, "org", "dc", 2), "e"))

    def replay(self, label, before, after):
        """Replay one step; fail if the code's verdict differs from the model's."""
        words = label.split()
        if words[0][0] == "w":
            self._worker(int(words[0][1:]), words[1], before, after)
        elif words[0][0] == "p":
            index = int(words[0][1:])
            self._placer(index, before.placers[index], words[1:], before, after)
        else:
            self._outcome(after.outcome)
        self.compare(after)

    def _worker(self, worker, verb, before, after):
        worker_leases = self.workers[worker]
        if verb == "reboots":
            worker_leases.reboot()
            self.boots[worker].append(worker_leases.boot_id)
        elif verb == "lease":
            self.now_s += TTL_MS
            worker_leases.advance(self.now_s)
        else:
            (message,) = set(before.in_flight) - set(after.in_flight)
            assert (self.start(message) is None) == (verb == "starts")

    def start(self, message):
        worker, attempt, index, boot = message
        fields = {
            "lease_id": self._lease_id(attempt, f"p{index}"),
            "boot_id": self.boots[worker][boot],
            "organisation": "org",
            "tasks": (0,),
            "command": '{"run_ms": 1000000000000}',
            "resume_from": 0,
        }
        return self.workers[worker].start(fields, self.now_s)

    def _lease_id(self, attempt, holder):
        return f"{JOB}/{attempt}/{holder}"

    def _placer(self, index, placer, words, before, after):
        remaining = [worker for worker in placer.group if worker not in placer.done]
        text = " ".join(words)
        if words[0] == "lease":
            assert self._acquire(remaining[0], index, placer) is None
        elif text == "is denied":
            assert self._acquire(remaining[0], index, placer) == "fenced"
            self._roll_back(index, placer)
        elif words[-1] == "held":
            assert self._acquire(remaining[0], index, placer) == "held"
            self._roll_back(index, placer)
        elif text == "claim lands":
            assert self._claim(index, placer, before.boots) is not None
        elif text == "lost the claim":
            assert self._claim(index, placer, before.boots) is None
            self._roll_back(index, placer)
        elif words[0] == "fences":
            reply = self.workers[remaining[0]].fence(JOB, placer.attempt, self.now_s)
            claim = self.ledger.get(JOB).claim
            boot_id = claim.boot_ids[placer.group.index(remaining[0])]
            may_have_started = reply["has_started"] or reply["boot_id"] != boot_id
            has_seen = after.placers[index].has_seen_start
            assert (may_have_started or placer.has_seen_start) == has_seen
        elif words[0] == "records":
            record = AttemptEnded(
                JOB, placer.attempt, words[1] == "maybe", Reason.WORKER_LOST, 0, 0
            )
            assert self.ledger.apply(record) is not None

    def _acquire(self, worker, index, placer):
        fields = {
            "job_id": JOB,
            "attempt": placer.attempt,
            "holder": f"p{index}",
            "accelerators": [0],
            "ttl_ms": TTL_MS,
            "label": "",
        }
        return self.workers[worker].acquire(fields, self.now_s)

    def _roll_back(self, index, placer):
        for worker in self.workers:
            worker.release(self._lease_id(placer.attempt, f"p{index}"), self.now_s)

    def _claim(self, index, placer, boots):
        return self.ledger.apply(
            AttemptClaimed(
                JOB,
                placer.attempt,
                f"p{index}",
                "dc",
                tuple(Grant(f"w{worker}", (0,)) for worker in placer.group),
                tuple(self.boots[worker][boots[worker]] for worker in placer.group),
                0,
            )
        )

    def _outcome(self, outcome):
        attempt = self.ledger.get(JOB).attempt
        ended = JobEnded(JOB, attempt, JobPhase(outcome), Reason.CANCELLED, "", 0)
        assert self.ledger.apply(ended) is not None
        if outcome == "completed":
            holder = self.ledger.get(JOB).claim.holder
            for worker in self.workers:
                worker.command(self._lease_id(attempt, holder), "stop", self.now_s)

    def compare(self, state):
        for worker, worker_leases in enumerate(self.workers):
            live = [row for row in worker_leases.rows(self.now_s) if row["is_live"]]
            running = [r["attempt"] for r in live if r["task_state"] == "running"]
            assert (running or [0]) == [state.running[worker]]
            held = [(row["attempt"], int(row["holder"][1:])) for row in live]
            if not state.outcome:
                assert (held or [None]) == [state.leases[worker]]
            assert worker_leases.fence_by_job.get(JOB, 0) == state.fences[worker]
        entry = self.ledger.get(JOB)
        claims = [i + 1 for i, claim in enumerate(state.claims) if claim]
        assert entry.attempt == max(claims, default=0)
        if claims and not state.outcome:
            holder, group, _ = state.claims[entry.attempt - 1]
            assert entry.claim.holder == f"p{holder}"
            assert [grant.worker for grant in entry.claim.grants] == [
                f"w{worker}" for worker in group
            ]
            assert entry.is_open == (state.ended[entry.attempt - 1] is None)
        phase = entry.phase if entry.phase.is_final else ""
        assert phase == state.outcome


def step_kind(label):
    return " ".join(w for w in label.split() if w.replace("_", "").isalpha())


@pytest.mark.parametrize("name", leases.SCENARIOS)
def test_random_walks_give_the_same_verdicts(name):
    scenario = leases.SCENARIOS[name]
    rng = random.Random(650)
    seen = set()
    for walk in range(WALKS):
        state, code_under_test = leases.State(), CodeUnderTest()
        rare_step_weight = (0.03, 0.3, 1.0)[walk % 3]
        for _ in range(WALK_STEPS):
            choices = list(leases.steps(state, scenario))
            if not choices:
                break
            weights = [
                rare_step_weight
                if after.outcome or RARE_STEPS & set(label.split())
                else 1
                for label, after in choices
            ]
            ((label, after),) = rng.choices(choices, weights)
            code_under_test.replay(label, state, after)
            seen.add(step_kind(label))
            state = after
    # The walks have to cover every verdict that a worker or the fold gives.
    expected = {"starts", "refuses start", "is denied", "fences", "lease lapses"}
    expected |= {"claim lands", "records maybe", "records no_start", "completed"}
    expected |= {"interrupted", "cancelled as not run"}
    expected |= {"reboots"} if scenario.can_reboot else set()
    expected |= {"lost the claim"} if name == "groups_apart" else {"finds held"}
    assert expected <= seen, expected - seen


LEASED = ["p0 leases (0, 1)", "p0 lease 0", "p0 lease 1", "p0 holds its group"]
CLAIMED = [*LEASED, "p0 claim lands", "p0 reads its claim"]
DIRECTED = {
    "a start arrives after its lease lapsed": [
        *CLAIMED,
        "p0 sends start 0",
        "p0 deadline",
        "w0 lease lapses",
        "w0 refuses start",
    ],
    "a second placer asks after a lapse": [
        *LEASED,
        "p0 deadline",
        "w0 lease lapses",
        "p1 leases (0, 1)",
        "p1 is denied",
    ],
    "a claim lands after its sender's deadline": [
        *LEASED,
        "p0 deadline",
        "p0 claim lands",
        "p1 takes over 1",
        "p1 fences 0",
        "p1 fences 1",
        "p1 records no_start",
        "cancelled as not run",
    ],
    "a fence comes before the start": [
        *CLAIMED,
        "p0 sends start 0",
        "p1 takes over 1",
        "p1 fences 0",
        "w0 refuses start",
        "p1 fences 1",
        "p1 records no_start",
        "p0 sends start 1",
        "w1 refuses start",
    ],
    "a worker reboots between claim and start": [
        *CLAIMED,
        "p0 sends start 0",
        "w0 reboots",
        "w0 refuses start",
        "p1 takes over 1",
        "p1 fences 0",
        "p1 fences 1",
        "p1 records maybe",
        "interrupted",
    ],
}


TWO_CLAIMS = [
    *("p0 leases (0,)", "p0 lease 0", "p0 holds its group"),
    *("p1 leases (2,)", "p1 lease 2", "p1 holds its group"),
    *("p1 claim lands", "p0 lost the claim", "p1 reads its claim"),
    *("p1 sends start 2", "w2 starts 1", "completed"),
]


@pytest.mark.parametrize(
    ("name", "labels"),
    [
        ("groups_apart", TWO_CLAIMS),
        *(("one_group_and_a_reboot", labels) for labels in DIRECTED.values()),
    ],
    ids=["two placers claim", *DIRECTED],
)
def test_directed_trace_gives_the_same_verdicts(name, labels):
    scenario = leases.SCENARIOS[name]
    state, code_under_test = leases.State(), CodeUnderTest()
    for label in labels:
        after = dict(leases.steps(state, scenario))[label]
        code_under_test.replay(label, state, after)
        state = after


@pytest.mark.parametrize("model", LEASE_MODELS, ids=lambda model: model.name)
def test_code_refuses_the_start_that_only_a_worker_without_fences_takes(model):
    scenario = leases.SCENARIOS[model.name.partition("/")[2]]
    for trace in check_model(model, "no_fencing").trace_by_invariant.values():
        state, code_under_test = leases.State(), CodeUnderTest()
        for label, fields in trace[1:]:
            after = leases.State(**fields)
            if (label, after) not in list(leases.steps(state, scenario)):
                break
            code_under_test.replay(label, state, after)
            state = after
        (message,) = set(state.in_flight) - set(after.in_flight)
        assert label.split()[1] == "starts"
        assert code_under_test.start(message) is not None


def test_only_the_named_incarnation_treats_an_id_as_its_own():
    names = (("a", 0), ("a", 1), ("b", 0))
    reservers = [IdReserver(*name) for name in names]
    request_id, *_ = [reserver.reserve(1)[0] for reserver in reservers]
    owned = [reserver.owns(parse_request_id(request_id)) for reserver in reservers]
    state = request_ids.RequestState(("unused",) * 3, in_flight=1)
    labels = [label for label, _ in request_ids.steps(state)]
    sends = [f"i{process} sends" in labels for process in range(len(names))]
    assert owned == sends == [True, False, False]
    # A reserver of the same name and incarnation that reserved nothing owns nothing.
    assert not IdReserver("a", 0).owns(parse_request_id(request_id))


RULES = ("retry_budget", "queue_limit", "reclaim_grace_ms")


def release_record(note):
    rules = {RULES[name]: 5 for name in releases.TOUCHED_BY_NOTE[note]}
    head = {"note_id": f"n{note}", "author": "o", "against_revision": -1}
    text = json.dumps({**head, "rules": {"added": rules}})
    return ReleaseSubmitted(f"n{note}", "o", text, 0)


def test_the_fold_gives_every_short_log_the_verdicts_of_the_model():
    for notes in itertools.product(releases.TOUCHED_BY_NOTE, repeat=5):
        model, state = releases.Folded(), ReleaseState()
        for offset, note in enumerate(notes):
            model, expected = releases.fold_note(model, note)
            state, verdict = fold(state, offset, release_record(note))
            if isinstance(verdict, Accepted):
                assert expected == f"note {note} accepted"
            elif isinstance(verdict, Duplicate):
                assert expected == f"repeat of note {note}"
            else:
                assert verdict.reason == "conflict"
                assert expected == f"conflict of note {note}"
            # Folding a record again gives the same verdict and changes nothing.
            assert fold(state, offset, release_record(note)) == (
                state,
                verdict,
            )
        in_force = {name for name, note in zip(RULES, model.notes, strict=True) if note}
        assert set(state.configuration.rules_by_name) == in_force
