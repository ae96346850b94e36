"""Heartbeats between instances, which assign shares of slots and report load."""

from __future__ import annotations

import random
from typing import Protocol

import trio

from ..core.model import InstanceInfo
from ..core.requests import LoadReport, ShareHeartbeat, ShareManager, ShareReply
from ..net.interfaces import Peers
from .clock import monotonic_ms

__all__ = ["HEARTBEAT_MS", "Heartbeats"]

HEARTBEAT_MS = 500
REPLY_TIMEOUT_MS = 1_000
REMOTE_REPORTS_PER_ROUND = 1


class _Service(Protocol):
    """The part of the request service that heartbeats use."""

    def load_report(self) -> LoadReport: ...

    def apply_peer_load(self, peer: str, load: LoadReport) -> None: ...

    def tokens_in_use_by_endpoint(self) -> dict[str, int]: ...


class Heartbeats:
    """Exchanges shares within the data centre, and load reports with remote peers."""

    def __init__(
        self, service: _Service, shares: ShareManager, peers: Peers, rng: random.Random
    ):
        self._service = service
        self._shares = shares
        self._peers = peers
        self._rng = rng
        self._instance_names: tuple[str, ...] = ()
        self._lock_by_peer: dict[str, trio.Lock] = {}
        peers.handle(ShareHeartbeat, self._on_heartbeat)
        peers.handle(LoadReport, self._on_load)

    def set_instances(self, instances: tuple[InstanceInfo, ...]) -> None:
        """Apply the names of all listed instances; an empty list changes nothing."""
        if instances:
            self._instance_names = tuple(info.name for info in instances)

    async def run(self) -> None:
        """Send heartbeats until cancelled; a slow peer does not delay the others."""
        async with trio.open_nursery() as nursery:
            while True:
                for name in self._shares.peers():
                    nursery.start_soon(self._send_unless_pending, name)
                for name in self._remote_sample():
                    nursery.start_soon(self._send_load_report, name)
                await trio.sleep(HEARTBEAT_MS / 1000)

    async def send_to_all(self) -> None:
        """Send one heartbeat to each other instance of the data centre."""
        async with trio.open_nursery() as nursery:
            for name in self._shares.peers():
                nursery.start_soon(self._send_heartbeat, name)

    def _remote_sample(self) -> list[str]:
        here = self._shares.members()
        remote = [name for name in self._instance_names if name not in here]
        count = min(REMOTE_REPORTS_PER_ROUND, len(remote))
        return self._rng.sample(remote, count)

    def _peer_lock(self, name: str) -> trio.Lock:
        return self._lock_by_peer.setdefault(name, trio.Lock())

    async def _send_unless_pending(self, name: str) -> None:
        """Send a heartbeat unless the previous one is still unanswered."""
        if not self._peer_lock(name).locked():
            await self._send_heartbeat(name)

    async def _send_heartbeat(self, name: str) -> None:
        async with self._peer_lock(name):
            sent_ms = monotonic_ms()
            load = self._service.load_report()
            heartbeat = self._shares.heartbeat(name, load, sent_ms)
            reply = await self._peers.call(
                name, heartbeat, deadline_ms=sent_ms + REPLY_TIMEOUT_MS
            )
            if isinstance(reply, ShareReply):
                self._shares.handle_reply(name, reply, sent_ms, monotonic_ms())
                self._service.apply_peer_load(name, reply.load)

    async def _send_load_report(self, name: str) -> None:
        if self._peer_lock(name).locked():
            return
        async with self._peer_lock(name):
            reply = await self._peers.call(
                name,
                self._service.load_report(),
                deadline_ms=monotonic_ms() + REPLY_TIMEOUT_MS,
            )
            if isinstance(reply, LoadReport):
                self._service.apply_peer_load(name, reply)

    async def _on_heartbeat(self, sender: str, heartbeat: ShareHeartbeat):
        reply = self._shares.handle_heartbeat(
            sender,
            heartbeat,
            self._service.tokens_in_use_by_endpoint(),
            self._service.load_report(),
            monotonic_ms(),
        )
        self._service.apply_peer_load(sender, heartbeat.load)
        # A reordered, older heartbeat gets a reply that its sender ignores.
        return ShareReply(-1, -1) if reply is None else reply

    async def _on_load(self, sender: str, load: LoadReport) -> LoadReport:
        self._service.apply_peer_load(sender, load)
        return self._service.load_report()
