"""Accounting of accelerator time by organisation, with wasted time shown separately.

`ChargeLedger` folds the usage stream. Reports may be late, repeated and in any order,
and each is counted once. Corrections are records of their own; no record is edited.
"""

from .account import AttemptUsage, JobAccount, JobCharge
from .ledger import ChargeLedger, ChargeSnapshot, Statement
from .ranges import ForgottenIds, ForgottenIdSet, IntegerRanges

__all__ = [
    "AttemptUsage",
    "ChargeLedger",
    "ChargeSnapshot",
    "ForgottenIdSet",
    "ForgottenIds",
    "IntegerRanges",
    "JobAccount",
    "JobCharge",
    "Statement",
]
