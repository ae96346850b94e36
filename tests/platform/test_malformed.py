"""No message that another process sends makes a decoder or the scheduler raise."""

import json
from dataclasses import replace
from functools import partial

import h11
import pytest
import trio
from cluster import (
    holders,
    make_instances,
    make_job,
    make_platform,
    running,
    state_of,
    submit,
)
from fakes import FakeClient, FakeEndpoint, FakeLog, FakePlatformAdapter
from hypothesis import given
from hypothesis import strategies as st
from platform_adapter.adapter import HttpPlatformAdapter
from platform_adapter.callers import CallerApi, decode_job
from platform_adapter.configuration import decode_configuration
from platform_adapter.endpoints import MinionClient, decode_minion
from platform_adapter.hosts import MachineService, decode_waves
from platform_adapter.settings import parse_settings
from platform_adapter.store import StoreTopic, _encode_entry
from test_decoding import ACCESS, REPORT, SETTINGS
from trio.testing import MockClock

from ragwortshelf.core.scheduling import JobState, JobTable, Scheduler
from ragwortshelf.core.scheduling.configuration import ServiceConfiguration
from ragwortshelf.core.scheduling.forecast import CapacityReporter
from ragwortshelf.core.scheduling.listings import EndpointInfo
from ragwortshelf.core.scheduling.model import (
    Incarnation,
    Resources,
    UnitKey,
    UnitPhase,
)
from ragwortshelf.core.scheduling.record_codec import decode_record, encode_record
from ragwortshelf.core.scheduling.records import (
    EndpointForgotten,
    EndpointObserved,
    EndpointSpeed,
    EndpointSpeeds,
    JobSubmitted,
    ServiceCapacity,
    Suspicion,
    UnitCrashes,
    UnitRecord,
)
from ragwortshelf.net.http_client import split_address
from ragwortshelf.net.http_messages import HttpRequest, HttpResponse, Malformed
from ragwortshelf.scheduler.endpoint_directory import EndpointDirectory
from ragwortshelf.scheduler.instance import Instance
from ragwortshelf.scheduler.interfaces import (
    EndpointAnswer,
    EndpointUnreachable,
    LogUnanswered,
)
from ragwortshelf.scheduler.settings import SchedulingSettings
from ragwortshelf.standins.keyed_topic import KeyedTopic

ID = "5c0e7a21d94b36f8"

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from([10**400, -1, 1e308, "²", "\ud800", "x" * 300])
    | st.text(max_size=5)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


def _mutations(fields: dict):
    """Return variants of an object in which some fields have another value."""
    changes = st.dictionaries(st.sampled_from(sorted(fields)), VALUES, max_size=3)
    return changes.map(lambda changed: json.dumps(fields | changed).encode())


STEP = {
    "count": 2,
    "cpu": 500,
    "gpu": 1,
    "mem_mb": 10,
    "estimated_ms": 900,
    "depends_on": [],
    "requirements": "a",
    "affinity": "r1",
    "anti_affinity": 1,
    "image": "i",
    "target_ms": 5,
    "may_miss": 1,
    "gang": True,
}
JOB_FIELDS = {"spec": "s", "repeat_count": 0, "first_run_ms": 0, "interval_ms": 0}
RUN = ["t", 1, "", 40, 3.0]
END = [1, "t", 1, "done", ""]
LISTS = {"clock_ms": 5, "born": 7, "running": [RUN], "finished": [END]}


@given(_mutations(REPORT) | st.binary(max_size=20) | VALUES.map(json.dumps))
def test_reports_of_endpoints(value):
    value = value.encode(errors="replace") if isinstance(value, str) else value
    info = decode_minion("e", value)
    assert info is None or isinstance(hash(info), int)
    if info is not None:
        _check_endpoint(info)


def _nested(kind, depth):
    """Return JSON of this depth, which is parsed by recursion."""
    if kind == "list":
        return "[" * depth + "]" * depth
    return '{"a":' * depth + "1" + "}" * depth


