"""The scheduler's process: the job log, the role's term, endpoints and callers.

Every instance follows the log and answers callers; one of them holds the scheduler's
role at a time. Outside systems are met through the abstract classes of
``interfaces``. Decisions are made in ``ragwortshelf.core.scheduling``.
"""
