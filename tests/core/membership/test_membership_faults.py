"""Membership under faults of the network, the list and instances, in virtual time."""

from __future__ import annotations

import dataclasses
import random

import pytest

from benchmarks.control_network import VirtualNetwork, instances
from ragwortshelf.core.membership import (
    Beat,
    CloseLink,
    DrainStarted,
    HeartbeatReceived,
    LinkOpened,
    MembershipMachine,
    MemberStatus,
    OpenLink,
    Published,
    SendHeartbeat,
    Tick,
)
from ragwortshelf.core.membership.timing import (
    DEAD_AFTER_MS,
    JOIN_DELAY_MS,
    REFUSED_DEAD_AFTER_MS,
    RELAY_ALLOWANCE_MS,
)
from ragwortshelf.core.model import MemberState

SETTLE_MS = 10_000
# Time to detect a cut link as silent, reopen it after the longest backoff and relay
# its first heartbeat once.
HEAL_MS = 8_000
REMOTE_DEAD_MS = DEAD_AFTER_MS + RELAY_ALLOWANCE_MS + 2_000


def running(data_centres=3, per_data_centre=2, seed=1):
    network = VirtualNetwork(seed)
    network.start_all(instances(data_centres, per_data_centre))
    network.run(SETTLE_MS)
    return network


def statuses(network, name):
    members = network.node_by_name[name].machine.view.members_by_name
    return {member: entry.status for member, entry in members.items()}


def all_alive(network):
    return all(
        set(statuses(network, name).values()) == {MemberStatus.ALIVE}
        and len(statuses(network, name)) == len(network.node_by_name)
        for name in network.node_by_name
    )


@pytest.mark.parametrize(("data_centres", "size"), [(1, 1), (1, 3), (3, 2), (6, 4)])
def test_all_instances_find_each_other_and_one_placer_per_data_centre(
    data_centres, size
):
    network = running(data_centres, size)
    assert all_alive(network)
    for number in range(1, data_centres + 1):
        assert len(network.placers(f"dc{number}")) == 1
    between = {
        tuple(sorted((one.info.data_centre, other.info.data_centre)))
        for connection in network._connection_by_id.values()
        for one, other in [connection.ends]
    }
    expected_pairs = data_centres * (data_centres - 1) // 2
    within = size * (size - 1) // 2 * data_centres
    assert len([pair for pair in between if pair[0] != pair[1]]) == expected_pairs
    assert len(network._connection_by_id) == expected_pairs + within


@pytest.mark.parametrize("listed", [(), None], ids=["empty", "unreachable"])
def test_empty_or_unreachable_list_changes_nothing(listed):
    network = running()
    before = {dc: network.placers(dc) for dc in ("dc1", "dc2", "dc3")}
    network.listed = listed
    network.run(60_000)
    assert all_alive(network)
    assert {dc: network.placers(dc) for dc in before} == before


def test_instance_missing_from_a_stale_list_is_found_once_it_connects():
    network = running()
    newcomer = instances(1, 3)[2]
    listed = network.listed
    network.start(newcomer)
    assert network.listed == listed
    assert network.run_until(lambda: all_alive(network), 15_000) is not None


def test_dead_instance_still_on_the_list_loses_its_role_after_the_timeout():
    network = running()
    (placer,) = network.placers("dc1")
    (other,) = {"dc1-1", "dc1-2"} - {placer}
    network.stop(network.node_by_name[placer], is_host_lost=True)
    network.run(DEAD_AFTER_MS - 1_000)
    assert statuses(network, other)[placer] is MemberStatus.SUSPECTED
    assert network.placers("dc1") == ()
    network.run(3_000)
    assert statuses(network, other)[placer] is MemberStatus.DEAD
    assert network.placers("dc1") == (other,)


def test_process_whose_host_refuses_connections_loses_its_role_early():
    network = running()
    (placer,) = network.placers("dc1")
    (other,) = {"dc1-1", "dc1-2"} - {placer}
    network.stop(network.node_by_name[placer])
    network.run(REFUSED_DEAD_AFTER_MS + 1_000)
    assert network.placers("dc1") == (other,)
    network.start(network.node_by_name[placer].info, incarnation=2)
    network.run(SETTLE_MS)
    assert all_alive(network)


