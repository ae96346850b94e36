"""What a term leaves behind of units whose runs end one after the other."""

from dataclasses import replace

from harness import SMALL, Harness

from ragwortshelf.core.scheduling import Scheduler
from ragwortshelf.core.scheduling.actions import StartTask
from ragwortshelf.core.scheduling.listings import EndpointListing, RunEnd


def _make_gang(tasks=4, endpoints=2):
    """Return a scheduler on which a gang runs, the same number on each endpoint."""
    harness = Harness(endpoints=endpoints, gpus=tasks // endpoints)
    harness.submit("g", count=tasks, is_gang=True, request=SMALL)
    assert len(harness.accept_starts()) == tasks
    return harness


def _adopted_endpoint_ids(harness):
    """Return the endpoints on which a successor takes the gang's runs to be."""
    successor = Scheduler(2, harness.table, harness.scheduler.configuration)
    successor.adopt(harness.now, harness.now)
    (unit,) = successor.unit_by_key.values()
    return {placement.endpoint_id for placement in unit.placements}


# Guards against a gang that waits for leases that an earlier term knew to have expired,
# as only the first end of its runs was in the log.
def test_a_successor_does_not_wait_for_members_that_an_earlier_term_saw_lapse():
    harness = _make_gang(endpoints=2)
    harness.scheduler.endpoint_lease_expired("e0", harness.now, harness.now)
    assert _adopted_endpoint_ids(harness) == {"e1"}
    harness.scheduler.endpoint_lease_expired("e1", harness.now, harness.now)
    assert _adopted_endpoint_ids(harness) == set()


# Guards against the same for members whose ends were listed before their endpoint left.
def test_a_successor_does_not_wait_for_members_whose_ends_were_listed():
    harness = _make_gang(endpoints=2)
    harness.end("e0", "g.0.0.0", RunEnd.BROKEN)
    assert _adopted_endpoint_ids(harness) == {"e0", "e1"}
    harness.end("e0", "g.0.0.1", RunEnd.BROKEN)
    assert _adopted_endpoint_ids(harness) == {"e1"}


# Guards against records of a gang's end that grow with the number of its members.
def test_a_gangs_end_is_recorded_once_an_endpoint():
    harness = _make_gang(tasks=8, endpoints=2)
    harness.records.clear()
    for endpoint_id in ("e0", "e1"):
        for task in list(harness.running[endpoint_id]):
            harness.end(endpoint_id, task, RunEnd.BROKEN)
    ended = [record for record in harness.records if record.run == 1]
    assert len(ended) <= 3


def _succeed_after_loss(harness, endpoint_id):
    """Lose an endpoint, note that, and return a successor that has seen its leases end.

    The claim of the role holds the note on the clock of the successor's term.
    """
    now = harness.now
    harness.scheduler.endpoint_unreachable(endpoint_id, now, now)
    harness.scheduler.leases_ended(endpoint_id, 7_000, 11_000, now, now)
    note = harness.table.leases_end_by_endpoint_id[endpoint_id]
    harness.table.apply(replace(note, term=2))
    successor = Scheduler(2, harness.table, harness.scheduler.configuration)
    successor.adopt(now + 1_000, now + 1_000)
    successor.endpoint_lease_expired(endpoint_id, now + 7_000, now + 7_000)
    return successor


# Guards against tasks that start one after the other, up to 21 s after the loss of
# their endpoint: a successor suspected runs that an earlier term had seen settle.
def test_a_successor_does_not_suspect_what_an_earlier_term_had_seen_settle():
    harness = Harness(endpoints=1)
    harness.submit("t", count=4)
    harness.accept_starts()
    harness.list("e0")
    harness.advance(2_000)
    harness.list("e0")
    successor = _succeed_after_loss(harness, "e0")
    assert len(successor.waiting) == 4
    assert not successor.crashes.suspect_by_key


# Guards against crashes that nobody counts: who was suspected stays so.
def test_a_successor_suspects_what_an_earlier_term_suspected():
    harness = Harness(endpoints=1)
    harness.submit("t", count=2)
    harness.accept_starts()
    successor = _succeed_after_loss(harness, "e0")
    assert len(successor.crashes.suspect_by_key) == 2


# Guards against a task that runs twice: a successor orders a start again, which may
# reach an incarnation that nobody knows, and takes its run for located.
def test_a_start_that_a_successor_orders_again_is_not_located():
    harness = Harness(endpoints=1)
    harness.submit("t")
    successor = Scheduler(2, harness.table, harness.scheduler.configuration)
    successor.adopt(harness.now, harness.now)
    endpoint = harness.scheduler.endpoint_by_id["e0"]
    successor.endpoint_updated(endpoint.info, harness.now)
    successor.listing_received(
        EndpointListing("e0", 1, harness.now, (), ()), harness.now, harness.now
    )
    assert any(isinstance(a, StartTask) for a in successor.take_actions())
    successor.endpoint_lease_expired("e0", harness.now, harness.now, False)
    assert not successor.waiting
    successor.endpoint_lease_expired("e0", harness.now, harness.now, True)
    assert len(successor.waiting) == 1
