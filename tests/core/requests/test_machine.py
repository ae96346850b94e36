"""Tests of the request machine: outcomes against a simple model, and policies."""

import random
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ragwortshelf.core.model import (
    Answered,
    NotRun,
    Priority,
    Reason,
    Request,
    RequestClass,
    ServingEndpoint,
    Unknown,
    Unreachable,
)
from ragwortshelf.core.requests import (
    Abort,
    AttemptEnded,
    Cancelled,
    ConnectionsSuspected,
    Delegate,
    DrainStarted,
    EndpointsListed,
    Finish,
    LoadReport,
    Log,
    NotSentToEndpoint,
    OrganisationsChanged,
    PeerLoadReceived,
    RequestMachine,
    Send,
    ShareManager,
    ShareSettings,
    Submitted,
    Suspect,
    Ticked,
)

SETTINGS = ShareSettings()
READY_MS = 10_000


def ready_machine(endpoints=2, slots=8, seed=1, weights=None):
    """Return a machine whose instance is alone in its data centre and has all slots."""
    shares = ShareManager("i", "d", 1, SETTINGS)
    machine = RequestMachine("d", shares, random.Random(seed))
    endpoint_infos = tuple(
        ServingEndpoint(f"m{n}", "d", "", slots, 64) for n in range(endpoints)
    )
    machine.handle(EndpointsListed(endpoint_infos), 0)
    machine.handle(OrganisationsChanged(weights), 0)
    for now_ms in range(0, READY_MS, 500):
        shares.apply_instance_list({"i"}, set(), now_ms, now_ms)
    # Keeps the lease from expiring during the test.
    shares.apply_instance_list({"i"}, set(), 10**9, READY_MS)
    return machine


def request(
    number,
    *,
    idempotent=False,
    timeout_ms=1_000,
    now_ms=READY_MS,
    organisation="o",
    **more,
):
    request_id = f"i.1.{number}"
    return Request(request_id, organisation, idempotent, now_ms + timeout_ms, **more)


def of_type(actions, *types):
    return [action for action in actions if isinstance(action, types)]


def allowed_outcome_types(is_idempotent, attempts):
    """Return the outcome types that the full history of attempts allows.

    ``attempts`` holds the result of each attempt, or None while it is open.
    """
    last = attempts[-1] if attempts else None
    may_have_run = any(
        not isinstance(result, NotRun | NotSentToEndpoint) for result in attempts
    )
    allowed = {Unknown if may_have_run else NotRun}
    if isinstance(last, Answered):
        allowed = {Answered}
        if last.status >= 500 and is_idempotent:
            allowed.add(Unknown)
    return allowed


