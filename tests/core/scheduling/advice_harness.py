"""A scheduler on a queue with advice, and a policy service of known figures."""

from dataclasses import replace

from harness import Fleet

from ragwortshelf.core.scheduling.listings import StartOutcome


class AdvisedFleet(Fleet):
    """Queues with advice, and the questions that the scheduler has put.

    The queues in ``plain_queues`` need no advice. Every endpoint is approved but those
    in ``denied_ids``.
    """

    def __init__(self, terms, *args, plain_queues=(), **kwargs):
        self.denied_ids = set()
        super().__init__(*args, **kwargs)
        self.terms = terms
        self.plain_queues = plain_queues
        self.set_terms(terms)

    def set_terms(self, terms):
        """Change the figures in the configuration."""
        self.terms = terms
        plain = self.scheduler.configuration
        queues = tuple(
            queue if queue.name in self.plain_queues else replace(queue, advice=terms)
            for queue in plain.queues
        )
        version = plain.version + 1
        self.scheduler.configure(replace(plain, queues=queues, version=version))

    def asked_ids(self):
        """Return the endpoints of the open question."""
        ((_, question),) = self.questions
        return tuple(question.started_wall_ms_by_id)

    def answer(self, valid_ms=None):
        """Answer the open question after the time that the service takes for it."""
        ((asked_ms, question),) = self.questions
        ids = tuple(question.started_wall_ms_by_id)
        self.wait_until(asked_ms + self.terms.answer_ms(len(ids)))
        self.questions.clear()
        self.scheduler.advice_received(
            question,
            {i: f"{question.step}@{i}" for i in ids if i not in self.denied_ids},
            self.terms.valid_ms if valid_ms is None else valid_ms,
            asked_ms,
            self.now,
        )
        self.plan()
        return ids

    def wait_until(self, time_ms):
        """Let time pass; nobody ends or stops anything."""
        while self.now < time_ms:
            self.now = min(time_ms, self.now + 250)
            self.list_progress()

    def refuse_ticket(self):
        """Refuse the oldest start for want of a valid ticket."""
        return self.refuse_start(StartOutcome.NO_TICKET)
