"""Random faults: incarnations in a view never decrease, and the cluster recovers."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from benchmarks.control_network import VirtualNetwork, instances
from ragwortshelf.core.membership import DrainStarted, MemberStatus, Published

INFOS = instances(2, 3)
NAMES = [info.name for info in INFOS]
names = st.sampled_from(NAMES)
# Covers the detection of silent connections, the longest backoff, suspicion with the
# relay allowance, and the join delay of the instances paused or restarted last.
RECOVERY_MS = 30_000


class Faults(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.network = VirtualNetwork(seed=1, is_compressed=False)
        self.network.start_all(INFOS)
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.draining = set()
        self.published = {}
        self.seen_incarnation_by_key = {}
        self.network.run(5_000)

    def node(self, name):
        return self.network.node_by_name[name]

    @rule(duration_ms=st.sampled_from([300, 1_000, 4_000, 12_000]))
    def let_time_pass(self, duration_ms):
        self.network.run(duration_ms)

    @rule(name=names)
    def restart(self, name):
        self.network.stop(self.node(name))
        self.incarnations[name] += 1
        self.network.start(self.node(name).info, self.incarnations[name])
        self.draining.discard(name)
        self.published.pop(name, None)

    @rule(name=names)
    def restart_while_the_old_one_is_paused(self, name):
        old = self.node(name)
        self.network.pause(old)
        self.incarnations[name] += 1
        self.network.start(old.info, self.incarnations[name])
        self.network.after(6_000, lambda: self.network.resume(old))
        self.draining.discard(name)
        self.published.pop(name, None)

    @rule(name=names, duration_ms=st.sampled_from([1_500, 4_000, 9_000]))
    def pause(self, name, duration_ms):
        node = self.node(name)
        self.network.pause(node)
        self.network.after(duration_ms, lambda: self.network.resume(node))

    @rule(one=names, other=names)
    def silence(self, one, other):
        self.network.silence(one, other)

    @rule(cut=st.sets(st.tuples(names, names), max_size=8))
    def cut_one_way(self, cut):
        self.network.is_cut = lambda a, b: (a.info.name, b.info.name) in cut

    @rule()
    def cut_data_centres(self):
        self.network.is_cut = lambda a, b: a.info.data_centre != b.info.data_centre

    @rule()
    def heal(self):
        self.network.is_cut = lambda a, b: False

    @rule(listed=st.one_of(st.none(), st.sets(names)))
    def change_list(self, listed):
        self.network.listed = (
            None
            if listed is None
            else tuple(info for info in INFOS if info.name in listed)
        )

    @rule(name=names, value=st.integers(0, 255))
    def publish(self, name, value):
        data = bytes([value])
        if not self.node(name).is_paused:
            self.network.feed(self.node(name), Published("load", data))
            self.published[name] = data

    @precondition(lambda self: len(self.draining) < 2)
    @rule(name=names)
    def drain(self, name):
        if not self.node(name).is_paused:
            self.network.feed(self.node(name), DrainStarted())
            self.draining.add(name)

    @invariant()
    def no_member_goes_back_to_an_older_incarnation(self):
        for node in self.network.node_by_name.values():
            for name, member in node.machine.view.members_by_name.items():
                key = (node.info.name, node.incarnation, name)
                assert member.incarnation >= self.seen_incarnation_by_key.get(key, 0)
                assert member.incarnation <= self.incarnations[name]
                self.seen_incarnation_by_key[key] = member.incarnation

    @invariant()
    def no_draining_instance_claims_a_role(self):
        for name in self.draining:
            assert not self.node(name).machine.is_placer()

    def teardown(self):
        network = self.network
        network.is_cut = lambda a, b: False
        network.listed = INFOS
        network.run(RECOVERY_MS)
        for data_centre in ("dc1", "dc2"):
            candidates = {
                info.name for info in INFOS if info.data_centre == data_centre
            } - self.draining
            assert len(network.placers(data_centre)) == bool(candidates)
        for name in NAMES:
            machine = self.node(name).machine
            members = machine.view.members_by_name
            assert {m.status for m in members.values()} == {MemberStatus.ALIVE}
            assert {n: m.incarnation for n, m in members.items()} == self.incarnations
            assert machine.values("load") == self.published
            open_ids = {link.connection_id for link in machine._links.links}
            assert set(machine._shared._sent_by_connection) == open_ids


Faults.TestCase.settings = settings(stateful_step_count=20, max_examples=20)
TestFaults = Faults.TestCase