class OutcomeMachine(RuleBasedStateMachine):
    """Answers, failures, refusals, cancellations and time steps in any order."""

    def __init__(self):
        super().__init__()
        self.machine = ready_machine(slots=2)
        self.now_ms = READY_MS
        self.number = 0
        self.request_by_id = {}
        self.open_by_id = {}
        self.attempts_by_id = {}
        self.runs_by_id = Counter()
        self.outcome_by_id = {}

    def handle(self, event):
        for action in self.machine.handle(event, self.now_ms):
            match action:
                case Send(sent) | Delegate(sent):
                    request_id = sent.request_id
                    assert request_id not in self.open_by_id
                    assert request_id not in self.outcome_by_id
                    assert sent.deadline_ms > self.now_ms
                    self.open_by_id[request_id] = action
                    self.attempts_by_id[request_id].append(None)
                case Finish(request_id, outcome):
                    assert request_id not in self.outcome_by_id
                    self.outcome_by_id[request_id] = outcome
                    self.check(request_id, outcome)
                case Abort(request_id):
                    assert request_id in self.open_by_id
                case Suspect(request_id):
                    assert request_id in self.open_by_id
                case _:
                    assert isinstance(action, Log)

    def check(self, request_id, outcome):
        is_idempotent = self.request_by_id[request_id].is_idempotent
        allowed = allowed_outcome_types(is_idempotent, self.attempts_by_id[request_id])
        assert type(outcome) in allowed
        if isinstance(outcome, Answered):
            assert outcome.body == request_id.encode()

    def end(self, request_id, result, has_run):
        self.runs_by_id[request_id] += has_run
        del self.open_by_id[request_id]
        self.attempts_by_id[request_id][-1] = result
        self.handle(AttemptEnded(request_id, result))

    @rule(
        idempotent=st.booleans(),
        timeout_ms=st.sampled_from([0, 50, 500, 2_000, 10_000, 90_000]),
        request_class=st.sampled_from(RequestClass),
        organisation=st.sampled_from("opq"),
    )
    def submit(self, idempotent, timeout_ms, request_class, organisation):
        self.number += 1
        new = request(
            self.number,
            idempotent=idempotent,
            timeout_ms=timeout_ms,
            now_ms=self.now_ms,
            organisation=organisation,
            request_class=request_class,
        )
        self.request_by_id[new.request_id] = new
        self.attempts_by_id[new.request_id] = []
        self.handle(Submitted(new))

    @precondition(lambda self: self.open_by_id)
    @rule(data=st.data(), has_run=st.booleans(), kind=st.integers(0, 5))
    def end_attempt(self, data, has_run, kind):
        request_id = data.draw(st.sampled_from(sorted(self.open_by_id)))
        if kind <= 1:
            status = 200 if kind == 0 else 500
            self.end(request_id, Answered(status, (), request_id.encode()), True)
        elif kind == 2:
            self.end(request_id, Unreachable("lost"), has_run)
        elif isinstance(self.open_by_id[request_id], Delegate):
            self.end(request_id, NotRun(Reason.NO_CAPACITY), False)
        else:
            self.end(request_id, NotSentToEndpoint("refused", kind == 3), False)

    @precondition(lambda self: self.open_by_id)
    @rule()
    def suspect(self):
        self.handle(ConnectionsSuspected(tuple(self.open_by_id)))

    @precondition(lambda self: self.request_by_id)
    @rule(data=st.data())
    def cancel(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.request_by_id)))
        self.handle(Cancelled(request_id))
        assert request_id in self.outcome_by_id

    @rule(data_centre=st.sampled_from("de"), free=st.integers(0, 3))
    def receive_peer_load(self, data_centre, free):
        self.handle(PeerLoadReceived(f"{data_centre}1", LoadReport(data_centre, free)))

    @rule(ms=st.sampled_from([1, 10, 40, 100, 400, 1_500, 7_000]))
    def advance(self, ms):
        self.now_ms += ms
        self.handle(Ticked())
        for request_id, submitted in self.request_by_id.items():
            assert (
                request_id in self.outcome_by_id or submitted.deadline_ms > self.now_ms
            )

    @precondition(lambda self: self.number > 20)
    @rule()
    def drain(self):
        self.handle(DrainStarted())

    @invariant()
    def non_idempotent_runs_at_most_once(self):
        for request_id, submitted in self.request_by_id.items():
            if not submitted.is_idempotent:
                possible = [
                    result
                    for result in self.attempts_by_id[request_id]
                    if not isinstance(result, NotRun | NotSentToEndpoint)
                ]
                assert len(possible) <= 1
                assert self.runs_by_id[request_id] <= 1

    @invariant()
    def not_run_did_not_run(self):
        for request_id, outcome in self.outcome_by_id.items():
            if isinstance(outcome, NotRun):
                assert self.runs_by_id[request_id] == 0

    def teardown(self):
        self.now_ms += 100_000
        self.handle(Ticked())
        for request_id in list(self.open_by_id):
            self.end(request_id, Unreachable("aborted"), False)
        assert self.outcome_by_id.keys() == self.request_by_id.keys()
        assert self.machine.is_idle() and not self.machine.in_flight_by_endpoint()


TestOutcomeMachine = OutcomeMachine.TestCase
TestOutcomeMachine.settings = settings(max_examples=max(100, settings().max_examples))


