"""Charges: what ran for each organisation, counted once, the wasted part apart.

`ChargeLedger` folds the usage stream. Reports may lag, repeat and arrive in any order;
corrections are records and never edits.
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
