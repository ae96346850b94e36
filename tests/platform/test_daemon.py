"""Settings that change at run time, the readiness check and the metrics page."""

import json
from types import SimpleNamespace

import pytest
import trio
from platform_adapter.adapter import HttpPlatformAdapter
from platform_adapter.daemon import (
    METRICS_PATH,
    READY_PATH,
    _MetricsPage,
    _Reloader,
    _ServerFactory,
)
from platform_adapter.daemon import _Readiness as Readiness
from platform_adapter.settings import parse_settings
from test_decoding import SETTINGS

from ragwortshelf.net.http_messages import HttpRequest
from ragwortshelf.scheduler.instance import Instance


@pytest.fixture
def process(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS))
    settings = parse_settings(path.read_bytes())
    adapter = HttpPlatformAdapter(settings)
    instance = Instance(adapter, settings.scheduling)
    reloader = _Reloader(path, settings, adapter, instance)
    return SimpleNamespace(
        path=path,
        settings=settings,
        adapter=adapter,
        instance=instance,
        reloader=reloader,
    )


def _change(process, **fields):
    process.path.write_text(json.dumps(SETTINGS | fields))
    process.reloader.reload()


def test_changed_settings_are_in_force_after_a_reload(process):
    bounds = SETTINGS["bounds"] | {"revoke_ms": 2_000}
    _change(process, bounds=bounds, platform={"address": "10.9.9.9:1"})
    assert process.instance.gateway.settings.revocation_ms == 2_000
    assert process.instance.configuration.settings.revocation_ms == 2_000
    assert process.adapter._store.address == "10.9.9.9:1"


def test_faulty_settings_change_nothing(process):
    before = process.instance.settings
    _change(process, bounds={"revoke_ms": "soon"})
    assert process.instance.settings is before
    process.path.write_text("{")
    process.reloader.reload()
    assert process.instance.settings is before
    process.path.unlink()
    process.reloader.reload()
    assert process.instance.settings is before


async def test_a_process_without_a_configuration_is_not_ready(process):
    readiness = Readiness(process.instance)
    assert (await readiness.handle(HttpRequest("GET", READY_PATH))).status == 503
    assert (await readiness.handle(HttpRequest("GET", "/other"))).status == 404


async def test_metrics_are_text(process):
    page = _MetricsPage(process.instance)
    response = await page.handle(HttpRequest("GET", METRICS_PATH))
    assert response.status == 200
    assert b"ragwortshelf_is_scheduler 0" in response.body


# Guards against clients that are refused without a trace.
async def test_a_refusal_is_counted_by_its_listener_and_reason(process):
    limits = process.settings.limits
    factory = _ServerFactory(process.instance, limits)
    page = _MetricsPage(process.instance)
    server = factory.make("metrics", page.handle, limits.metrics)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    head = b"GET /metrics HTTP/1.1\r\nhost: h\r\n"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listeners)
        answers = []
        for length in (b"1025", b"0"):
            stream = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
            async with stream:
                await stream.send_all(head + b"content-length: " + length)
                await stream.send_all(b"\r\n\r\n")
                with trio.fail_after(20):
                    answers.append(await stream.receive_some(65536))
        nursery.cancel_scope.cancel()
    assert answers[0].startswith(b"HTTP/1.1 413")
    assert answers[1].startswith(b"HTTP/1.1 200")
    response = await page.handle(HttpRequest("GET", METRICS_PATH))
    series = b'ragwortshelf_refusals_total{listener="metrics",reason="body_size"} 1'
    assert series in response.body