def test_early_refusal_gives_a_retry_time():
    machine = ready_machine(endpoints=1)
    refused = []
    for number in range(200):
        actions = machine.handle(Submitted(request(number)), READY_MS)
        refused += of_type(actions, Finish)
    assert refused
    for action in refused:
        assert action.outcome.reason is Reason.DEADLINE_UNREACHABLE
        assert action.outcome.retry_after_ms > 0


def test_burst_of_one_organisation_does_not_block_another():
    machine = ready_machine(weights={"o": 1, "p": 1})
    for number in range(100):
        machine.handle(Submitted(request(number, timeout_ms=60_000)), READY_MS)
    machine.handle(
        Submitted(request(100, organisation="p", timeout_ms=60_000)), READY_MS
    )
    ended = AttemptEnded("i.1.0", Answered(200, (), b""))
    actions = machine.handle(ended, READY_MS + 100)
    assert [send.request.organisation for send in of_type(actions, Send)] == ["p"]


def test_priority_goes_first_only_within_its_organisation():
    machine = ready_machine(endpoints=1, slots=1, weights={"o": 1, "p": 1})
    machine.handle(Submitted(request(0, timeout_ms=60_000)), READY_MS)
    for number, organisation, priority in (
        (1, "o", Priority.LOW),
        (2, "o", Priority.URGENT),
        (3, "p", Priority.NORMAL),
        (4, "p", Priority.NORMAL),
    ):
        waiting = request(
            number, timeout_ms=60_000, organisation=organisation, priority=priority
        )
        machine.handle(Submitted(waiting), READY_MS)
    order, now_ms = [], READY_MS
    running = "i.1.0"
    while running:
        now_ms += 100
        ended = AttemptEnded(running, Answered(200, (), b""))
        sends = of_type(machine.handle(ended, now_ms), Send)
        running = sends[0].request.request_id if sends else None
        order.append(running)
    assert order == ["i.1.3", "i.1.2", "i.1.4", "i.1.1", None]


def test_failures_of_old_connections_do_not_eject_an_endpoint():
    for is_old, ejected in ((True, set()), (False, {"m0"})):
        machine = ready_machine()
        for number in range(60):
            new = request(number, idempotent=True)
            sends = of_type(machine.handle(Submitted(new), READY_MS), Send)
            if not sends or sends[0].endpoint != "m0":
                continue
            result = NotSentToEndpoint("connection had ended")
            machine.handle(AttemptEnded(new.request_id, result, is_old), READY_MS)
        assert machine.ejected_endpoints() == ejected


def test_a_request_waits_while_all_endpoints_pause_after_a_refusal():
    # Refused as "no endpoint is available", callers would stay away for a second,
    # though the endpoints get requests again after 50 ms.
    machine = ready_machine()
    for number in range(40):
        sends = of_type(
            machine.handle(Submitted(request(number, idempotent=True)), READY_MS), Send
        )
        for send in sends:
            result = NotSentToEndpoint("busy", is_refusal=True)
            machine.handle(AttemptEnded(send.request.request_id, result), READY_MS)
    actions = machine.handle(Submitted(request(99)), READY_MS + 10)
    assert of_type(actions, Finish) == []
    actions = machine.handle(Ticked(), READY_MS + 100)
    assert of_type(actions, Send)


def test_retries_stay_within_the_budget_during_an_outage():
    machine = ready_machine()
    now_ms, sends = READY_MS, 0
    pending = [
        machine.handle(Submitted(request(n, idempotent=True, timeout_ms=5_000)), now_ms)
        for n in range(300)
    ]
    while now_ms < READY_MS + 5_000:
        now_ms += 10
        batch = [send for actions in pending for send in of_type(actions, Send)]
        sends += len(batch)
        pending = [machine.handle(Ticked(), now_ms)]
        for send in batch:
            ended = AttemptEnded(send.request.request_id, Unreachable("outage"))
            pending.append(machine.handle(ended, now_ms))
    assert 300 <= sends + 60 <= 300 * 1.1 + 20 + 60


