"""Connections between instances over loopback sockets."""

from __future__ import annotations

import dataclasses
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
import trio.testing

from ragwortshelf.core.membership import Heartbeat
from ragwortshelf.core.model import InstanceInfo, Unreachable
from ragwortshelf.net.peer_observer import LinkObserver
from ragwortshelf.net.peers import PeerNetwork

SECRET = b"between the instances"


@dataclass(frozen=True, slots=True)
class Question:
    text: str


@dataclass(frozen=True, slots=True)
class Reply:
    text: str


class Recorder(LinkObserver):
    """Records the events of a network, and gives the routes that the test sets."""

    def __init__(self):
        self.opened = []
        self.closed = []
        self.failed = []
        self.heartbeats = []
        self.newer_incarnations = []
        self.next_hop_by_name = {}
        self._changed = trio.Event()

    def _record(self, events, event):
        events.append(event)
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for(self, condition):
        with trio.fail_after(10):
            while not condition():
                await self._changed.wait()

    def link_opened(self, peer, connection_id):
        self._record(self.opened, (peer, connection_id))

    def link_closed(self, peer, connection_id):
        self._record(self.closed, (peer, connection_id))

    def link_failed(self, peer, is_refused):
        self._record(self.failed, (peer, is_refused))

    def newer_incarnation_found(self, incarnation):
        self._record(self.newer_incarnations, incarnation)

    def incarnation_of(self, name):
        return 0

    def heartbeat_received(self, connection_id, heartbeat):
        self._record(self.heartbeats, heartbeat)

    def route_to(self, name):
        return self.next_hop_by_name.get(name)


@dataclass
class Instance:
    info: InstanceInfo
    network: PeerNetwork
    recorder: Recorder
    scope: trio.CancelScope


def deadline_in_ms(wait_ms=10_000):
    return int(trio.current_time() * 1000) + wait_ms


@asynccontextmanager
async def running(*names, **options_by_name):
    """Run a network for each name, with the keyword arguments given under that name."""
    async with trio.open_nursery() as nursery:
        instances = []
        for name in names:
            info = InstanceInfo(name, "dc1", "127.0.0.1:0", "127.0.0.1:0")
            options = {"secret": SECRET, "incarnation": 1}
            options.update(options_by_name.get(name, {}))
            network = PeerNetwork(info, **options)
            network.register(Reply)
            recorder = Recorder()
            network.observe(recorder)
            scope = trio.CancelScope()

            async def serve(network=network, scope=scope, task_status=None):
                with scope:
                    await network.run(task_status=task_status)

            address = await nursery.start(serve)
            info = dataclasses.replace(info, peer_address=address)
            instances.append(Instance(info, network, recorder, scope))
        yield instances
        nursery.cancel_scope.cancel()


async def link(one, other):
    """Open a connection from ``one`` to ``other`` and wait until both report it."""
    count = len(one.recorder.opened)
    one.network.open_link(other.info)
    await one.recorder.wait_for(lambda: len(one.recorder.opened) > count)
    await other.recorder.wait_for(
        lambda: one.recorder.opened[-1][1] in [c for _, c in other.recorder.opened]
    )


async def test_calls_go_both_ways_and_heartbeats_arrive():
    async with running("a", "b") as (a, b):
        await link(a, b)

        async def answer(sender, message):
            return Reply(f"{sender} said {message.text}")

        a.network.handle(Question, answer)
        b.network.handle(Question, answer)
        there = await a.network.call("b", Question("x"), deadline_ms=deadline_in_ms())
        back = await b.network.call("a", Question("y"), deadline_ms=deadline_in_ms())
        assert (there, back) == (Reply("a said x"), Reply("b said y"))
        heartbeat = Heartbeat("a", 1, ())
        a.network.send_heartbeat(a.recorder.opened[0][1], heartbeat)
        await b.recorder.wait_for(lambda: b.recorder.heartbeats == [heartbeat])


async def test_wrong_secret_and_wrong_name_are_refused():
    async with running("a", "b", a={"secret": b"another"}) as (a, b):
        a.network.open_link(b.info)
        await a.recorder.wait_for(lambda: a.recorder.failed == [("b", False)])
        b.network.open_link(a.info)
        await b.recorder.wait_for(lambda: b.recorder.failed == [("a", False)])
        assert a.recorder.opened == b.recorder.opened == []
    async with running("a", "b") as (a, b):
        a.network.open_link(dataclasses.replace(b.info, name="c"))
        await a.recorder.wait_for(lambda: a.recorder.failed == [("c", False)])
        assert a.recorder.opened == []


async def test_older_incarnation_is_refused():
    newer = {"incarnation": 2}
    async with running("a", "b", a=newer) as (a, b):
        await link(a, b)
        old = PeerNetwork(a.info, 1, SECRET)
        recorder = Recorder()
        old.observe(recorder)
        async with trio.open_nursery() as nursery:
            old._nursery = nursery
            old.open_link(b.info)
            await recorder.wait_for(lambda: recorder.failed == [("b", False)])
        assert recorder.newer_incarnations == [2]
        assert recorder.opened == []
        assert len(b.recorder.opened) == 1


