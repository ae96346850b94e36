"""Topics of the store: requests sent and answers decoded."""

import base64
import json
import struct

import pytest
from platform_adapter.store import StoreTopic

from ragwortshelf.core.model import Unreachable
from ragwortshelf.net.http_messages import HttpResponse
from ragwortshelf.scheduler.interfaces import (
    Appended,
    Deposed,
    LogGap,
    LogPage,
    LogRefused,
    LogUnanswered,
    Moved,
    NewestPage,
    ProducerFence,
)


class Client:
    """Answers calls with the given responses, in order, and records the calls."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    async def call(self, method, target, body=b"", headers=(), *, timeout_ms=None):
        self.calls.append((method, target, body))
        return self.responses.pop(0)


def _json(status, fields):
    return HttpResponse(status, (), json.dumps(fields).encode())


def _record(key, value):
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


async def test_an_append_carries_its_condition_its_fence_and_its_records():
    client = Client(_json(200, {"offset": 7, "end": 9}))
    topic = StoreTopic(client, "keyed.jobs")
    outcome = await topic.append(
        [("j/1", b"x"), ("c/1", b"")],
        timeout_ms=100,
        at=7,
        fence=ProducerFence("scheduler", 8, 3),
    )
    assert outcome == Appended(7, 9)
    ((method, target, body),) = client.calls
    assert method == "POST"
    assert target == (
        "/api/log-append?topic=keyed.jobs&part=0&at=7"
        "&producer=scheduler&epoch=8&sequence=3"
    )
    assert body == _record("j/1", b"x") + _record("c/1", b"")


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (_json(412, {"end": 4}), Moved(4)),
        (_json(409, {"reason": "fenced"}), Deposed("{'reason': 'fenced'}")),
        (HttpResponse(503), LogRefused("status 503")),
        (HttpResponse(429), LogRefused("status 429")),
        (HttpResponse(507), LogRefused("status 507")),
        (Unreachable("lost"), LogUnanswered("lost")),
        (Unreachable("refused", False), LogRefused("refused")),
    ],
)
async def test_each_answer_to_an_append_is_distinguished(response, outcome):
    topic = StoreTopic(Client(response), "keyed.jobs")
    assert await topic.append([("k", b"v")], timeout_ms=100) == outcome


async def test_an_unreadable_record_keeps_its_offset():
    foreign = struct.pack(">I", 3) + bytes([200, 1, 2])
    body = struct.pack(">QQ", 12, 2) + _record("a", b"1") + foreign + _record("b", b"")
    topic = StoreTopic(Client(HttpResponse(200, (), body)), "keyed.jobs")
    page = await topic.read(9, wait_ms=0, timeout_ms=100)
    assert page == LogPage((("a", b"1"), ("", b""), ("b", b"")), 12, 12)


async def test_a_truncated_record_is_read_again():
    body = struct.pack(">QQ", 12, 2) + _record("a", b"1") + b"\x00\x00\x00\x09ab"
    topic = StoreTopic(Client(HttpResponse(200, (), body)), "keyed.jobs")
    page = await topic.read(9, wait_ms=0, timeout_ms=100)
    assert page.next_offset == 10


async def test_a_read_of_deleted_records_returns_a_gap():
    topic = StoreTopic(Client(_json(410, {"first": 30})), "keyed.jobs")
    assert await topic.read(9, wait_ms=0, timeout_ms=100) == LogGap(30)


async def test_the_newest_records_are_read_page_by_page():
    item = {"key": "j/1", "value": base64.b64encode(b"x").decode(), "offset": 3}
    client = Client(
        _json(200, {"items": [item], "has_more": True, "end": 5}),
        _json(200, {"items": [], "has_more": False, "end": 6}),
    )
    topic = StoreTopic(client, "keyed.jobs")
    page = await topic.newest(None, timeout_ms=100)
    assert page == NewestPage((("j/1", b"x"),), 5, "j/1")
    assert (await topic.newest(page.next_key, timeout_ms=100)).next_key is None
    assert client.calls[1][1].endswith("&depends_on=j/1")


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refused_read_is_neither_a_page_nor_a_gap(status):
    topic = StoreTopic(Client(*2 * [HttpResponse(status)]), "keyed.jobs")
    refused = LogRefused(f"status {status}")
    assert await topic.read(9, wait_ms=0, timeout_ms=100) == refused
    assert await topic.newest("j/1", timeout_ms=100) == refused


# Guards against a load that never ends, because one key on a page cannot be read.
@pytest.mark.parametrize("odd_key", ["\udcff", "", None, 7, ["a"], {}])
@pytest.mark.parametrize("place", [0, 1, 2])
async def test_an_unreadable_key_costs_no_other_of_its_page(odd_key, place):
    items = [{"key": key, "value": "eA=="} for key in ("a", "b")]
    items.insert(place, {"key": odd_key, "value": "eA=="})
    body = {"items": items, "has_more": True, "end": 5}
    topic = StoreTopic(Client(_json(200, body)), "keyed.servers")
    page = await topic.newest(None, timeout_ms=100)
    assert [entry for entry in page.entries if entry[0]] == [("a", b"x"), ("b", b"x")]
    assert page.next_key == "b"


async def test_a_page_without_a_readable_key_is_refused_if_more_follow():
    item = {"key": "\udcff", "value": "eA=="}
    bodies = [{"items": [item], "has_more": more, "end": 5} for more in (True, False)]
    topic = StoreTopic(Client(*(_json(200, body) for body in bodies)), "keyed.servers")
    assert isinstance(await topic.newest("a", timeout_ms=100), LogRefused)
    assert (await topic.newest("a", timeout_ms=100)).next_key is None