def test_restart_is_a_new_incarnation_and_supersedes_the_old_one():
    network = running()
    old = network.node_by_name["dc1-1"]
    network.feed(old, Published("load", b"old"))
    network.run(3_000)
    network.pause(old)
    new = network.start(old.info, incarnation=2)
    network.feed(new, Published("load", b"new"))
    network.run(SETTLE_MS)
    network.resume(old)
    network.run(SETTLE_MS)
    assert old.machine.is_superseded and not new.machine.is_superseded
    assert not old.machine.may_act_in_role(network.now_ms)
    for name in ("dc1-2", "dc2-1"):
        machine = network.node_by_name[name].machine
        assert machine.view.members_by_name["dc1-1"].incarnation == 2
        assert machine.values("load") == {"dc1-1": b"new"}


def test_restart_removes_values_shared_by_the_old_incarnation():
    network = running(2, 1)
    network.feed(network.node_by_name["dc1-1"], Published("load", b"old"))
    network.run(3_000)
    network.stop(network.node_by_name["dc1-1"])
    network.start(instances(1, 1)[0], incarnation=2)
    network.run(SETTLE_MS)
    assert network.node_by_name["dc2-1"].machine.values("load") == {}


def test_another_instance_connects_to_a_data_centre_that_the_first_cannot_reach():
    network = running(2, 2)
    ((first, _),) = [
        (one.info.name, other.info.name)
        for one, other in (c.ends for c in network._connection_by_id.values())
        if one.info.data_centre != other.info.data_centre
    ]
    network.is_cut = lambda a, b: (
        a.info.data_centre != b.info.data_centre and first in (a.info.name, b.info.name)
    )
    network.run(2 * HEAL_MS)
    assert all_alive(network)
    (other,) = {"dc1-1", "dc1-2"} - {first}
    assert network.node_by_name[first].machine.route_to("dc2-1") == other


def test_one_way_partition_with_a_third_connected_instance_keeps_one_placer():
    network = running(1, 3)
    (placer,) = network.placers("dc1")
    unreached = next(name for name in network.node_by_name if name != placer)
    network.is_cut = lambda a, b: (a.info.name, b.info.name) == (placer, unreached)
    for _ in range(30):
        network.run(1_000)
        assert network.placers("dc1") == (placer,)
        assert statuses(network, unreached)[placer] is not MemberStatus.DEAD
    route = network.node_by_name[unreached].machine.route_to(placer)
    assert route not in (placer, None)


