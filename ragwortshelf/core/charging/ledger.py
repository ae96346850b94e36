"""Fold of the usage stream into the charges of all organisations."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..model import UsageReport
from ..streams import Record, StreamLedger, UsageCorrected, UsageRecorded
from .account import AccountSnapshot, JobAccount, JobCharge
from .ranges import ForgottenIds, ForgottenIdSet

__all__ = ["ChargeLedger", "ChargeSnapshot", "Statement"]

ENDED_ACCOUNTS_KEPT = 10_000
FORGOTTEN_PREFIXES_KEPT = 20_000


@dataclass(frozen=True, slots=True)
class Statement:
    """Accelerator-milliseconds of one organisation.

    ``wasted_ms`` is the part of ``ran_ms`` that was lost: work after the last
    checkpoint of a stopped attempt, and runs whose outcome another run had already
    decided. ``late_ms`` was reported after the job's account was closed; it is shown
    but not charged.
    """

    organisation: str
    ran_ms: int = 0
    wasted_ms: int = 0
    corrected_ms: int = 0
    late_ms: int = 0

    @property
    def charged_ms(self) -> int:
        """Accelerator-milliseconds to charge: what ran plus corrections."""
        return self.ran_ms + self.corrected_ms

    def with_charge(self, charge: JobCharge) -> Statement:
        """Return the statement with the charge of one more job added."""
        return Statement(
            self.organisation,
            self.ran_ms + charge.ran_ms,
            self.wasted_ms + charge.wasted_ms,
            self.corrected_ms + charge.corrected_ms,
            self.late_ms,
        )


@dataclass(frozen=True, slots=True)
class ChargeSnapshot:
    """Contents of a `ChargeLedger`.

    ``closed`` holds the sums of closed accounts, one statement for each organisation.
    """

    accounts: tuple[AccountSnapshot, ...]
    closed: tuple[Statement, ...]
    correction_ids: tuple[str, ...]
    forgotten: tuple[ForgottenIds, ...]


class ChargeLedger(StreamLedger):
    """Sums usage by job and organisation, counting each report once.

    The key of a report is (job, attempt, task, sequence). Reports may be late, repeated
    and in any order, even before the job is known and after it ended, since the sums
    depend only on the set of reports. Sequence numbers are kept as ranges. When more
    than ``ended_kept`` ended jobs have accounts, the account of the job that ended
    first is closed: it is added to its organisation's sum and deleted.

    >>> from ragwortshelf.core.model import UsageReport
    >>> ledger = ChargeLedger()
    >>> record = UsageRecorded((UsageReport("org", "a.1.1", 1, 0, 1, 500),))
    >>> ledger.apply(record)
    >>> ledger.apply(record)
    >>> ledger.statement("org").charged_ms
    500
    """

    SNAPSHOT_TYPE = ChargeSnapshot

    def __init__(self, *, ended_kept: int = ENDED_ACCOUNTS_KEPT) -> None:
        self._ended_kept = ended_kept
        self._account_by_id: dict[str, JobAccount] = {}
        self._ended_ids: dict[str, None] = {}
        self._closed_by_organisation: dict[str, Statement] = {}
        self._correction_ids: dict[str, None] = {}
        self._forgotten = ForgottenIdSet(FORGOTTEN_PREFIXES_KEPT)

    def apply(self, record: Record) -> None:
        """Apply a record of the usage stream; a duplicate changes nothing."""
        if isinstance(record, UsageRecorded):
            for report in record.reports:
                self._count(report)
        elif isinstance(record, UsageCorrected):
            self._correct(record)

    def settle(
        self,
        job_id: str,
        organisation: str,
        lost_by_attempt: Mapping[int, int | None],
        is_ended: bool,
    ) -> None:
        """Update a job's account from the jobs stream; repeated calls are harmless.

        ``lost_by_attempt`` holds lost accelerator-milliseconds, None meaning all that
        the attempt ran.
        """
        if job_id in self._forgotten:
            return
        account = self._get_or_create_account(job_id, organisation)
        account.set_lost_work(lost_by_attempt)
        if is_ended and not account.is_ended:
            account.is_ended = True
            self._ended_ids[job_id] = None
            self._close_oldest()

    def uncounted(self, reports: Iterable[UsageReport]) -> tuple[UsageReport, ...]:
        """Return the reports that are not counted yet, each key once.

        Reports of jobs whose accounts are closed are left out.
        """
        report_by_key: dict[tuple, UsageReport] = {}
        for report in reports:
            account = self._account_by_id.get(report.job_id)
            is_counted = account is not None and account.has_counted(report)
            if not is_counted and report.job_id not in self._forgotten:
                report_by_key[report.key] = report
        return tuple(report_by_key.values())

    def statement(self, organisation: str) -> Statement:
        """Return the sums of one organisation over open and closed accounts."""
        statement = self._closed_statement(organisation)
        for account in self._account_by_id.values():
            if account.organisation == organisation:
                statement = statement.with_charge(account.charge())
        return statement

    def charge(self, job_id: str) -> JobCharge | None:
        """Return the charge of one job, or None if it has no open account."""
        account = self._account_by_id.get(job_id)
        return None if account is None else account.charge()

    def to_snapshot(self) -> ChargeSnapshot:
        """Return the contents of the ledger."""
        return ChargeSnapshot(
            tuple(account.to_snapshot() for account in self._accounts_in_order()),
            tuple(self._closed_by_organisation.values()),
            tuple(self._correction_ids),
            self._forgotten.to_tuple(),
        )

    def _load(self, snapshot: ChargeSnapshot) -> None:
        accounts = [JobAccount.from_snapshot(item) for item in snapshot.accounts]
        self._account_by_id = {account.job_id: account for account in accounts}
        self._ended_ids = {
            account.job_id: None for account in accounts if account.is_ended
        }
        self._closed_by_organisation = {
            item.organisation: item for item in snapshot.closed
        }
        self._correction_ids = dict.fromkeys(snapshot.correction_ids)
        self._forgotten.load(snapshot.forgotten)

    def _accounts_in_order(self) -> Iterable[JobAccount]:
        """Yield accounts, those of ended jobs last and in the order of their end."""
        for job_id, account in self._account_by_id.items():
            if job_id not in self._ended_ids:
                yield account
        for job_id in self._ended_ids:
            yield self._account_by_id[job_id]

    def _get_or_create_account(self, job_id: str, organisation: str) -> JobAccount:
        account = self._account_by_id.get(job_id)
        if account is None:
            account = JobAccount(job_id, organisation)
            self._account_by_id[job_id] = account
        return account

    def _closed_statement(self, organisation: str) -> Statement:
        return self._closed_by_organisation.get(organisation, Statement(organisation))

    def _count(self, report: UsageReport) -> None:
        if report.job_id not in self._forgotten:
            self._get_or_create_account(report.job_id, report.organisation).count(
                report
            )
            return
        closed = self._closed_statement(report.organisation)
        self._closed_by_organisation[report.organisation] = Statement(
            closed.organisation,
            closed.ran_ms,
            closed.wasted_ms,
            closed.corrected_ms,
            closed.late_ms + report.accelerator_ms,
        )

    def _correct(self, record: UsageCorrected) -> None:
        if record.correction_id in self._correction_ids:
            return
        self._correction_ids[record.correction_id] = None
        account = self._account_by_id.get(record.job_id)
        if account is not None and account.organisation == record.organisation:
            account.corrected_ms += record.accelerator_ms
            return
        closed = self._closed_statement(record.organisation)
        self._closed_by_organisation[record.organisation] = closed.with_charge(
            JobCharge(record.job_id, record.organisation, 0, 0, record.accelerator_ms)
        )

    def _close_oldest(self) -> None:
        while len(self._ended_ids) > self._ended_kept:
            job_id = next(iter(self._ended_ids))
            del self._ended_ids[job_id]
            account = self._account_by_id.pop(job_id)
            closed = self._closed_statement(account.organisation)
            self._closed_by_organisation[account.organisation] = closed.with_charge(
                account.charge()
            )
            self._forgotten.add(job_id)
