"""Timeouts and intervals of the scheduling service, in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.scheduling.stalls import ListingNeed

__all__ = ["SLOWEST_LINK_BYTES_PER_S", "SchedulingSettings"]

SLOWEST_LINK_BYTES_PER_S = 625_000
"""The slowest link of the supported deployments, 5 Mbit/s, which all transfers of an
instance share."""

APPEND_TIMEOUT_DIVISOR = 4
"""An append crosses the slowest link in this part of its timeout; the rest is left for
other transfers on the link and for the log."""


@dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """Settings of one instance, with defaults for the supported deployments.

    ``readiness_address`` is where this instance reports whether it serves callers; an
    instance without one is not announced to the others. ``cores`` is the processor time
    that this instance may use, in seconds per second.

    ``revocation_ms`` limits how long a revoked key may still be accepted,
    ``status_retention_ms`` is how long an ended job's state is kept, and ``drain_ms``
    limits the duration of a planned stop. ``maintenance_ms`` is the duration of a
    host's upkeep. ``host_lease_ms`` is the minimum time between upkeep orders for the
    same host by two successive holders of the role. ``evacuation_ms`` limits how long
    after the request an evacuated data centre may still be sent a start; None if
    nothing is promised about that.
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
    evacuation_ms: int | None = None

    # A lease whose last renewal is one listing interval old outlasts a change of
    # scheduler (about 3 s). A longer one would delay restarting the tasks of an
    # unreachable endpoint.
    lease_ms: int = 7_000
    listing_wait_ms: int = 1_000

    # An instance claims the role after three missing renewals. The timeout exceeds the
    # duration of a renewal while the log is 60 times slower than usual (0.9 s).
    term_renewal_ms: int = 350
    term_timeout_ms: int = 1_200

    # A holder whose term the log has not confirmed for this long gives up the role. The
    # role should survive outages of the log, which last 4 to 7 s.
    term_confirmation_max_ms: int = 9_000

    # A holder extends leases for this long after the log has last confirmed its term.
    # Leases then outlast outages of the log of 8 s. A longer time would delay what a
    # successor starts anew of tasks whose endpoint it does not reach.
    lease_grant_max_ms: int = 4_000

    # Callers may see state up to 2 s old; 250 ms limits the number of log calls.
    follow_interval_ms: int = 250
    configuration_wait_ms: int = 1_000
    directory_interval_ms: int = 400

    # Replaces ``listing_wait_ms`` for endpoints that run serving and background tasks
    # together, where a missed latency target must be corrected within 4 s.
    shared_listing_wait_ms: int = 300

    # Replaces ``listing_wait_ms`` for endpoints with a fresh urgent run: the shortest
    # stall timeout is 1 s, and a hang should be seen soon after it.
    urgent_listing_wait_ms: int = 400

    # A call to the log takes 4 ms, or 60 times as long while the log is slow.
    log_call_timeout_ms: int = 700
    log_retry_ms: int = 100

    # Timeout of reads while the log does not answer. It is shorter, so that recovery is
    # detected quickly: a call sent during a silent outage is never answered.
    log_probe_timeout_ms: int = 400

    # Calls to an endpoint cross one link of at most 3 ms latency. A lost answer costs
    # the whole timeout.
    endpoint_timeout_ms: int = 400

    def read_timeout_ms(self, wait_ms: int) -> int:
        """Return the timeout of a read of a log that answers.

        >>> SchedulingSettings("i").read_timeout_ms(wait_ms=1_000)
        1700
        """
        return wait_ms + self.log_call_timeout_ms

    def listing_wait_for(self, need: ListingNeed) -> int:
        """Return how long a renewal waits that lists an endpoint with this need.

        >>> SchedulingSettings("i").listing_wait_for(ListingNeed.USUAL)
        1000
        """
        match need:
            case ListingNeed.SHARED:
                return self.shared_listing_wait_ms
            case ListingNeed.FRESH_URGENT:
                return self.urgent_listing_wait_ms
        return self.listing_wait_ms

    def append_bytes_max(self) -> int:
        """Return the size to which appends of several records are limited.

        >>> SchedulingSettings("i").append_bytes_max()
        109375
        """
        sending_ms = self.log_call_timeout_ms // APPEND_TIMEOUT_DIVISOR
        return SLOWEST_LINK_BYTES_PER_S * sending_ms // 1000