def test_one_way_partition_of_two_moves_the_role_and_back():
    network = running(1, 2)
    (placer,) = network.placers("dc1")
    (other,) = set(network.node_by_name) - {placer}
    network.is_cut = lambda a, b: a.info.name == placer
    for _ in range((DEAD_AFTER_MS + 2_000) // 100):
        network.run(100)
        # Without acknowledgements the placer gives up its role before the other
        # instance takes it.
        assert len(network.placers("dc1")) <= 1
    assert network.placers("dc1") == (other,)
    network.is_cut = lambda a, b: False
    network.run(HEAL_MS)
    assert network.placers("dc1") == (placer,)


def test_paused_instance_takes_no_role_before_the_join_delay():
    network = running(1, 2)
    (placer,) = network.placers("dc1")
    (other,) = set(network.node_by_name) - {placer}
    node = network.node_by_name[placer]
    network.pause(node)
    network.run(20_000)
    assert network.placers("dc1") == (other,)
    node.is_paused = False
    assert not node.machine.may_act_in_role(network.now_ms)
    network.resume(node)
    for _ in range(JOIN_DELAY_MS // 100 - 1):
        network.run(100)
        assert network.placers("dc1") == (other,)
        assert statuses(network, placer)[other] is not MemberStatus.DEAD
    network.run(SETTLE_MS)
    assert network.placers("dc1") == (placer,)


def test_silent_link_is_replaced_before_its_peer_is_declared_dead():
    network = running(2, 1)
    network.silence("dc1-1", "dc2-1")
    for _ in range(100):
        network.run(100)
        assert statuses(network, "dc1-1")["dc2-1"] is not MemberStatus.DEAD
    assert all_alive(network)


def test_isolated_data_centre_keeps_its_placer_and_recovers():
    network = running(3, 2)
    before = network.placers("dc1")
    network.is_cut = lambda a, b: (
        (a.info.data_centre == "dc1") != (b.info.data_centre == "dc1")
    )
    network.run(REMOTE_DEAD_MS)
    assert network.placers("dc1") == before
    assert statuses(network, "dc1-1")["dc2-1"] is MemberStatus.DEAD
    assert statuses(network, "dc2-1")["dc3-1"] is MemberStatus.ALIVE
    network.is_cut = lambda a, b: False
    assert network.run_until(lambda: all_alive(network), HEAL_MS) is not None
    assert network.placers("dc1") == before


def test_two_placers_of_a_partition_become_one_after_it_heals():
    network = running(1, 4)
    half = {"dc1-1", "dc1-2"}
    network.is_cut = lambda a, b: (a.info.name in half) != (b.info.name in half)
    network.run(20_000)
    assert len(network.placers("dc1")) == 2
    network.is_cut = lambda a, b: False
    healed = network.run_until(lambda: len(network.placers("dc1")) == 1, HEAL_MS)
    assert healed is not None
    network.run(SETTLE_MS)
    assert len(network.placers("dc1")) == 1


def test_draining_instance_stops_being_placer():
    network = running(1, 3)
    (placer,) = network.placers("dc1")
    network.feed(network.node_by_name[placer], DrainStarted())
    network.run(100)
    assert len(network.placers("dc1")) == 1
    assert network.placers("dc1") != (placer,)


def test_instance_listed_as_leaving_counts_as_draining():
    network = running(1, 3)
    (placer,) = network.placers("dc1")
    network.listed = tuple(
        dataclasses.replace(info, state=MemberState.LEAVING)
        if info.name == placer
        else info
        for info in network.listed
    )
    network.run(4_000)
    views = [node.machine.view for node in network.node_by_name.values()]
    assert all(view.placer_of("dc1") != placer for view in views)


def test_shared_state_reaches_other_data_centres_and_survives_lost_links():
    network = running(2, 3)
    for name, node in network.node_by_name.items():
        network.feed(node, Published("load", name.encode()))
    network.run(4_000)
    expected = {name: name.encode() for name in network.node_by_name}
    for node in network.node_by_name.values():
        assert node.machine.values("load") == expected
    for one in network.node_by_name:
        for other in network.node_by_name:
            network.silence(one, other)
    network.feed(network.node_by_name["dc1-1"], Published("load", b"newer"))
    network.run(HEAL_MS)
    for node in network.node_by_name.values():
        assert node.machine.values("load")["dc1-1"] == b"newer"


def _heartbeats(actions):
    return [a.heartbeat for a in actions if isinstance(a, SendHeartbeat)]


def test_state_is_sent_once_per_connection_and_in_full_over_the_next():
    own, peer = instances(1, 2)
    machine = MembershipMachine(own, 1, random.Random(1))
    machine.handle(Tick(), 0)
    machine.handle(Published("load", b"1"), 0)
    (first,) = _heartbeats(machine.handle(LinkOpened(peer.name, "c1"), 10))
    (second,) = _heartbeats(machine.handle(Tick(), 1_000))
    (renewed,) = _heartbeats(machine.handle(LinkOpened(peer.name, "c2"), 1_500))
    assert [entry.value for entry in first.entries] == [b"1"]
    assert (second.profiles, second.entries) == ((), ())
    assert renewed.entries == first.entries
    assert [profile.instance for profile in renewed.profiles] == [own]


def test_heartbeat_of_a_replaced_connection_is_ignored():
    own, peer = instances(1, 2)
    machine = MembershipMachine(own, 1, random.Random(1))
    machine.handle(Tick(), 0)
    other = MembershipMachine(peer, 1, random.Random(2))
    other.handle(Tick(), 0)
    (heartbeat,) = _heartbeats(other.handle(LinkOpened(own.name, "c1"), 10))
    machine.handle(LinkOpened(peer.name, "c1"), 10)
    machine.handle(LinkOpened(peer.name, "c2"), 20)
    machine.handle(HeartbeatReceived("c1", heartbeat), 30)
    assert peer.name not in machine.view.members_by_name
    machine.handle(HeartbeatReceived("c2", heartbeat), 30)
    assert machine.view.members_by_name[peer.name].status is MemberStatus.ALIVE


def test_connecting_to_a_lost_peer_is_retried_with_backoff():
    network = running(1, 2)
    node = network.node_by_name["dc1-1"]
    network.stop(network.node_by_name["dc1-2"])
    attempts = []
    carry_out = network._carry_out

    def record_attempts(sender, action):
        if sender is node and isinstance(action, OpenLink):
            attempts.append(network.now_ms)
        carry_out(sender, action)

    network._carry_out = record_attempts
    network.run(60_000)
    assert 20 <= len(attempts) <= 60


def linked_pair():
    """Return a machine connected to a peer as ``c1``, and the peer's heartbeat."""
    own, peer = instances(1, 2)
    machine = MembershipMachine(own, 1, random.Random(1))
    machine.handle(Tick(), 0)
    other = MembershipMachine(peer, 5, random.Random(2))
    other.handle(Tick(), 0)
    (heartbeat,) = _heartbeats(other.handle(LinkOpened(own.name, "c1"), 10))
    machine.handle(LinkOpened(peer.name, "c1"), 10)
    return machine, heartbeat


def test_heartbeat_of_an_older_incarnation_closes_its_connection():
    machine, heartbeat = linked_pair()
    assert machine.handle(HeartbeatReceived("c1", heartbeat), 20)
    older = dataclasses.replace(heartbeat, incarnation=4, beats=(), profiles=())
    actions = machine.handle(HeartbeatReceived("c1", older), 30)
    assert CloseLink(heartbeat.sender, "c1") in actions


def test_connection_that_relies_on_forgotten_state_is_closed():
    machine, heartbeat = linked_pair()
    bare = dataclasses.replace(heartbeat, profiles=())
    actions = machine.handle(HeartbeatReceived("c1", bare), 20)
    assert CloseLink(heartbeat.sender, "c1") in actions


def test_newer_incarnation_of_the_same_name_supersedes_the_older_one():
    machine, heartbeat = linked_pair()
    newer = Beat("dc1-1", 2, 1)
    heartbeat = dataclasses.replace(heartbeat, beats=(*heartbeat.beats, newer))
    machine.handle(HeartbeatReceived("c1", heartbeat), 20)
    assert machine.is_superseded


def test_pause_restarts_the_timeouts_of_the_others():
    machine, heartbeat = linked_pair()
    machine.handle(HeartbeatReceived("c1", heartbeat), 20)
    actions = machine.handle(Tick(), 30_000)
    assert not any(isinstance(action, CloseLink) for action in actions)
    assert machine.view.members_by_name["dc1-2"].status is MemberStatus.ALIVE
    machine.handle(Tick(), 30_000 + DEAD_AFTER_MS // 2)
    machine.handle(Tick(), 30_000 + DEAD_AFTER_MS)
    assert machine.view.members_by_name["dc1-2"].status is MemberStatus.DEAD


def test_no_state_is_kept_for_closed_connections():
    machine, heartbeat = linked_pair()
    for number in range(2, 10):
        machine.handle(LinkOpened(heartbeat.sender, f"c{number}"), 20)
    assert set(machine._shared._sent_by_connection) == {"c9"}


def test_superseded_instances_do_not_disturb_links_of_newer_incarnations():
    network = running(2, 2)
    old = [network.node_by_name[name] for name in ("dc1-1", "dc2-1")]
    for node in old:
        network.start(node.info, incarnation=2)
    network.run(SETTLE_MS)
    assert all(node.machine.is_superseded for node in old)
    assert all_alive(network)
    links = set(network._connection_by_id)
    network.run(SETTLE_MS)
    assert set(network._connection_by_id) == links
