"""HTTP servers for the platform's store and endpoints, backed by the stand-ins.

Bodies are encoded and decoded here, independently of the daemon's client code.
"""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Callable

import trio

from ragwortshelf.core.scheduling.listings import RunEnd, StartOutcome
from ragwortshelf.net.http_messages import HttpRequest, HttpResponse, json_response
from ragwortshelf.scheduler.interfaces import Appended, Moved, ProducerFence
from ragwortshelf.standins.keyed_topic import KeyedTopic
from ragwortshelf.standins.platform_endpoint import EndpointState
from ragwortshelf.standins.policy_service import PolicyService

__all__ = ["EndpointServer", "PolicyServer", "StoreServer", "is_deadly"]

READ_KB_MAX = 1024
"""Size of the records that a read returns if the request gives none."""

PAGE_ROWS_MAX = 500
PAGE_BYTES_MAX = 1_000_000
"""Limits of a page of newest records, as the platform states them."""

CAPACITY_NOTICE_S = 4.5
"""Time after which a capacity that has shrunk counts, by the platform's specification:
3 s and one report of the endpoint."""

CRASH_DOWNTIME_S = 2.0
"""Time after which a crashed endpoint answers again."""

_REASONS = {
    StartOutcome.FENCED: "fence",
    StartOutcome.OUTDATED: "old",
    StartOutcome.LATE: "late",
}


