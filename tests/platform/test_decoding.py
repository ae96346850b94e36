"""The platform's formats are decoded into ragwortshelf's types."""

import json

import pytest
from platform_adapter.callers import decode_job
from platform_adapter.configuration import decode_configuration
from platform_adapter.endpoints import decode_minion
from platform_adapter.hosts import decode_waves
from platform_adapter.process_limits import ProcessLimits
from platform_adapter.settings import InvalidSettings, parse_settings
from platform_adapter.store import _encode_entry

from ragwortshelf.core.advice import AdviceTerms
from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling.configuration import Queue
from ragwortshelf.core.scheduling.model import Incarnation
from ragwortshelf.core.scheduling.record_codec import encode_record
from ragwortshelf.core.scheduling.records import EndpointObserved, ServiceCapacity
from ragwortshelf.net.http_messages import Malformed
from ragwortshelf.scheduler.gateway import Access

REPORT = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "sequence": 4,
}


def _bytes(value):
    return json.dumps(value).encode()


def test_an_endpoint_is_decoded_with_its_rack():
    info = decode_minion("i-1", _bytes(REPORT))
    assert info.capacity == Resources(16000, 32768, 8)
    assert info.rack == "r1-3"
    assert not info.is_draining
    assert info.remaining_ms is None


# Guards against entries of other writers whose id or service fits no key of the job
# log, whose id fits no header, or whose address makes connection attempts raise.
@pytest.mark.parametrize(
    ("minion_id", "changed"),
    [
        ("i-1", {"service": "x" * 254}),
        ("i-1", {"service": "é" * 127}),
        ("i-1", {"service": "\ud800"}),
        ("i-1", {"service": ""}),
        ("x" * 254, {}),
        ("é", {}),
        ("a\nb", {}),
        ("a\x00", {}),
        (" a", {}),
        ("a ", {}),
        ("", {}),
        *(
            ("i-1", {"address": address})
            for address in (
                "0.0.0.0:80",
                "255.255.255.255:80",
                "224.0.0.1:80",
                "[::]:80",
                "[ff02::1]:80",
                "::1:80",
                "[10.1.0.9]:80",
                "[[::1]]:80",
                "]10.1.0.9[:80",
                "fe80::1%eth0:80",
                "[fe80::1%eth0]:80",
                "[fe80::1%a\r\nb]:80",
                "[fe80::1%\ud800]:80",
                f"[fe80::1%{'x' * 300}]:80",
                "10.1.0.9:0",
                "10.1.0.9:00000",
                "10.1.0.9:-1",
                "10.1.0.9:65536",
                "10.1.0.9:99999",
                "10.1.0.9:²",
                "10.1.0.9:" + "9" * 5_000,
                "10.1.0.9:80\n",
                " 10.1.0.9:80",
            )
        ),
    ],
)
def test_an_entry_that_names_no_endpoint_to_use_is_left_out(minion_id, changed):
    assert decode_minion(minion_id, _bytes(REPORT | changed)) is None


def test_the_longest_names_are_decoded_and_can_be_stored():
    name = "x" * 253
    info = decode_minion(name, _bytes(REPORT | {"service": name}))
    records = (
        ServiceCapacity(info.service, 1, 2, info.capacity),
        EndpointObserved(Incarnation(info.id, info.address, 3)),
    )
    for record in records:
        assert _encode_entry(encode_record(record))


@pytest.mark.parametrize("minion_id", ["i-1", 'a"b', "a b", "x/y:z", "i" * 253])
@pytest.mark.parametrize("address", ["127.0.0.1:1", "[::1]:65535", "[fd00::a]:80"])
def test_an_endpoint_of_an_unusual_name_or_address_is_decoded(minion_id, address):
    info = decode_minion(minion_id, _bytes(REPORT | {"address": address}))
    assert (info.id, info.address) == (minion_id, address)