def _report_with(field, json_text):
    """Return a report with JSON in place of a field, or of a part of it."""
    mark = "@"
    changed = {
        "cpu": {"capacity": {"cpu": mark}},
        "label": {"labels": [mark]},
    }.get(field, {field: mark})
    return json.dumps(REPORT | changed).replace(f'"{mark}"', json_text).encode()


def _decode_from_depth(depth, value):
    """Decode a report with so many further calls on the stack."""
    if depth:
        return _decode_from_depth(depth - 1, value)
    return decode_minion("e", value)


# Guards against a RecursionError from a value that is parsed, and is too deep for what
# is done with it then.
@pytest.mark.parametrize("kind", ["list", "object"])
@pytest.mark.parametrize(
    "field", ["service", "address", "zone", "state", "capacity", "labels", "cpu"]
)
def test_reports_of_any_depth_from_any_depth_of_the_stack(field, kind):
    for depth in range(1, 3_000):
        info = decode_minion("e", _report_with(field, _nested(kind, depth)))
        # An empty list of labels, and an object without the fields of a capacity.
        is_usable = (field, kind, depth) == ("labels", "list", 1)
        is_usable |= (field, kind) == ("capacity", "object")
        assert is_usable or info is None
    for stack in (300, 600, 800):
        for depth in range(1, 700):
            _decode_from_depth(stack, _report_with(field, _nested(kind, depth)))


NUMBERS = ["1e400", "-1e400", "1e308", "NaN", "Infinity", "-Infinity", "-1", "0.5e-400"]
NUMBERS += ["1" + "0" * 400, "9" * 5_000, str(1 << 62), str((1 << 62) + 1), "-0.0"]


# Guards against numbers that cannot be added up, stored or waited for.
@pytest.mark.parametrize("field", ["cpu", "remaining_ms", "cold_remaining_ms"])
@pytest.mark.parametrize("digits", NUMBERS, ids=lambda digits: digits[:9])
def test_numbers_of_reports_are_of_64_bits(field, digits):
    info = decode_minion("e", _report_with(field, digits))
    is_usable = digits in ("0.5e-400", "-0.0", str(1 << 62))
    assert (info is not None) == is_usable
    if is_usable:
        _check_endpoint(info)
        scheduler = Scheduler(1, JobTable(), ServiceConfiguration(1, (ACCESS.queue,)))
        for number in range(3):
            endpoint = replace(info, id=f"e{number}", is_draining=True)
            scheduler.endpoint_updated(endpoint, 1)
        scheduler.plan(1, 1)
        due = CapacityReporter(1, 0).due_records(
            scheduler.endpoint_by_id.values(), {info.service}, 1 << 40, 1 << 40
        )
        assert all(map(_encode_entry, map(encode_record, due)))


def test_a_repeated_field_of_a_report_has_its_last_value():
    value = json.dumps(REPORT)[:-1].encode() + b', "service": "last"}'
    assert decode_minion("e", value).service == "last"


def test_a_report_with_very_many_labels_is_decoded():
    labels = [f"label-{number}" for number in range(300_000)]
    info = decode_minion("e", json.dumps(REPORT | {"labels": labels}).encode())
    assert info.labels == tuple(labels)


def _check_endpoint(info):
    """Check that every record that names an endpoint can be written, and read again."""
    incarnation = Incarnation(info.id, info.address, info.started_wall_ms)
    key = UnitKey(ID, 0, 0, 0)
    for record in (
        ServiceCapacity(info.service, 1, 2, info.capacity),
        EndpointObserved(incarnation),
        EndpointSpeeds(1, 2, (EndpointSpeed(info.id, 3, 4, 5),)),
        UnitRecord(key, 1, UnitPhase.PLACED, 1, 0, (info.id,)),
        UnitCrashes(key, (), 0, (Suspicion(incarnation, (0,), (), 0),)),
    ):
        entry = encode_record(record)
        assert decode_record(*entry) == record
        assert _encode_entry(entry)
    assert _encode_entry(encode_record(EndpointForgotten(info.id)))
    h11.Request(
        method="POST",
        target="/",
        headers=[("host", info.address), ("x-expected-instance", info.id)],
    )
    assert 0 < split_address(info.address)[1] < 1 << 16


