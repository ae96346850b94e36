"""Upkeep waves: within the deadline, and never more hosts down than allowed."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ragwortshelf.core.scheduling.upkeep import (
    HostInfo,
    HostState,
    UpkeepOutcome,
    UpkeepWave,
    WaveProgress,
)

MAINTENANCE_MS = 2_000


class Hosts:
    """Simulated hosts whose upkeep takes 2 s, and their endpoints' task counts."""

    def __init__(self, count, load):
        self.endpoint = {f"m{n}": f"e{n}" for n in range(count)}
        self.up_at = dict.fromkeys(self.endpoint, 0)
        self.load = dict.fromkeys(self.endpoint.values(), load)

    def listing(self, now):
        return {
            host: HostInfo(
                host,
                "pool",
                HostState.UP if now >= self.up_at[host] else HostState.IN_UPKEEP,
                endpoint if now >= self.up_at[host] else "",
            )
            for host, endpoint in self.endpoint.items()
        }

    def begin(self, host, now):
        self.up_at[host] = now + MAINTENANCE_MS
        self.load.pop(self.endpoint[host], None)
        self.endpoint[host] += "'"
        self.load[self.endpoint[host]] = 0

    def down(self, now):
        return sum(now < at for at in self.up_at.values())


@settings(max_examples=60, deadline=None)
@given(
    count=st.integers(1, 8),
    cap=st.integers(1, 3),
    load=st.integers(0, 2),
    lost=st.sets(st.integers(0, 40), max_size=10),
)
def test_a_wave_meets_its_deadline_and_its_limit_of_hosts_down(count, cap, load, lost):
    hosts = Hosts(count, load)
    rounds = -(-count // cap)
    duration = rounds * (MAINTENANCE_MS + 6_000)
    wave = UpkeepWave(1, tuple(hosts.endpoint), duration, cap)
    progress = WaveProgress(wave, duration, MAINTENANCE_MS)
    begun = set()
    now = order_number = 0
    while not progress.is_complete(hosts.listing(now)):
        listing = hosts.listing(now)
        step = progress.step(listing, hosts.load, now)
        for endpoint in step.evict:
            hosts.load[endpoint] = 0
        for host in step.order:
            if host not in begun:
                assert hosts.down(now) < cap
                begun.add(host)
                hosts.begin(host, now)
            order_number += 1
            is_lost = order_number in lost
            outcome = UpkeepOutcome.UNANSWERED if is_lost else UpkeepOutcome.BEGUN
            progress.record_outcome(listing[host], outcome)
        now += 400
        assert now <= duration + 400 * len(lost)
    assert begun == set(hosts.endpoint)


def test_a_wave_is_not_complete_until_every_listed_host_has_begun():
    hosts = Hosts(2, 0)
    progress = WaveProgress(UpkeepWave(1, ("m0", "m1"), 9_000, 1), 9_000, 2_000)
    listing = hosts.listing(0)
    progress.record_outcome(listing["m0"], UpkeepOutcome.BEGUN)
    progress.record_outcome(listing["m1"], UpkeepOutcome.UNANSWERED)
    assert not progress.is_complete(listing)
    del listing["m1"]
    assert progress.is_complete(listing)
