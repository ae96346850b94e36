"""An instance of the daemon, which creates and connects all services.

The services do not refer to each other; the node forwards events between them.
"""

from __future__ import annotations

import random

import trio
from absl import logging

from ..core.membership import View
from ..core.model import (
    NO_REVISION,
    Configuration,
    InstanceInfo,
    Request,
    RequestOutcome,
    Unreachable,
)
from ..core.requests import HandoverNoted, OutcomeMessage, ShareReply
from ..core.streams import JOBS_STREAM, RELEASES_STREAM, USAGE_STREAM
from ..net.endpoints import open_endpoint
from ..net.instance_list import HttpInstanceList
from ..net.interfaces import InstanceList, Membership
from ..net.log import HttpLog
from ..net.peers import PeerNetwork
from .clock import monotonic_ms, wall_ms
from .dispatcher import RequestService
from .instance_context import InstanceContext
from .job_gateway import JobGateway
from .ledger_fold import LedgerFold
from .logs import log_decision, log_event
from .membership import MembershipService, new_incarnation
from .metrics import Metrics
from .peer_messages import (
    Acknowledged,
    Explanation,
    JobAnswer,
    Quotes,
    Revision,
    StateRequested,
    StreamState,
    WorkerTable,
)
from .settings import Settings
from .streams import StreamService
from .streams_releases import ReleaseFold

__all__ = ["Node"]

# A caller decodes a reply only if its type is registered.
_REPLY_TYPES = (
    Acknowledged,
    Explanation,
    HandoverNoted,
    JobAnswer,
    OutcomeMessage,
    Quotes,
    ShareReply,
    StreamState,
    WorkerTable,
)
_REVISION_KEY = "revision"
_PUBLISH_INTERVAL_S = 5.0
_CAUGHT_UP_CHECK_INTERVAL_S = 0.05
_PEER_STATE_CHECK_INTERVAL_S = 1.0
_PEER_STATE_TIMEOUT_MS = 5_000


class _TimestampedList(InstanceList):
    """Instance list that records the time of its last request, which answers lack."""

    def __init__(self, inner: InstanceList):
        self._inner = inner
        self.requested_ms = 0

    async def fetch(self) -> Membership | Unreachable:
        self.requested_ms = monotonic_ms()
        return await self._inner.fetch()