HOSTS = (
    st.ip_addresses().map(str)
    | st.ip_addresses(v=6).map(lambda address: f"[{address}]")
    | st.sampled_from(["", "[]", "::1", "[fe80::1%é]", "host", "1.2.3", "[1.2.3.4]"])
    | st.text(max_size=5)
)
PORTS = st.integers(-1, 70_000).map(str) | st.text("0123456789² -+_", max_size=7)
ADDRESSES = st.tuples(HOSTS, PORTS).map(":".join)
NAMES = st.text(max_size=300) | st.text(
    'abc-"\n\x00 é\ud800', min_size=240, max_size=260
)


@given(
    NAMES.filter(lambda name: name.isascii() or "\ud800" not in name),
    NAMES,
    ADDRESSES,
    st.fixed_dictionaries({}, optional={"zone": VALUES, "labels": VALUES}),
)
def test_what_is_decoded_of_a_report_can_be_stored_and_sent(
    minion_id, service, address, changed
):
    fields = REPORT | {"service": service, "address": address} | changed
    info = decode_minion(minion_id, json.dumps(fields).encode())
    if info is not None:
        _check_endpoint(info)


ODD_ENTRIES = {
    "nested": _report_with("service", _nested("list", 900)),
    "nested-further": _report_with("other", _nested("object", 100_000)),
    "number": _report_with("cpu", "1" + "0" * 400),
    "digits": _report_with("remaining_ms", "9" * 5_000),
    "port": _report_with("address", '"10.0.0.1:99999"'),
    "no-port": _report_with("address", '"10.0.0.1:"'),
    "scope": _report_with("address", '"[fe80::1%\\ud800]:80"'),
    "service": _report_with("service", json.dumps("x" * 400)),
    "surrogate": _report_with("service", '"\\ud800"'),
    "bytes": b"\xff\xfe\x00",
    "empty-object": b"{}",
    "state": _report_with("state", '"odd"'),
    "line\nbreak": json.dumps(REPORT).encode(),
    "é": json.dumps(REPORT).encode(),
    "x" * 255: json.dumps(REPORT).encode(),
}


class DecodingAdapter(FakePlatformAdapter):
    """Decodes the reports of endpoints as the platform's adapter does."""

    def decode_endpoint(self, key, value):
        return decode_minion(key, value)


# Guards against a reader of the list of endpoints that ends, or that lists no endpoint
# further, because of one odd entry.
@pytest.mark.parametrize("is_listed_before", [False, True])
@pytest.mark.parametrize("key", [*ODD_ENTRIES, None], ids=ascii)
async def test_the_entries_beside_an_odd_one_hold(
    autojump_clock, key, is_listed_before
):
    odd_entries = ODD_ENTRIES.items() if key is None else [(key, ODD_ENTRIES[key])]
    topic = KeyedTopic()
    adapter = DecodingAdapter(make_platform(0))
    ids = set()
    directory = EndpointDirectory(
        adapter,
        FakeLog(topic, adapter.faults),
        SchedulingSettings("i0"),
        lambda info: ids.add(info.id),
        ids.remove,
    )
    good = json.dumps(REPORT).encode()
    async with running(directory):
        if is_listed_before:
            await trio.sleep(1)
        topic.append([("a", good), *odd_entries, ("~", good), ("a~", good)])
        await trio.sleep(1)
        assert ids == {"a", "~", "a~"}
        topic.append([("a", b""), *odd_entries, ("b", good)])
        await trio.sleep(1)
        assert ids == {"~", "a~", "b"}
        topic.append([(key, b"") for key, _ in odd_entries])
        await trio.sleep(1)
        assert ids == {"~", "a~", "b"}
        assert directory.age_ms() < 1_000