class StoreServer:
    """Serves the HTTP interface of the store's topics."""

    def __init__(self):
        self.topic_by_name: dict[str, KeyedTopic] = {}

    def topic(self, name: str) -> KeyedTopic:
        """Return the topic of this name, creating it on first use."""
        return self.topic_by_name.setdefault(name, KeyedTopic())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request."""
        query = request.query
        topic = self.topic(query.get("topic", ""))
        match request.path:
            case "/api/log-append":
                return self._append(topic, query, request.body)
            case "/api/log-read":
                offset = int(query["from"])
                if offset < topic.first:
                    return json_response(410, {"first": topic.first})
                await topic.wait(offset, int(query.get("wait_ms", 0)))
                head = struct.pack(">QQ", len(topic.entries), topic.first)
                size_max = 1024 * int(query.get("max_kb", READ_KB_MAX))
                return HttpResponse(200, (), head + _records(topic, offset, size_max))
            case "/api/log-newest":
                return _newest_page(topic, query.get("depends_on"))
        return HttpResponse(404)

    def _append(self, topic: KeyedTopic, query, body: bytes) -> HttpResponse:
        fence = None
        if "producer" in query:
            fence = ProducerFence(
                query["producer"], int(query["epoch"]), int(query["sequence"])
            )
        at = int(query["at"]) if "at" in query else None
        outcome = topic.append(_decode_all(body), at, fence)
        match outcome:
            case Appended(offset, end):
                return json_response(200, {"offset": offset, "end": end})
            case Moved(end):
                return json_response(412, {"end": end})
        return json_response(409, {"reason": outcome.detail})


def is_deadly(task: str) -> bool:
    """Whether a task crashes its endpoints, as one of one job in sixteen does."""
    return task.startswith("d") and task.endswith(".0.0.0")


class PolicyServer:
    """Serves the HTTP interface of the policy service.

    ``is_advised`` says whether the tasks of a job need a ticket.
    """

    def __init__(self, policy: PolicyService, is_advised: Callable[[str], bool]):
        self.policy = policy
        self._is_advised = is_advised

    async def handle(self, caller: str, request: HttpRequest) -> HttpResponse:
        """Handle one request of an instance."""
        fields = json.loads(request.body)
        answer = await self.policy.ask(caller, fields["step"], fields["workers"])
        if answer is None:
            return HttpResponse(429)
        rows = [[name, ticket] for name, ticket in answer.ticket_by_id.items()]
        return json_response(200, {"approved": rows, "valid_ms": answer.valid_ms})

    def takes(self, task: str, ticket: str, endpoint_id: str) -> bool:
        """Whether an endpoint starts a task with a ticket, which may be empty."""
        if not self._is_advised(task.partition(".")[0]):
            return True
        return self.policy.is_valid(ticket, task, endpoint_id)


class EndpointServer:
    """Serves the HTTP interface of one endpoint stand-in.

    ``takes_ticket`` says whether a task may be started with a ticket.
    """

    def __init__(self, state: EndpointState):
        self.state = state
        self.on_crash = lambda: None
        self.takes_ticket: Callable[[str, str], bool] = lambda task, ticket: True
        self.overfilled: list[str] = []
        self._down_until_s = 0.0
        # When each capacity in accelerators began, which is one for each task.
        self._resized: list[tuple[float, int]] = [(0.0, state.info.capacity.gpus)]

    def resize(self, gpus: int) -> None:
        """Change the capacity."""
        self._resized.append((trio.current_time(), gpus))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request."""
        if trio.current_time() < self._down_until_s:
            return HttpResponse(503)
        fields = json.loads(request.body)
        token = fields["fencing_token"]
        match request.path:
            case "/api/hold":
                return await self._hold(fields, token)
            case "/api/run-start":
                if not self.takes_ticket(fields["task"], fields.get("ticket", "")):
                    return self._refusal("ticket")
                outcome = self.state.start(
                    fields["task"], fields["run"], fields["until_ms"], token
                )
                if outcome is StartOutcome.STARTED:
                    self._note_start(fields["task"])
                    return json_response(200, {"clock_ms": self.state.clock_ms()})
                return self._refusal(_REASONS[outcome])
            case "/api/run-stop":
                if self.state.stop(fields["task"], fields["run"], token):
                    return json_response(200, {"clock_ms": self.state.clock_ms()})
                return self._refusal("fence")
        return HttpResponse(404)

    def _note_start(self, task: str) -> None:
        """Check the capacity, and crash if the task is of that kind."""
        now_s = trio.current_time()
        counted_s = now_s - CAPACITY_NOTICE_S
        ends_s = [since_s for since_s, _ in self._resized[1:]] + [now_s]
        limit = max(
            gpus
            for (_, gpus), end_s in zip(self._resized, ends_s, strict=True)
            if end_s >= counted_s
        )
        if len(self.state.running) > limit:
            self.overfilled.append(f"{self.state.info.id}: {task} over {limit}")
        if is_deadly(task):
            self.state.crash()
            self._down_until_s = now_s + CRASH_DOWNTIME_S
            self.on_crash()

    async def _hold(self, fields, token) -> HttpResponse:
        is_current = await self.state.renew(
            fields.get("until_ms"),
            fields.get("ack_cursor", 0),
            fields.get("wait_ms", 0),
            token,
        )
        if not is_current:
            return self._refusal("fence")
        running = [
            [row.task, row.run, row.checkpoint, row.percent]
            for row in self.state.rows()
        ]
        finished = [
            [row.number, row.task, row.run, row.end.value, row.checkpoint]
            for row in self.state.finished
        ]
        return json_response(
            200,
            {
                "clock_ms": self.state.clock_ms(),
                "born": self.state.born,
                "running": running,
                "finished": finished,
            },
        )

    def _refusal(self, reason: str) -> HttpResponse:
        fields = {"clock_ms": self.state.clock_ms(), "reason": reason}
        return json_response(409, fields)

    def fail_running_task(self) -> None:
        """Make one running task fail, if there is any."""
        self.state.advance()
        if self.state.running:
            self.state.end(next(iter(self.state.running)), RunEnd.FAILED)


def _records(topic: KeyedTopic, offset: int, size_max: int) -> bytes:
    """Encode records from ``offset``: as many as fit, and at least one if any exist."""
    records = b""
    for entry in topic.entries[offset:]:
        record = _encode(entry)
        if records and len(records) + len(record) > size_max:
            break
        records += record
    return records


def _newest_page(topic: KeyedTopic, after_key: str | None) -> HttpResponse:
    rows = sorted(topic.newest())
    rest = [row for row in rows if after_key is None or row[0] > after_key]
    items = []
    size = 0
    for key, value in rest[:PAGE_ROWS_MAX]:
        size += len(key) + len(value)
        if items and size > PAGE_BYTES_MAX:
            break
        items.append({"key": key, "value": base64.b64encode(value).decode()})
    fields = {
        "items": items,
        "has_more": len(items) < len(rest),
        "end": len(topic.entries),
    }
    return json_response(200, fields)


def _encode(entry) -> bytes:
    key, value = entry
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


def _decode_all(body: bytes) -> list:
    entries = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        record, body = body[4 : 4 + length], body[4 + length :]
        size = 1 + record[0]
        entries.append((record[1:size].decode(), record[size:]))
    return entries