class Node(InstanceContext):
    """All services of one instance, and the callbacks that connect them."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.incarnation = new_incarnation()
        self.metrics = Metrics()
        self.is_draining = False
        rng = random.Random()
        self.info = InstanceInfo(
            settings.instance,
            settings.data_centre,
            settings.api_address,
            settings.peer_address,
        )
        self.network = PeerNetwork(
            self.info, self.incarnation, settings.peer_secret.encode()
        )
        self._instance_list = _TimestampedList(
            HttpInstanceList(
                settings.list_address, timeout_ms=settings.platform_timeout_ms
            )
        )
        self.membership = MembershipService(
            self.info, self.incarnation, self._instance_list, self.network, rng
        )
        self.gateway = JobGateway(self)
        self._build_streams(rng)
        self.requests = RequestService(
            settings.instance,
            self.incarnation,
            settings.data_centre,
            open_endpoint,
            self.network,
            log_decision,
            rng,
            observer=self._observe_request,
        )
        self._since_wall_ms = 0
        self._confirmed_wall_ms = 0
        self._connect_services()

    def _build_streams(self, rng: random.Random) -> None:
        settings = self.settings
        self.releases = ReleaseFold()
        folds = {
            RELEASES_STREAM: self.releases,
            JOBS_STREAM: LedgerFold(self.gateway.ledger, self.gateway.deliver),
            USAGE_STREAM: LedgerFold(self.gateway.charges),
        }
        log = HttpLog(settings.log_address, timeout_ms=settings.platform_timeout_ms)
        self.streams = StreamService(log, settings.instance, folds, rng)

    def _connect_services(self) -> None:
        """Register the callbacks, message handlers and gauges of the services."""
        self.revision_in_force = NO_REVISION
        self._may_activate = False
        self.membership.register(Revision)
        self.membership.on_list(self._on_list_fetched)
        self.membership.on_change(self._on_members_changed)
        self.streams.on_record(
            RELEASES_STREAM, lambda *_: self._activate_configuration()
        )
        self.streams.on_restored(
            RELEASES_STREAM, lambda _: self._activate_configuration()
        )
        self.streams.on_restored(JOBS_STREAM, lambda _: self.gateway.ledger_restored())
        self.network.register(*_REPLY_TYPES)
        self.network.handle(StateRequested, self._on_state_requested)
        self.metrics.gauge("requests_waiting", self.requests.waiting)
        self.metrics.gauge("revision", lambda: self.revision_in_force)
        self.metrics.gauge("jobs_active", lambda: self.gateway.ledger.active_count)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here."""
        return self.releases.configuration

    def deadline_ms(self, timeout_ms: int) -> int:
        """Return the monotonic time ``timeout_ms`` from now."""
        return monotonic_ms() + timeout_ms

    def unready_reason(self) -> str:
        """Return why callers should not be sent here; empty if they may be."""
        if self.is_draining:
            return "draining"
        if self.membership.is_superseded:
            return "a newer incarnation of this instance runs"
        if not self._may_activate:
            return "the configuration was not read to its end yet"
        if self.revision_in_force == NO_REVISION:
            return "no release note has taken effect yet"
        return ""

    def _allow_activation(self) -> None:
        """Let configurations come into force, now that the newest one is known.

        Without this delay, a restarted instance would put every older revision in force
        while it reads the log.
        """
        if self._may_activate:
            return
        self._may_activate = True
        self._activate_configuration()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run all services until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.run)
            nursery.start_soon(self.membership.run)
            nursery.start_soon(self.streams.run)
            await nursery.start(self.requests.run)
            nursery.start_soon(self.gateway.run)
            nursery.start_soon(self._publish_revision)
            nursery.start_soon(self._activate_when_caught_up)
            nursery.start_soon(self._recover_state_from_peers)
            task_status.started()

    async def drain(self) -> None:
        """Refuse new work, finish or hand over running work, and resign all roles."""
        self.is_draining = True
        log_event("draining")
        self.membership.set_draining()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.requests.drain)
            nursery.start_soon(self.gateway.drain)

    def revision_rows(self) -> list[dict]:
        """Return the revision in force at each known instance, with its age."""
        now_wall_ms = wall_ms()
        revision_by_instance = dict(self.membership.peer_state(_REVISION_KEY))
        revision_by_instance[self.info.name] = self._revision()
        return [
            {
                "instance": name,
                "data_centre": member.instance.data_centre,
                "is_reachable": member.status == "alive",
                "is_halted": name == self.info.name and self.releases.is_halted,
                **_revision_fields(revision_by_instance.get(name), now_wall_ms),
            }
            for name, member in sorted(self.membership.view.members_by_name.items())
        ]

    def _observe_request(
        self, request: Request, outcome: RequestOutcome, elapsed_ms: int
    ) -> None:
        kind = type(outcome).__name__.lower()
        labels = {"organisation": request.organisation, "outcome": kind}
        self.metrics.count("requests_total", **labels)
        self.metrics.observe_ms(
            "request_ms", elapsed_ms, request_class=request.request_class.value
        )

    def _on_list_fetched(self, members: Membership) -> None:
        self.requests.set_endpoints(members.endpoints)
        self.requests.set_instances(
            members.instances, requested_ms=self._instance_list.requested_ms
        )
        self.gateway.set_workers(members.workers)

    def _on_members_changed(self, view: View) -> None:
        live_instances = sum(
            member.status == "alive" for member in view.members_by_name.values()
        )
        self.streams.set_instances(max(1, live_instances))

    def _activate_configuration(self) -> None:
        configuration = self.configuration
        if not self._may_activate or configuration.revision <= self.revision_in_force:
            return
        self.revision_in_force = configuration.revision
        self._since_wall_ms = wall_ms()
        log_event("configuration in force", revision=configuration.revision)
        self.requests.set_configuration(configuration)
        self.gateway.set_configuration(configuration)
        self.membership.publish(_REVISION_KEY, self._revision())

    def _revision(self) -> Revision:
        if self.streams.is_log_up() and self.streams.is_caught_up(RELEASES_STREAM):
            self._confirmed_wall_ms = wall_ms()
        return Revision(
            self.revision_in_force, self._since_wall_ms, self._confirmed_wall_ms
        )

    async def _activate_when_caught_up(self) -> None:
        while not self.streams.is_caught_up():
            await trio.sleep(_CAUGHT_UP_CHECK_INTERVAL_S)
        self._allow_activation()

    async def _publish_revision(self) -> None:
        while True:
            self.membership.publish(_REVISION_KEY, self._revision())
            await trio.sleep(_PUBLISH_INTERVAL_S)

    async def _on_state_requested(
        self, sender: str, message: StateRequested
    ) -> StreamState:
        if self.configuration.revision == NO_REVISION:
            return StreamState(b"")
        return StreamState(self.streams.state_for_peer())

    async def _recover_state_from_peers(self) -> None:
        """Adopt a peer's state whenever the log cannot provide it.

        This is the case at a start during a log outage, and when retention has removed
        records that this instance still needs.
        """
        while True:
            await trio.sleep(_PEER_STATE_CHECK_INTERVAL_S)
            has_gap = any(status.is_missing_records for status in self.streams.status())
            has_no_configuration = self.configuration.revision == NO_REVISION
            if not has_gap and (self.streams.is_log_up() or not has_no_configuration):
                continue
            for peer in self.membership.view.members_by_name:
                if peer != self.info.name and await self._adopt_state_of(peer):
                    break

    async def _adopt_state_of(self, peer: str) -> bool:
        answer = await self.network.call(
            peer, StateRequested(), deadline_ms=self.deadline_ms(_PEER_STATE_TIMEOUT_MS)
        )
        if not isinstance(answer, StreamState) or not answer.data:
            return False
        adopted_streams = self.streams.adopt_from_peer(answer.data)
        if RELEASES_STREAM in adopted_streams and not self.streams.is_log_up():
            self._allow_activation()
        if adopted_streams:
            logging.info(
                "adopted the state of %s from %s", ", ".join(adopted_streams), peer
            )
        return bool(adopted_streams)


def _revision_fields(revision: object, now_wall_ms: int) -> dict:
    """Return a revision with its age; each field is None if the revision is unknown."""
    if not isinstance(revision, Revision) or revision.revision == NO_REVISION:
        return {"revision": None, "in_force_since_wall_ms": None, "age_ms": None}
    return {
        "revision": revision.revision,
        "in_force_since_wall_ms": revision.since_wall_ms,
        "age_ms": max(0, now_wall_ms - revision.confirmed_wall_ms),
    }