class ForeignEntriesAdapter(DecodingAdapter):
    """Lists the platform's endpoints, and what other entries name, which is silent."""

    def decode_endpoint(self, key, value):
        if key in self.platform.endpoint_by_id:
            return FakePlatformAdapter.decode_endpoint(self, key, value)
        return super().decode_endpoint(key, value)

    def endpoint_client(self, info, token):
        if info.id in self.platform.endpoint_by_id:
            return super().endpoint_client(info, token)
        endpoint = FakeEndpoint(info)
        endpoint.is_disconnected = True
        return FakeClient(endpoint, token, self.faults)


# Guards against entries of other writers that end the term of each scheduler.
async def test_no_term_ends_because_of_odd_entries(autojump_clock):
    platform = make_platform()
    adapters = [ForeignEntriesAdapter(platform) for _ in range(3)]
    instances = [
        Instance(adapter, SchedulingSettings(f"i{number}"))
        for number, adapter in enumerate(adapters)
    ]
    foreign = {"service": "s" * 253, "capacity": {"cpu": 1 << 62, "gpu": 1 << 62}}
    entries = [*ODD_ENTRIES.items(), ("i" * 253, json.dumps(REPORT | foreign).encode())]
    platform.reports.append(entries[::2])
    async with running(*instances):
        await trio.sleep(2)
        (holder,) = holders(instances)
        platform.reports.append(entries)
        await submit(instances[0], make_job(ID))
        for _ in range(30):
            await trio.sleep(1)
            assert holders(instances) == [holder]
            assert all(instance.gateway.is_ready() for instance in instances)
        assert await state_of(instances[1], ID) is JobState.COMPLETED
    assert {key for key, _ in platform.jobs.entries if key[:2] == "f/"} == {"f/pool"}


@given(
    st.lists(
        st.tuples(
            st.text(max_size=5) | st.sampled_from(["a", "b"]),
            _mutations(REPORT) | st.binary(max_size=20),
        )
    ),
    st.integers(0, 10),
)
def test_the_directory_follows_any_entries(entries, listed_before):
    entries = [(key, value) for key, value in entries if _is_encodable(key)]
    topic = KeyedTopic()
    topic.append(entries[:listed_before])
    adapter = DecodingAdapter(make_platform(0))
    infos = {}
    directory = EndpointDirectory(
        adapter,
        FakeLog(topic, adapter.faults),
        SchedulingSettings("i0"),
        lambda info: infos.update({info.id: info}),
        infos.pop,
    )

    async def follow():
        assert await directory._poll() is None
        topic.append([*entries[listed_before:], ("good", json.dumps(REPORT).encode())])
        assert await directory._poll() is None

    trio.run(follow, clock=MockClock(autojump_threshold=0))
    assert "good" in infos
    for info in infos.values():
        _check_endpoint(info)


def _is_encodable(key):
    try:
        return bool(key.encode())
    except UnicodeEncodeError:
        return False


@given(_mutations({"version": 1, "routes": [], "services": [], "tenants": []}))
def test_configurations(value):
    configuration = decode_configuration(value)
    if configuration is not None:
        configuration.queue_for("h", "/")
        assert configuration.organisation_by_key.get("k") is None


@given(st.data())
def test_rows_of_configurations(data):
    queue = {"name": "q", "host": "h", "path_prefix": "/", "service": "s"}
    queue |= {"priority": 0, "max_attempts": 1, "slack_factor": 2, "advice": {}}
    organisation = {"name": "o", "api_keys": ["k"], "guaranteed": {"gpu": 1}}
    value = {
        "version": 1,
        "routes": [json.loads(data.draw(_mutations(queue)))],
        "tenants": [json.loads(data.draw(_mutations(organisation)))],
    }
    configuration = decode_configuration(json.dumps(value).encode())
    if configuration is not None:
        configuration.queue_for("h", "/x")
        assert isinstance(configuration.organisation_by_key, dict)


@given(_mutations({"wave": 1, "machines": ["m"], "duration_s": 2, "cap": 1}))
def test_waves(value):
    assert isinstance(decode_waves({"wave/1": value}), dict)


