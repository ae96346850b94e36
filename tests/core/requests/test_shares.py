"""Tests of shares: together, instances never use more slots than an endpoint has."""

import random
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ragwortshelf.core.requests import LoadReport, ShareManager, ShareSettings

SLOTS = 8
CONNECTIONS = 64
SETTINGS = ShareSettings(2_000, 2_000, 250, isolated_slots=0)
LOAD = LoadReport()


class Site:
    """Instances of one data centre with one endpoint and a list that may be stale."""

    def __init__(self, settings=SETTINGS, rng=None):
        self.settings = settings
        self.now_ms = 0
        self.rng = rng or random.Random(1)
        self.manager_by_name = {}
        self.list_history = [(-10_000, frozenset())]
        self.cut_links = set()
        self.cut_from_list = set()
        self.paused = set()
        self.in_transit = []
        self.sent_ms_by_pair = {}
        self.in_use_by_name = {}

    def listed(self, at_ms):
        return next(
            names for when, names in reversed(self.list_history) if when <= at_ms
        )

    def set_list(self, names):
        self.list_history.append((self.now_ms, frozenset(names)))

    def start(self, name, incarnation=1):
        manager = ShareManager(name, "d", incarnation, self.settings)
        manager.set_endpoints({"m": (SLOTS, CONNECTIONS)})
        self.manager_by_name[name] = manager
        self.in_use_by_name[name] = 0

    def kill(self, name):
        del self.manager_by_name[name]
        self.paused.discard(name)

    def slots(self, name):
        return self.manager_by_name[name].slots("m", self.now_ms)

    def exchange(self, requester, responder, delays_ms=(0, 0)):
        """Send a heartbeat and its reply, each delayed by the given time."""
        sent_ms = self.now_ms
        heartbeat = self.manager_by_name[requester].heartbeat(responder, LOAD, sent_ms)
        self.sent_ms_by_pair[requester, responder] = sent_ms

        def arrive():
            if responder not in self.manager_by_name or responder in self.paused:
                return
            in_use = {"m": self.in_use_by_name[responder]}
            reply = self.manager_by_name[responder].handle_heartbeat(
                requester, heartbeat, in_use, LOAD, self.now_ms
            )
            if reply is not None:
                self.deliver(responder, requester, delays_ms[1], lambda: receive(reply))

        def receive(reply):
            if requester in self.manager_by_name and requester not in self.paused:
                manager = self.manager_by_name[requester]
                manager.handle_reply(responder, reply, sent_ms, self.now_ms)
                self.sent_ms_by_pair.pop((requester, responder), None)

        self.deliver(requester, responder, delays_ms[0], arrive)

    def deliver(self, sender, receiver, delay_ms, function):
        if frozenset((sender, receiver)) in self.cut_links:
            return
        if delay_ms:
            self.in_transit.append((self.now_ms + delay_ms, function))
        else:
            function()

    def fetch_list(self, name, lag_ms=0):
        if name not in self.cut_from_list:
            names = self.listed(self.now_ms - lag_ms)
            manager = self.manager_by_name[name]
            manager.apply_instance_list(set(names), set(), self.now_ms, self.now_ms)

    def run(self, duration_ms, step_ms=250, max_delay_ms=0):
        """Advance the time, and check at each step that the slots are not exceeded."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += step_ms
            due = [call for call in self.in_transit if call[0] <= self.now_ms]
            self.in_transit = [call for call in self.in_transit if call not in due]
            for _, function in due:
                function()
            for name in sorted(self.manager_by_name.keys() - self.paused):
                self.fetch_list(name, self.rng.randint(0, SETTINGS.list_lag_ms - 1))
                for peer in self.manager_by_name[name].peers():
                    self.send_heartbeat(name, peer, max_delay_ms)
            assert self.total_limit() <= SLOTS

    def send_heartbeat(self, name, peer, max_delay_ms):
        """Send a heartbeat unless one sent in the last second awaits its reply."""
        sent_ms = self.sent_ms_by_pair.get((name, peer), -10_000)
        if sent_ms + 1_000 <= self.now_ms:
            delays_ms = [self.rng.randint(0, max_delay_ms) for _ in range(2)]
            self.exchange(name, peer, delays_ms)

    def total_limit(self):
        return sum(
            manager.limit("m", self.now_ms) for manager in self.manager_by_name.values()
        )


def two_instances():
    site = Site()
    site.set_list({"a", "b"})
    site.start("a")
    site.start("b")
    site.run(12_000)
    return site


def test_two_instances_get_half_each():
    site = two_instances()
    assert (site.slots("a"), site.slots("b")) == (4, 4)
    assert site.manager_by_name["a"].connections("m", site.now_ms) == 32


def test_share_of_a_dead_instance_is_reused_only_after_its_lease_expired():
    site = two_instances()
    site.kill("b")
    site.run(SETTINGS.lease_ms * 3)
    assert site.slots("a") == 4  # still listed: b may be alive but unreachable
    site.set_list({"a"})
    site.run(SETTINGS.exclusion_ms - 500)
    assert site.slots("a") == 4
    site.run(4_000)
    assert site.slots("a") == 8


def test_joining_instance_gets_an_even_share_once_tokens_are_free():
    site = two_instances()
    site.in_use_by_name = {"a": 4, "b": 0}
    site.set_list({"a", "b", "c"})
    site.start("c")
    site.in_use_by_name = {"a": 4, "b": 0, "c": 0}
    site.run(12_000)
    assert site.manager_by_name["a"].slots("m", site.now_ms) < 4
    # Tokens that a's requests use are not yielded.
    assert site.manager_by_name["a"].limit("m", site.now_ms) == 4
    assert site.total_limit() == SLOTS
    site.in_use_by_name["a"] = 0
    site.run(2_000)
    assert sorted(site.slots(n) for n in "abc") == [2, 3, 3]


def test_paused_instance_has_no_slots_after_its_lease_expired():
    site = two_instances()
    site.paused.add("b")
    site.set_list({"a"})
    site.run(12_000)
    assert site.slots("a") == 8
    site.paused.clear()
    assert site.slots("b") == 0


def test_unreachable_or_empty_list_leaves_shares_unchanged():
    site = two_instances()
    site.cut_from_list = {"a", "b"}
    site.run(60_000)
    assert (site.slots("a"), site.slots("b")) == (4, 4)
    site.cut_from_list.clear()
    site.set_list(set())
    site.run(60_000)
    assert (site.slots("a"), site.slots("b")) == (4, 4)


def test_isolated_instance_has_no_slots_after_its_lease_expired():
    site = two_instances()
    site.cut_from_list = {"b"}
    site.cut_links = {frozenset("ab")}
    site.run(SETTINGS.lease_ms - 500)
    assert site.slots("b") == 4
    site.run(1_000)
    assert site.slots("b") == 0


def test_last_instance_continues_with_isolated_slots():
    site = Site(replace(SETTINGS, isolated_slots=1))
    site.set_list({"a", "b"})
    site.start("a")
    site.start("b")
    site.run(12_000)
    site.kill("a")
    site.cut_from_list = {"b"}
    site.run(SETTINGS.lease_ms + SETTINGS.exclusion_ms + 500)
    assert site.slots("b") == 1


def test_draining_instance_yields_all_unused_tokens_at_once():
    site = two_instances()
    site.manager_by_name["b"].drain()
    site.run(1_000)
    assert (site.slots("a"), site.slots("b")) == (8, 0)


def test_requests_started_in_isolation_may_finish_when_a_peer_acquires_tokens():
    site = Site(replace(SETTINGS, isolated_slots=1))
    site.set_list({"a", "b"})
    site.start("a")
    site.start("b")
    a, b = site.manager_by_name["a"], site.manager_by_name["b"]
    assert (site.slots("a"), a.limit("m", site.now_ms)) == (1, 1)
    while not b.holds_share(site.now_ms):
        site.now_ms += 250
        site.fetch_list("b")
        a.apply_instance_list({"a", "b"}, set(), 0, site.now_ms)  # a stale answer
        site.exchange("b", "a")
        site.exchange("a", "b")
    assert (site.slots("a"), a.limit("m", site.now_ms)) == (0, 1)


def test_late_reply_does_not_grant_tokens_given_up_since():
    site = two_instances()
    a, b = site.manager_by_name["a"], site.manager_by_name["b"]
    b.drain()
    old = a.heartbeat("b", LOAD, site.now_ms)
    reply = b.handle_heartbeat("a", old, {}, LOAD, site.now_ms)
    a.heartbeat("b", LOAD, site.now_ms)
    a.handle_reply("b", reply, site.now_ms, site.now_ms)
    assert site.slots("a") == 4
    assert b.handle_heartbeat("a", old, {}, LOAD, site.now_ms) is None


def test_joining_instance_acquires_nothing_without_reaching_every_holder():
    site = two_instances()
    site.start("c")
    site.set_list({"a", "b", "c"})
    site.cut_links = {frozenset("bc")}
    site.run(12_000)
    assert site.slots("c") == 0


def test_unlisted_holder_is_learned_from_its_peer():
    site = two_instances()
    site.set_list({"a"})
    site.run(3_000)
    assert site.slots("b") == 4  # a still replies to b
    site.start("c")
    site.set_list({"a", "c"})
    site.cut_links = {frozenset("bc")}
    site.run(12_000)  # checks the limit at each step
    assert (site.slots("b"), site.slots("c")) == (0, 4)


def test_replacement_waits_for_a_lease_renewed_by_a_stale_list():
    site = Site()
    site.set_list({"b"})
    site.start("b")
    site.run(12_000)
    site.set_list({"z"})
    site.start("z")
    for pause_ms in (0, 1_000, 900):
        site.now_ms += pause_ms
        site.fetch_list("z")
    site.fetch_list("b", lag_ms=1_950)
    site.cut_from_list = {"b"}
    site.cut_links = {frozenset("bz")}
    site.run(1_500)
    assert site.slots("b") == SLOTS
    site.run(8_000)
    assert (site.slots("b"), site.slots("z")) == (0, SLOTS)


def test_reply_to_an_earlier_heartbeat_grants_nothing():
    site = two_instances()
    a, b = site.manager_by_name["a"], site.manager_by_name["b"]

    def apply_list(live, leaving):
        for manager in (a, b):
            manager.apply_instance_list(live, leaving, site.now_ms, site.now_ms)

    apply_list({"a"}, {"b"})
    old = a.heartbeat("b", LOAD, site.now_ms)
    reply = b.handle_heartbeat("a", old, {}, LOAD, site.now_ms)
    assert reply.granted_by_endpoint["m"].bit_count() == SLOTS
    apply_list({"a", "b"}, set())
    site.exchange("a", "b")
    site.exchange("b", "a")
    assert site.slots("b") == 4
    apply_list({"a"}, {"b"})
    a.heartbeat("b", LOAD, site.now_ms)
    a.handle_reply("b", reply, site.now_ms, site.now_ms)
    assert site.total_limit() == SLOTS


NAMES = st.sampled_from(["a", "b", "c"])
DURATIONS_MS = st.sampled_from([250, 1_000, 2_000, 4_000, 6_500, 9_000])


class ShareMachine(RuleBasedStateMachine):
    """Pauses, cut links, joins and crashes under a stale or wrong list.

    A restarted process gets a new name.
    """

    @initialize(seed=st.integers(0, 9))
    def begin(self, seed):
        self.site = Site(rng=random.Random(seed))
        self.name_by_alias = {}
        self.started = 0
        for alias in "ab":
            self.start(alias)
        self.site.run(9_000)

    def start(self, alias):
        self.started += 1
        name = self.name_by_alias[alias] = f"{alias}{self.started}"
        self.site.start(name)
        self.site.set_list(self.site.listed(self.site.now_ms) | {name})

    def drop(self, name):
        self.site.set_list(self.site.listed(self.site.now_ms) - {name})

    def links(self, name):
        others = self.site.manager_by_name.keys() - {name}
        return {frozenset((name, other)) for other in others}

    @rule(alias=NAMES, ending=st.sampled_from(["dies", "pauses", "is cut off"]))
    def replace(self, alias, ending):
        """Replace an instance that the platform regards as failed, rightly or not."""
        if alias in self.name_by_alias:
            name = self.name_by_alias[alias]
            self.drop(name)
            self.fail(alias, ending)
        self.start(alias)

    @rule(alias=NAMES, ending=st.sampled_from(["dies", "pauses", "is cut off"]))
    def fail(self, alias, ending):
        name = self.name_by_alias.get(alias)
        if name not in self.site.manager_by_name:
            return
        if ending == "dies":
            self.site.kill(name)
        elif ending == "pauses":
            self.site.paused.add(name)
        else:
            self.site.cut_from_list.add(name)
            self.site.cut_links |= self.links(name)

    @rule(alias=NAMES)
    def drop_or_list(self, alias):
        if alias in self.name_by_alias:
            names = self.site.listed(self.site.now_ms)
            self.site.set_list(names ^ {self.name_by_alias[alias]})

    @rule(one=NAMES, other=NAMES)
    def toggle_link(self, one, other):
        pair = frozenset(map(self.name_by_alias.get, (one, other)))
        if one != other and None not in pair:
            self.site.cut_links ^= {pair}

    @rule(alias=NAMES)
    def cut_from_list(self, alias):
        self.site.cut_from_list ^= {self.name_by_alias.get(alias)}

    @rule()
    def heal(self):
        self.site.cut_links.clear()
        self.site.cut_from_list.clear()
        self.site.paused.clear()

    @rule(alias=NAMES, tokens=st.integers(0, SLOTS))
    def use(self, alias, tokens):
        name = self.name_by_alias.get(alias)
        if name in self.site.manager_by_name and name not in self.site.paused:
            self.site.in_use_by_name[name] = min(tokens, self.site.slots(name))

    @rule(alias=NAMES)
    def drain(self, alias):
        name = self.name_by_alias.get(alias)
        if name in self.site.manager_by_name:
            self.site.manager_by_name[name].drain()

    @rule(duration_ms=DURATIONS_MS, max_delay_ms=st.sampled_from([0, 400, 2_500]))
    def advance(self, duration_ms, max_delay_ms):
        self.site.run(duration_ms, max_delay_ms=max_delay_ms)

    @rule(duration_ms=DURATIONS_MS)
    def advance_again(self, duration_ms):
        self.site.run(duration_ms)

    @invariant()
    def slots_are_not_exceeded(self):
        if hasattr(self, "site"):
            assert self.site.total_limit() <= SLOTS


TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = settings(max_examples=max(100, settings().max_examples))


def test_draining_without_a_share_keeps_the_limit_until_the_end():
    manager = ShareManager("a", "dc", 1, ShareSettings())
    manager.set_endpoints({"m1": (8, 64)})
    before = manager.limit("m1", 0)
    assert before > 0
    manager.drain()
    assert manager.limit("m1", 0) == before
    manager.end()
    assert manager.limit("m1", 0) == 0


def test_replaced_instance_resuming_while_another_is_unlisted_keeps_the_limit():
    # Steps found by ``ShareMachine``.
    state = ShareMachine()
    state.begin(seed=0)
    state.replace(alias="a", ending="pauses")
    state.heal()
    state.drop_or_list(alias="b")
    state.advance_again(duration_ms=6_500)