def test_a_report_with_unchanged_content_decodes_to_an_equal_value():
    later = decode_minion("i-1", _bytes(REPORT | {"sequence": 5, "clock_ms": 9}))
    assert later == decode_minion("i-1", _bytes(REPORT))


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        _bytes({}),
        _bytes(REPORT | {"state": "odd"}),
        _bytes(REPORT | {"state": ["ready"]}),
        _bytes(REPORT | {"address": 7}),
        _bytes(REPORT | {"address": "nowhere"}),
        _bytes(REPORT | {"capacity": "much"}),
        _bytes(REPORT | {"capacity": {"cpu": []}}),
        _bytes(REPORT | {"labels": 3}),
        _bytes({k: v for k, v in REPORT.items() if k != "service"}),
    ],
)
def test_records_in_other_formats_are_not_decoded(value):
    assert decode_minion("i-1", value) is None


def test_a_configuration_is_decoded_as_a_whole():
    value = _bytes(
        {
            "version": 7,
            "routes": [
                {
                    "name": "r",
                    "host": "H.example",
                    "path_prefix": "/q/",
                    "service": "pool",
                    "priority": 1,
                    "max_attempts": 4,
                    "slack_factor": 3.0,
                    "target_latency_ms": 1000,
                    "public": True,
                }
            ],
            "services": [{"name": "pool", "admission_control": True}],
            "tenants": [
                {"name": "t", "api_keys": ["k1", "k2"], "guaranteed": {"gpu": 32}}
            ],
        }
    )
    configuration = decode_configuration(value)
    queue = configuration.queue_for("h.example", "/q/1")
    assert (queue.attempts_max, queue.slack_factor, queue.is_public) == (4, 3.0, True)
    assert configuration.organisation_by_key["k2"].guaranteed_gpus == 32
    assert configuration.queue_for("h.example", "/other/1") is None


@pytest.mark.parametrize("value", [b"", b"{}", _bytes({"version": 1, "routes": [{}]})])
def test_an_invalid_configuration_is_ignored(value):
    assert decode_configuration(value) is None


def test_waves_are_decoded_and_other_records_skipped():
    wave = {"wave": 1, "machines": ["m1", "m2"], "duration_s": 20, "cap": 1}
    entries = {"wave/1": _bytes(wave), "wave/2": b"?", "config": b"{}"}
    (decoded,) = decode_waves(entries).values()
    assert decoded.host_ids == ("m1", "m2")
    assert decoded.duration_ms == 20_000


@pytest.mark.parametrize(
    ("advice", "terms"),
    [
        (
            {"decision_ms": 20, "per_worker_ms": 2.5, "valid_ms": 3000},
            AdviceTerms(20, 3, 3_000),
        ),
        ({"decision_ms": 5}, AdviceTerms(5, 0, 0)),
        ({"valid_ms": -1, "per_worker_ms": 1e15}, AdviceTerms(0, 86_400_000, 0)),
        ({}, None),
        (None, None),
    ],
)
def test_the_figures_of_a_policy_service_are_decoded(advice, terms):
    route = {"name": "q", "host": "h", "path_prefix": "/q/", "service": "pool"}
    value = json.dumps({"version": 1, "routes": [route | {"advice": advice}]})
    (queue,) = decode_configuration(value.encode()).queues
    assert queue.advice == terms


ACCESS = Access(Queue("q", "h", "/q/", "pool", attempts_max=4), "org")


def test_a_job_is_decoded():
    body = {
        "spec": "text",
        "steps": [
            {"count": 4, "cpu": 500, "estimated_ms": 900, "affinity": "r1-3"},
            {
                "count": 2,
                "gpu": 8,
                "depends_on": [0],
                "gang": True,
                "rack_sensitive": True,
                "checkpointing": True,
                "anti_affinity": 1,
                "requirements": "b",
            },
        ],
        "repeat_count": 3,
        "first_run_ms": 5_000,
        "interval_ms": 100,
    }
    spec = decode_job("0" * 16, ACCESS, _bytes(body))
    first, second = spec.steps
    assert first.preferred_rack == "r1-3"
    assert first.request == Resources(500, 0, 0)
    assert second.is_gang
    assert second.is_rack_sensitive
    assert second.is_checkpointing
    assert second.tasks_per_endpoint_max == 1
    assert second.required_label == "b"
    assert second.depends_on == (0,)
    assert spec.due_wall_ms(2) == 5_200
    assert spec.attempts_max == 4


