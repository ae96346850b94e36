"""Charges depend only on the set of reports, not on their order, repeats or delay."""

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.charging import ChargeLedger, IntegerRanges, Statement
from ragwortshelf.core.model import UsageReport
from ragwortshelf.core.streams import UsageCorrected, UsageRecorded

JOBS = tuple(f"e.1.{number}" for number in range(4))
keys = st.tuples(
    st.sampled_from(JOBS), st.integers(1, 3), st.integers(0, 2), st.integers(1, 9)
)
lost = st.dictionaries(st.integers(1, 3), st.none() | st.integers(0, 500))


def report(key):
    job_id, attempt, task, sequence = key
    organisation = f"org{job_id[-1] in '01'}"
    accelerator_ms = 100 * attempt + 10 * task + sequence
    return UsageReport(organisation, job_id, attempt, task, sequence, accelerator_ms)


def correction(number):
    return UsageCorrected(f"c{number}", "orgTrue", JOBS[number % 2], -number, "")


@given(
    st.sets(keys, max_size=40),
    st.dictionaries(st.sampled_from(JOBS), lost),
    st.integers(0, 3),
    st.randoms(use_true_random=False),
)
def test_any_order_and_repetition_gives_the_directly_computed_sums(
    counted_keys, lost_by_id, corrections, rng
):
    operations = [("report", key) for key in counted_keys]
    operations += [("settle", item) for item in lost_by_id.items()]
    operations += [("correct", number) for number in range(corrections)]
    operations += rng.choices(operations, k=len(operations)) if operations else []
    rng.shuffle(operations)
    ledger = ChargeLedger()
    for kind, item in operations:
        if kind == "report":
            fresh = ledger.uncounted([report(item), report(item)])
            ledger.apply(UsageRecorded(fresh))
        elif kind == "correct":
            ledger.apply(correction(item))
        else:
            job_id, lost_by_attempt = item
            organisation = f"org{job_id[-1] in '01'}"
            ledger.settle(job_id, organisation, lost_by_attempt, True)
        if rng.random() < 0.2:
            data = ledger.snapshot()
            ledger = ChargeLedger()
            ledger.restore(data)
    for organisation in ("orgTrue", "orgFalse"):
        own_reports = [report(key) for key in counted_keys]
        own_reports = [
            item for item in own_reports if item.organisation == organisation
        ]
        ran_by_attempt = {}
        for item in own_reports:
            key = (item.job_id, item.attempt)
            ran_by_attempt[key] = ran_by_attempt.get(key, 0) + item.accelerator_ms
        wasted = 0
        for (job_id, attempt), ran_ms in ran_by_attempt.items():
            lost_ms = lost_by_id.get(job_id, {}).get(attempt, 0)
            wasted += ran_ms if lost_ms is None else min(lost_ms, ran_ms)
        corrected = -sum(range(corrections)) if organisation == "orgTrue" else 0
        expected = Statement(
            organisation, sum(ran_by_attempt.values()), wasted, corrected
        )
        assert ledger.statement(organisation) == expected


def test_closed_accounts_stay_in_the_sum_and_count_no_report_twice():
    ledger = ChargeLedger(ended_kept=2)
    for job_id in JOBS:
        ledger.apply(UsageRecorded((report((job_id, 1, 0, 1)),)))
        ledger.settle(job_id, report((job_id, 1, 0, 1)).organisation, {1: None}, True)
    before = ledger.statement("orgTrue")
    assert before == Statement("orgTrue", 202, 202)
    assert ledger.charge(JOBS[0]) is None
    late = report((JOBS[0], 1, 0, 1))
    assert ledger.uncounted([late]) == ()
    ledger.apply(UsageRecorded((late,)))
    assert ledger.statement("orgTrue") == Statement("orgTrue", 202, 202, 0, 101)
    assert len(ledger.to_snapshot().accounts) == 2


@given(st.lists(st.integers(0, 30)))
def test_ranges_match_a_set_and_are_disjoint(numbers):
    ranges, plain = IntegerRanges(), set()
    for number in numbers:
        assert ranges.add(number) == (number not in plain)
        plain.add(number)
    assert {n for n in range(-1, 32) if n in ranges} == plain
    edges = ranges.to_tuple()
    assert all(a[1] + 1 < b[0] for a, b in pairwise(edges))


def test_long_job_needs_one_range_per_task():
    ledger = ChargeLedger()
    for sequence in range(1, 2_000):
        ledger.apply(UsageRecorded((report((JOBS[0], 1, 0, sequence)),)))
    (account,) = ledger.to_snapshot().accounts
    assert account.seen[0].ranges == ((1, 1_999),)