@given(_mutations(SETTINGS | {"cloud_api": {}, "advice": "", "limits": {}}))
def test_settings(value):
    assert parse_settings(value) is not None


@given(_mutations(STEP), _mutations(JOB_FIELDS))
def test_jobs_are_refused_or_can_be_stored_and_planned(step, job):
    fields = json.loads(job) | {"steps": [json.loads(step)]}
    spec = decode_job(ID, ACCESS, json.dumps(fields).encode())
    if isinstance(spec, Malformed):
        return
    record = JobSubmitted(spec)
    assert decode_record(*encode_record(record)) == record
    table = JobTable()
    scheduler = Scheduler(1, table, ServiceConfiguration(1, (ACCESS.queue,)))
    info = EndpointInfo("e", "pool", "e", "dc", Resources(8000, 8000, 8))
    scheduler.endpoint_updated(info, 0)
    scheduler.endpoint_by_id["e"].is_reachable = True
    table.apply(record)
    scheduler.job_changed(spec.id, 0, 0)
    scheduler.plan(0, 0)


@pytest.mark.parametrize(
    "job_id", ["", "x" * 300, "a/b", "0" * 15, "0" * 17, "²" * 16, "é"]
)
async def test_ids_in_another_form_are_refused(autojump_clock, job_id):
    # A key of the log has at most 255 bytes and its parts are separated by slashes.
    platform = make_platform()
    (instance,) = make_instances(platform, 1)
    api = CallerApi(instance.gateway)
    body = json.dumps({"steps": [STEP]}).encode()
    headers = (("host", "h"), ("authorization", "Bearer key"))
    async with running(instance):
        await trio.sleep(1)
        for method, status in (("POST", 400), ("DELETE", 410), ("GET", 410)):
            if not job_id and method != "POST":
                continue
            request = HttpRequest(method, f"/q/{job_id}", headers, body)
            assert (await api.handle(request)).status == status
        spec = {"steps": [{"count": 1, "gpu": 1, "estimated_ms": 100}]}
        request = HttpRequest("POST", f"/q/{ID}", headers, json.dumps(spec).encode())
        assert (await api.handle(request)).status == 200


@pytest.mark.parametrize(
    "fields",
    [
        {"steps": [STEP | {"count": 1 << 40}]},
        {"steps": [STEP] * 300},
        {"steps": [STEP], "repeat_count": 1 << 40},
        {"steps": [STEP], "spec": "x" * 5_000},
        {"steps": [STEP | {"requirements": ["a"]}]},
        {"steps": [STEP | {"count": 0}]},
    ],
)
def test_jobs_that_no_instance_could_keep_are_refused(fields):
    body = json.dumps(fields).encode()
    assert isinstance(decode_job(ID, ACCESS, body), Malformed)


@pytest.mark.parametrize("deadline", ["²", "9" * 5_000, "-1", ""])
def test_deadlines_in_another_form_are_replaced_by_the_usual_one(deadline):
    from platform_adapter.callers import DEADLINE_DEFAULT_MS, _time_limit_ms

    request = HttpRequest("GET", "/", (("x-deadline-ms", deadline),))
    assert 0 < _time_limit_ms(request) <= DEADLINE_DEFAULT_MS


class Client:
    """Answers every call with one response."""

    def __init__(self, status, body):
        self._response = HttpResponse(status, (), body)

    async def call(self, *arguments, **options):
        return self._response


def _endpoint_client(body):
    info = EndpointInfo("e", "pool", "127.0.0.1:1", "dc", Resources())
    client = MinionClient(info, 1)
    client._client = Client(200, body)
    return client


