"""Shares of slots: at no moment do instances use more than a minion has."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ragwortshelf.core.requests import LoadReport, ShareKeeper, ShareSettings

SLOTS = 8
CONNECTIONS = 64
SETTINGS = ShareSettings(isolated_slots=0)
LOAD = LoadReport()


class Site:
    """Instances of one data centre on a list that lags, with one minion."""

    def __init__(self, settings=SETTINGS, rng=None):
        self.settings = settings
        self.now_ms = 0
        self.rng = rng or random.Random(1)
        self.keeper_by_name = {}
        self.list_history = [(-10_000, frozenset())]
        self.cut_links = set()
        self.cut_from_list = set()
        self.paused = set()
        self.in_use_by_name = {}

    def listed(self, at_ms):
        return next(
            names for when, names in reversed(self.list_history) if when <= at_ms
        )

    def set_list(self, names):
        self.list_history.append((self.now_ms, frozenset(names)))

    def start(self, name, incarnation=1):
        keeper = ShareKeeper(name, "d", incarnation, self.settings)
        keeper.set_minions({"m": (SLOTS, CONNECTIONS)})
        self.keeper_by_name[name] = keeper
        self.in_use_by_name[name] = 0

    def kill(self, name):
        del self.keeper_by_name[name]
        self.paused.discard(name)

    def slots(self, name):
        return self.keeper_by_name[name].slots("m", self.now_ms)

    def exchange(self, asker, answerer, *, is_reply_lost=False, delay_ms=0):
        """One heartbeat and its reply, which arrives ``delay_ms`` later."""
        keeper = self.keeper_by_name[asker]
        asked_ms = self.now_ms
        heartbeat = keeper.heartbeat(answerer, LOAD, asked_ms)
        if not self.can_talk(asker, answerer):
            return
        reply = self.keeper_by_name[answerer].note_heartbeat(
            asker, heartbeat, {"m": self.in_use_by_name[answerer]}, LOAD, self.now_ms
        )
        self.now_ms += delay_ms
        if reply is not None and not is_reply_lost:
            keeper.note_reply(answerer, reply, asked_ms, self.now_ms)

    def can_talk(self, one, other):
        return (
            other in self.keeper_by_name
            and other not in self.paused
            and frozenset((one, other)) not in self.cut_links
        )

    def fetch_list(self, name, lag_ms=0):
        if name not in self.cut_from_list:
            names = self.listed(self.now_ms - lag_ms)
            keeper = self.keeper_by_name[name]
            keeper.note_list(set(names), set(), self.now_ms, self.now_ms)

    def run(self, duration_ms, step_ms=250):
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += step_ms
            for name in sorted(self.keeper_by_name.keys() - self.paused):
                self.fetch_list(name, self.rng.randint(0, 1_999))
                for peer in self.keeper_by_name[name].peers():
                    self.exchange(name, peer)

    def total(self):
        return sum(
            keeper.limit("m", self.now_ms) for keeper in self.keeper_by_name.values()
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
    assert site.keeper_by_name["a"].connections("m", site.now_ms) == 32


def test_share_of_a_dead_instance_returns_only_after_its_deadline():
    site = two_instances()
    site.kill("b")
    site.run(SETTINGS.lease_ms * 3)
    assert site.slots("a") == 4  # still listed: it may be alive and cut off
    site.set_list({"a"})
    site.run(SETTINGS.exclusion_ms - 500)
    assert site.slots("a") == 4
    site.run(4_000)
    assert site.slots("a") == 8


def test_join_waits_for_the_others_and_ends_even():
    site = two_instances()
    site.in_use_by_name = {"a": 4, "b": 0}
    site.set_list({"a", "b", "c"})
    site.start("c")
    site.in_use_by_name = {"a": 4, "b": 0, "c": 0}
    site.run(12_000)
    assert site.keeper_by_name["a"].slots("m", site.now_ms) < 4
    # What runs on a's tokens is not given away.
    assert site.keeper_by_name["a"].limit("m", site.now_ms) == 4
    assert site.total() == SLOTS
    site.in_use_by_name["a"] = 0
    site.run(2_000)
    assert sorted(site.slots(n) for n in "abc") == [2, 3, 3]


def test_paused_instance_uses_nothing_past_its_own_deadline():
    site = two_instances()
    site.paused.add("b")
    site.set_list({"a"})
    site.run(12_000)
    assert site.slots("a") == 8
    site.paused.clear()
    assert site.slots("b") == 0


def test_list_that_vanishes_leaves_shares_as_they_are():
    site = two_instances()
    site.cut_from_list = {"a", "b"}
    site.run(60_000)
    assert (site.slots("a"), site.slots("b")) == (4, 4)
    site.cut_from_list.clear()
    site.set_list(set())
    site.run(60_000)
    assert (site.slots("a"), site.slots("b")) == (4, 4)


def test_instance_cut_off_from_all_stops_at_its_deadline():
    site = two_instances()
    site.cut_from_list = {"b"}
    site.cut_links = {frozenset("ab")}
    site.run(SETTINGS.lease_ms - 500)
    assert site.slots("b") == 4
    site.run(1_000)
    assert site.slots("b") == 0


def test_lone_survivor_goes_on_with_what_the_minion_guards():
    site = Site(ShareSettings(isolated_slots=1))
    site.set_list({"a", "b"})
    site.start("a")
    site.start("b")
    site.run(12_000)
    site.kill("a")
    site.cut_from_list = {"b"}
    site.run(SETTINGS.lease_ms + SETTINGS.exclusion_ms + 500)
    assert site.slots("b") == 1


def test_draining_instance_yields_everything_at_once():
    site = two_instances()
    site.keeper_by_name["b"].drain()
    site.run(1_000)
    assert (site.slots("a"), site.slots("b")) == (8, 0)


def test_late_reply_grants_nothing_that_was_given_up():
    site = two_instances()
    a, b = site.keeper_by_name["a"], site.keeper_by_name["b"]
    b.drain()
    old = a.heartbeat("b", LOAD, site.now_ms)
    reply = b.note_heartbeat("a", old, {}, LOAD, site.now_ms)
    a.heartbeat("b", LOAD, site.now_ms)
    a.note_reply("b", reply, site.now_ms, site.now_ms)
    assert site.slots("a") == 4
    assert b.note_heartbeat("a", old, {}, LOAD, site.now_ms) is None


NAMES = st.sampled_from(["a", "b", "c", "d"])


class ShareMachine(RuleBasedStateMachine):
    """Pauses, cuts, joins and deaths under a list that lags or is wrong.

    Names are not used again after a death: a new process gets a new name.
    """

    @initialize()
    def begin(self):
        self.site = Site(rng=random.Random(7))
        self.generation = 0
        self.alias = {}
        for alias in ("a", "b"):
            self._start(alias)
        self.site.set_list(self.site.keeper_by_name)
        self.site.run(12_000, 500)
        assert self.site.total() == SLOTS

    def _start(self, alias):
        self.generation += 1
        name = f"{alias}{self.generation}"
        self.alias[alias] = name
        self.site.start(name)

    def _alive(self, alias):
        name = self.alias.get(alias)
        return name if name in self.site.keeper_by_name else None

    @rule(alias=NAMES)
    def join(self, alias):
        if self._alive(alias) is None:
            self._start(alias)
            self.site.set_list(self.site.listed(self.site.now_ms) | {self.alias[alias]})

    @rule(alias=NAMES)
    def die(self, alias):
        if self._alive(alias):
            self.site.kill(self.alias[alias])

    @rule(alias=NAMES)
    def toggle_pause(self, alias):
        if self._alive(alias):
            self.site.paused ^= {self.alias[alias]}

    @rule(alias=NAMES)
    def toggle_listed(self, alias):
        if alias in self.alias:
            self.site.set_list(self.site.listed(self.site.now_ms) ^ {self.alias[alias]})

    @rule(alias=NAMES)
    def toggle_list_link(self, alias):
        if alias in self.alias:
            self.site.cut_from_list ^= {self.alias[alias]}

    @rule(one=NAMES, other=NAMES)
    def toggle_link(self, one, other):
        if one != other and one in self.alias and other in self.alias:
            self.site.cut_links ^= {frozenset((self.alias[one], self.alias[other]))}

    @rule(alias=NAMES, share=st.integers(0, SLOTS))
    def use(self, alias, share):
        if self._alive(alias) and self.alias[alias] not in self.site.paused:
            name = self.alias[alias]
            self.site.in_use_by_name[name] = min(share, self.site.slots(name))

    @rule(alias=NAMES)
    def drain(self, alias):
        if self._alive(alias):
            self.site.keeper_by_name[self.alias[alias]].drain()

    @rule(alias=NAMES, other=NAMES, delay_ms=st.integers(0, 3_000))
    def slow_exchange(self, alias, other, delay_ms):
        one, two = self._alive(alias), self._alive(other)
        if one and two and one != two and one not in self.site.paused:
            self.site.exchange(
                one, two, is_reply_lost=delay_ms > 2_500, delay_ms=delay_ms
            )

    @rule(duration_ms=st.sampled_from([250, 1_000, 3_000, 5_000, 8_000, 15_000]))
    def advance(self, duration_ms):
        until_ms = self.site.now_ms + duration_ms
        while self.site.now_ms < until_ms:
            self.site.run(500, 500)
            self.within_the_limit()

    @invariant()
    def within_the_limit(self):
        if hasattr(self, "site"):
            assert self.site.total() <= SLOTS


TestShareMachine = ShareMachine.TestCase