async def test_oversized_frame_closes_the_link():
    async with running("a", "b", b={"max_frame_bytes": 2_000}) as (a, b):
        await link(a, b)
        result = await a.network.call(
            "b", Question("x" * 5_000), deadline_ms=deadline_in_ms()
        )
        assert result == Unreachable("no answer", may_have_applied=True)
        await b.recorder.wait_for(lambda: b.recorder.closed != [])
        too_large = await b.network.call(
            "a", Question("x" * 5_000), deadline_ms=deadline_in_ms()
        )
        assert too_large == Unreachable("message too large", may_have_applied=False)


async def test_losing_the_peer_fails_a_pending_call_at_once():
    async with running("a", "b") as (a, b):
        await link(a, b)

        async def die(sender, message):
            b.scope.cancel()
            await trio.sleep_forever()

        b.network.handle(Question, die)
        result = await a.network.call(
            "b", Question("x"), deadline_ms=deadline_in_ms(60_000)
        )
        assert result == Unreachable("no answer", may_have_applied=True)
        assert trio.current_time() * 1000 < deadline_in_ms(50_000)
        unconnected = await a.network.call(
            "b", Question("x"), deadline_ms=deadline_in_ms()
        )
        assert unconnected == Unreachable(
            "no connection takes it", may_have_applied=False
        )


async def test_unanswered_pings_close_the_link():
    fast_pings = {"ping_interval_s": 0.02, "ping_timeout_s": 0.05}
    async with running("a", "b", a=fast_pings) as (a, b):
        b_port = int(b.info.peer_address.rpartition(":")[2])

        async def forward(stream):
            """Forward bytes both ways while ``is_silent`` is False."""
            onward = await trio.open_tcp_stream("127.0.0.1", b_port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(copy, stream, onward)
                nursery.start_soon(copy, onward, stream)

        is_silent = False

        async def copy(source, sink):
            try:
                async for data in source:
                    if not is_silent:
                        await sink.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, forward, 0)
            port = listeners[0].socket.getsockname()[1]
            proxied = dataclasses.replace(b.info, peer_address=f"127.0.0.1:{port}")
            a.network.open_link(proxied)
            await a.recorder.wait_for(lambda: a.recorder.opened != [])
            is_silent = True
            await a.recorder.wait_for(lambda: a.recorder.closed != [])
            nursery.cancel_scope.cancel()
        await link(a, b)


async def test_call_is_forwarded_and_its_loss_is_reported_to_the_caller():
    async with running("a", "b", "c") as (a, b, c):
        await link(a, b)
        await link(b, c)
        a.recorder.next_hop_by_name["c"] = "b"

        async def answer(sender, message):
            if message.text == "die":
                c.scope.cancel()
                await trio.sleep_forever()
            return Reply(sender)

        c.network.handle(Question, answer)
        answered = await a.network.call(
            "c", Question("x"), deadline_ms=deadline_in_ms()
        )
        assert answered == Reply("a")
        lost = await a.network.call("c", Question("die"), deadline_ms=deadline_in_ms())
        assert lost == Unreachable("lost on the way", may_have_applied=True)
        refused = await a.network.call("c", Question("x"), deadline_ms=deadline_in_ms())
        assert refused == Unreachable("no way onward", may_have_applied=False)


async def test_call_without_handler_or_past_its_deadline_certainly_did_not_run():
    async with running("a", "b") as (a, b):
        await link(a, b)
        unknown = await a.network.call("b", Question("x"), deadline_ms=deadline_in_ms())
        assert unknown == Unreachable(
            "no handler for the message", may_have_applied=False
        )
        late = await a.network.call("b", Question("x"), deadline_ms=deadline_in_ms(-1))
        assert late == Unreachable("deadline passed", may_have_applied=False)


async def test_full_queue_refuses_messages_and_heartbeats_close_the_link():
    async with running("a", "b", a={"queue_frames": 1}) as (a, b):
        await link(a, b)
        assert a.network.notify("b", Question("x"))
        assert not a.network.notify("b", Question("x"))
        a.network.send_heartbeat(a.recorder.opened[0][1], Heartbeat("a", 1, ()))
        await a.recorder.wait_for(lambda: a.recorder.closed != [])


async def test_links_use_compression_with_a_small_window():
    async with running("a", "b") as (a, b):
        await link(a, b)
        (extension,) = a.network.links[0].websocket.protocol.extensions
        assert extension.local_max_window_bits == 12
        assert not extension.local_no_context_takeover


async def test_connection_refused_by_the_host_is_reported_as_refused():
    async with running("a", "b") as (a, b):
        await link(a, b)
        b.scope.cancel()
        await a.recorder.wait_for(lambda: a.recorder.closed != [])
        a.network.open_link(b.info)
        await a.recorder.wait_for(lambda: a.recorder.failed == [("b", True)])