@given(_mutations(LISTS), _mutations({"row": RUN}), _mutations({"row": END}))
def test_lists_of_endpoints(lists, run, end):
    fields = json.loads(lists)
    for bodies in (
        fields,
        fields | {"running": [json.loads(run)["row"]]},
        fields | {"finished": [json.loads(end)["row"]]},
    ):
        client = _endpoint_client(json.dumps(bodies).encode())

        async def renew(client=client):
            return await client.renew(
                until_ms=1, ack_number=0, wait_ms=0, timeout_ms=100
            )

        answer = trio.run(renew)
        assert isinstance(answer, (EndpointAnswer, EndpointUnreachable))
        for row in getattr(answer, "running", ()):
            assert isinstance(row.task, str) and isinstance(row.run, int)
            assert isinstance(row.percent, (int, float))
        for row in getattr(answer, "finished", ()):
            assert isinstance(row.task, str) and isinstance(row.number, int)


async def test_a_list_with_one_unreadable_row_reports_no_other_run_as_missing():
    rows = [RUN, ["u", "1", "", 0]]
    client = _endpoint_client(json.dumps(LISTS | {"running": rows}).encode())
    answer = await client.renew(until_ms=1, ack_number=0, wait_ms=0, timeout_ms=100)
    assert isinstance(answer, EndpointUnreachable)


@given(
    _mutations({"offset": 1, "end": 2, "first": 0, "items": [], "has_more": False})
    | _mutations({"items": [{"key": "k", "value": "eA=="}], "end": 1})
    | st.binary(max_size=40),
    st.sampled_from([200, 400, 409, 410, 412, 429, 500, 502, 503, 507]),
)
def test_answers_of_the_store(body, status):
    topic = StoreTopic(Client(status, body), "keyed.jobs")

    async def call():
        await topic.append([("k", b"v")], timeout_ms=100)
        await topic.read(0, wait_ms=0, timeout_ms=100)
        await topic.newest(None, timeout_ms=100)

    trio.run(call)


@pytest.mark.parametrize("status", [200, 412, 500, 502, 504])
async def test_an_append_whose_answer_says_nothing_may_have_taken_effect(status):
    topic = StoreTopic(Client(status, b"{}"), "keyed.jobs")
    outcome = await topic.append([("k", b"v")], timeout_ms=100)
    assert isinstance(outcome, LogUnanswered)


@given(_mutations({"machines": [{"machine": "m", "state": "up"}], "next_token": ""}))
def test_lists_of_hosts(body):
    if json.loads(body).get("next_token"):
        return
    service = MachineService("127.0.0.1:1")
    service._client = Client(200, body)
    trio.run(service.list_hosts)


# Guards against upkeep that begins anew again and again, because a text that cannot be
# encoded ends it.
@pytest.mark.parametrize(
    "changed",
    [
        {"machines": [{"machine": "\ud800"}]},
        {"machines": [{"machine": "m", "id": "\ud800"}]},
        {"machines": [{"machine": "m", "state": [["up"]]}], "next_token": "\ud800"},
        {"next_token": "\ud800"},
    ],
)
async def test_a_list_of_hosts_that_cannot_be_read_is_none(changed):
    body = json.dumps({"machines": []} | changed).encode()
    service = MachineService("127.0.0.1:1")
    service._client = Client(200, body)
    assert await service.list_hosts() is None


@given(_mutations({"approved": [["e", "t"]], "valid_ms": 100}))
def test_advice(body):
    fields = SETTINGS | {"advice": "127.0.0.1:1"}
    adapter = HttpPlatformAdapter(parse_settings(json.dumps(fields).encode()))
    adapter._advice = Client(200, body)
    trio.run(partial(adapter.ask_advice, "step", ("e",), timeout_ms=100))


def test_an_advice_address_that_a_reload_adds_is_used():
    adapter = HttpPlatformAdapter(parse_settings(json.dumps(SETTINGS).encode()))
    fields = SETTINGS | {"advice": "127.0.0.1:9"}
    adapter.reconfigure(parse_settings(json.dumps(fields).encode()))
    assert adapter._advice.address == "127.0.0.1:9"


@given(st.text(max_size=10), st.binary(max_size=30))
def test_records_of_the_log(key, value):
    for kind in ("j/", "c/", "u/", "w/", "i/", "term", ""):
        decode_record(kind + key, value)
