"""Timeouts and intervals of the scheduler's process, in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SchedulingSettings"]


@dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """What differs from site to site, with defaults for the stated sites.

    ``readiness_address`` is where this instance says whether it serves callers; without
    one the others are not told of it.

    ``revocation_ms`` is how long after its revocation a key may still be accepted;
    ``status_retention_ms`` how long an ended job's state is kept; ``drain_ms`` how
    long a planned stop may take; ``cores`` is the processor time a second that this
    instance may use; ``maintenance_ms`` how long a host's upkeep takes, and
    ``host_lease_ms`` how long two holders must not order for one host in turn.
    """

    instance: str
    data_centre: str = ""
    readiness_address: str = ""
    revocation_ms: int = 5_000
    status_retention_ms: int = 120_000
    drain_ms: int = 6_000
    lease_max_ms: int = 10_000
    cores: float = 1.0
    maintenance_ms: int = 2_000
    host_lease_ms: int = 3_000

    # A lease outlives a change of scheduler (about 3 s) after a renewal that is one
    # listing interval old; longer would delay the restart of a lost endpoint's tasks.
    lease_ms: int = 7_000
    listing_wait_ms: int = 1_000

    # A follower claims the term after three renewals that did not come, and no sooner
    # than a renewal takes on a log that answers 60 times as slowly (0.9 s).
    term_renewal_ms: int = 350
    term_timeout_ms: int = 1_200

    # A holder that the log has not confirmed for this long gives its role up, so that
    # a successor can bound the leases which the holder has granted. Outages of the log
    # last 4 to 7 s, which the holder should outlast.
    term_confirmation_max_ms: int = 9_000

    # State shown to callers may be 2 s old; 250 ms keeps the calls to the log low.
    follow_interval_ms: int = 250
    configuration_wait_ms: int = 1_000
    directory_interval_ms: int = 400

    # Where tasks serve beside tasks that fill, a breach has to end within 4 s.
    shared_listing_wait_ms: int = 300

    # One call to the log takes 4 ms, and 60 times that while it is slow.
    log_call_timeout_ms: int = 700
    log_retry_ms: int = 100

    # While the log is away, calls end sooner, so that its return is noticed at once;
    # a call that began during a silent outage is never answered.
    log_probe_timeout_ms: int = 400

    # Calls to an endpoint cross one link of at most 3 ms; a lost answer costs this.
    endpoint_timeout_ms: int = 400

    def read_times_ms(self, wait_ms: int, is_answered: bool) -> tuple[int, int]:
        """Return how long a read of the log waits for a record, and its timeout.

        >>> SchedulingSettings("i").read_times_ms(1_000, is_answered=True)
        (1000, 1700)
        """
        if not is_answered:
            return 0, self.log_probe_timeout_ms
        return wait_ms, wait_ms + self.log_call_timeout_ms
