"""The scheduling service: job log, leader election, endpoint leases and callers.

Every instance follows the job log and serves callers; one of them holds the
scheduler's role at a time. External systems are accessed through the abstract classes
of ``interfaces``. Scheduling decisions are made in ``ragwortshelf.core.scheduling``.
"""