def test_unanswered_non_idempotent_request_is_suspected_but_not_resent():
    machine = ready_machine()
    machine.handle(Submitted(request(1, timeout_ms=60_000)), READY_MS)
    actions = machine.handle(Ticked(), READY_MS + 3_000)
    assert actions == [Suspect("i.1.1")]
    # No other connection is suspect.
    machine.handle(ConnectionsSuspected(("i.1.1",)), READY_MS + 3_000)
    assert machine.handle(Ticked(), READY_MS + 20_000) == []
    late = AttemptEnded("i.1.1", Answered(200, (), b"x"))
    actions = machine.handle(late, READY_MS + 50_000)
    assert of_type(actions, Finish, Send) == [Finish("i.1.1", Answered(200, (), b"x"))]


def test_slow_idempotent_request_gets_more_time_with_each_attempt():
    machine = ready_machine()
    machine.handle(Submitted(request(1, idempotent=True, timeout_ms=60_000)), READY_MS)
    now_ms, sent_ms, waits_ms = READY_MS, READY_MS, []
    while now_ms < READY_MS + 45_000:
        now_ms += 10
        actions = machine.handle(Ticked(), now_ms)
        if of_type(actions, Suspect):
            actions += machine.handle(ConnectionsSuspected(("i.1.1",)), now_ms)
        if of_type(actions, Abort):
            waits_ms.append(now_ms - sent_ms)
            ended = AttemptEnded("i.1.1", Unreachable("aborted"), True)
            actions += machine.handle(ended, now_ms)
        if of_type(actions, Send):
            sent_ms = now_ms
    assert [wait_ms // 2_000 for wait_ms in waits_ms] == [1, 4, 16]


def test_non_idempotent_request_on_a_suspect_connection_ends_as_unknown():
    machine = ready_machine()
    machine.handle(Submitted(request(1, timeout_ms=60_000)), READY_MS)
    machine.handle(ConnectionsSuspected(("i.1.1", "i.1.2")), READY_MS + 50)
    assert not machine.handle(Ticked(), READY_MS + 199)
    actions = machine.handle(Ticked(), READY_MS + 200)
    assert of_type(actions, Abort) == [Abort("i.1.1", is_silent=True)]
    (finish,) = of_type(actions, Finish)
    assert finish.outcome.reason is Reason.NO_ANSWER
    ended = AttemptEnded("i.1.1", Unreachable("aborted"), True)
    assert machine.handle(ended, READY_MS + 201) == []


def test_requests_running_after_the_lease_expired_are_aborted():
    shares = ShareManager("i", "d", 1, ShareSettings(isolated_slots=0))
    machine = RequestMachine("d", shares, random.Random(1))
    machine.handle(EndpointsListed((ServingEndpoint("m", "d", ""),)), 0)
    for now_ms in range(0, READY_MS, 500):
        shares.apply_instance_list({"i"}, set(), now_ms, now_ms)
    machine.handle(Submitted(request(1, timeout_ms=60_000)), READY_MS)
    expiry_ms = READY_MS - 500 + SETTINGS.lease_ms
    assert not of_type(machine.handle(Ticked(), expiry_ms - 1), Abort)
    assert of_type(machine.handle(Ticked(), expiry_ms), Abort) == [Abort("i.1.1")]


def test_queue_limit_applies_to_each_organisation_separately():
    machine = ready_machine(endpoints=1, slots=1)
    machine.handle(OrganisationsChanged(None, queue_limit=2), READY_MS)
    long_ms = 3_600_000
    refused = [
        of_type(
            machine.handle(Submitted(request(n, timeout_ms=long_ms)), READY_MS),
            Finish,
        )
        for n in range(4)
    ]
    # One runs, two wait, and the fourth is refused with a retry time.
    assert refused[:3] == [[], [], []]
    (finish,) = refused[3]
    assert finish.outcome.reason is Reason.QUEUE_FULL
    assert finish.outcome.retry_after_ms > 0
    other = request(9, timeout_ms=long_ms, organisation="p")
    assert not of_type(machine.handle(Submitted(other), READY_MS), Finish)