def test_a_job_whose_tasks_last_is_decoded():
    row = {
        "count": 4,
        "long_running": True,
        "image": "web",
        "target_ms": 80,
        "may_miss": 0,
    }
    background = {"count": 1, "fills": True, "cpu": 500, "speculative": True}
    spec = decode_job("0" * 16, ACCESS, _bytes({"steps": [row, background]}))
    serving, filling = spec.steps
    assert serving.is_long_running
    assert serving.image == "web"
    assert serving.tail_target_ms == 80
    # No task may be unavailable, which is not the same as no limit.
    assert serving.unavailable_max == 0
    assert filling.unavailable_max is None
    assert filling.fills
    assert filling.is_speculative


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"steps":[{}]}', b'{"steps":[{"count":1,"depends_on":[0]}]}'],
)
def test_an_invalid_job_is_malformed(body):
    assert isinstance(decode_job("0" * 16, ACCESS, body), Malformed)


SETTINGS = {
    "node_name": "edge-a-1",
    "ip": "10.1.0.19",
    "zone": "a",
    "bind_addresses": {"frontend": "10.1.0.19:8521", "readiness": "10.1.0.19:8523"},
    "bounds": {"revoke_ms": 4000, "grace_s": 6, "hold_max_ms": 5000},
    "platform": {"address": "10.200.1.7:8524"},
    "unknown": {"field": 1},
}


def test_settings_are_checked_and_decoded():
    settings = parse_settings(_bytes(SETTINGS))
    assert settings.callers_address == "10.1.0.19:8521"
    assert settings.scheduling.revocation_ms == 4000
    assert settings.scheduling.lease_ms == 5000


# Guards against a gate on starts in deployments that state no bound, and against a
# bound that is ignored because it is unreadable.
def test_the_bound_of_evacuations_is_optional_and_checked():
    assert parse_settings(_bytes(SETTINGS)).scheduling.evacuation_ms is None

    def parse(value):
        bounds = SETTINGS["bounds"] | {"evacuation_ms": value}
        return parse_settings(_bytes(SETTINGS | {"bounds": bounds}))

    assert parse(5_000).scheduling.evacuation_ms == 5_000
    for value in (0, -1, "soon", True):
        (fault,) = parse(value).faults
        assert fault.startswith("evacuation_ms")


def test_a_report_tells_how_long_its_endpoint_is_cold():
    assert decode_minion("i-1", _bytes(REPORT)).cold_remaining_ms is None
    info = decode_minion("i-1", _bytes(REPORT | {"cold_remaining_ms": 900}))
    assert info.cold_remaining_ms == 900


def test_all_faults_of_the_settings_are_reported_together():
    broken = SETTINGS | {
        "node_name": "",
        "bind_addresses": {"frontend": "x", "readiness": 3},
        "bounds": {"revoke_ms": "soon"},
    }
    faults = parse_settings(_bytes(broken)).faults
    assert [fault.partition(":")[0] for fault in faults] == [
        "node_name",
        "revoke_ms",
        "frontend",
        "readiness",
    ]
    assert isinstance(parse_settings(b"{"), InvalidSettings)


# Guards against limits of the machine that are ignored, or that stop a process of a
# deployment that states none.
def test_the_limits_of_the_machine_are_optional_and_checked():
    assert parse_settings(_bytes(SETTINGS)).limits == ProcessLimits()
    stated = SETTINGS | {"limits": {"memory_mb": 160, "max_fds": 1638}}
    assert parse_settings(_bytes(stated)).limits == ProcessLimits(160, 1638)
    for broken in (0, -1, "160", True, [], None):
        stated = SETTINGS | {"limits": {"memory_mb": broken, "max_fds": broken}}
        assert parse_settings(_bytes(stated)).faults == (
            f"memory_mb: must be a positive number, not {broken!r}",
            f"max_fds: must be a positive number, not {broken!r}",
        )
    assert parse_settings(_bytes(SETTINGS | {"limits": 3})).faults == (
        "limits: must be a JSON object",
    )
