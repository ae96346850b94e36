"""Tokens, routes, field validation and metrics of the HTTP interface."""

import json
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.jobs import JobEntry
from ragwortshelf.core.model import (
    Adjacency,
    Answered,
    JobSpec,
    NotRun,
    Priority,
    Reason,
    Unknown,
)
from ragwortshelf.daemon.api.jobs import JobApi
from ragwortshelf.daemon.api.requests import RequestApi
from ragwortshelf.daemon.api.router import ApiCall, Router
from ragwortshelf.daemon.authentication import Authenticator, Principal
from ragwortshelf.daemon.field_reader import FieldReader
from ragwortshelf.daemon.metrics import Metrics
from ragwortshelf.net.http_messages import HttpRequest, json_response

OPERATOR = "o" * 16
CALLER = "c" * 16


SETTINGS = SimpleNamespace(
    operator_tokens=(OPERATOR,), organisation_tokens={CALLER: "org"}, is_open=False
)


def request(method, target, token=None, fields=None, headers=()):
    if token:
        headers = (*headers, ("authorization", f"Bearer {token}"))
    body = b"" if fields is None else json.dumps(fields).encode()
    return HttpRequest(method, target, headers, body)


@pytest.mark.parametrize(
    ("token", "principal"),
    [
        (OPERATOR, Principal(True)),
        (CALLER, Principal(False, "org")),
        ("unknown", None),
        (None, None),
    ],
)
def test_token_identifies_its_principal(token, principal):
    assert Authenticator(SETTINGS).identify(request("GET", "/", token)) == principal


def test_without_tokens_the_header_names_the_organisation():
    authenticator = Authenticator(
        SimpleNamespace(operator_tokens=(), organisation_tokens={}, is_open=True)
    )
    named = request("GET", "/", headers=(("x-organisation", "org"),))
    assert authenticator.identify(named) == Principal(False, "org")
    assert authenticator.identify(request("GET", "/")) == Principal(True)


@pytest.mark.parametrize(
    ("method", "target", "token", "status"),
    [
        ("GET", "/v1/things/7?x=1", CALLER, 200),
        ("GET", "/v1/things/7", None, 401),
        ("GET", "/v1/secrets", CALLER, 403),
        ("GET", "/v1/secrets", OPERATOR, 200),
        ("POST", "/v1/secrets", OPERATOR, 405),
        ("GET", "/v1/nothing", OPERATOR, 404),
        ("GET", "/v1/things/", CALLER, 404),
        ("GET", "//[", CALLER, 404),
        ("GET", "/v1/things/a%2Fb", CALLER, 200),
        ("GET", "/healthz", None, 200),
    ],
)
async def test_routes(method, target, token, status):
    async def show(call: ApiCall):
        return json_response(200, call.path_parameters)

    router = Router(Authenticator(SETTINGS))
    router.add("GET", "/v1/things/{name}", show)
    router.add("GET", "/v1/secrets", show, operators_only=True)
    router.add("GET", "/healthz", show, is_public=True)
    response = await router.handle(request(method, target, token))
    assert response.status == status


def test_all_faults_of_a_body_are_reported():
    reader = FieldReader({"n": 11, "s": "x" * 9, "b": 1, "p": "soon", "extra": 0})
    reader.integer("n", 1, 10)
    reader.text("s", limit=8)
    reader.boolean("b")
    reader.choice("p", Priority)
    reader.mapping("m")
    faults = {fault.field for fault in reader.finish()}
    assert faults == {"n", "s", "b", "p", "m", "extra"}


def test_a_boolean_is_not_accepted_as_a_number():
    reader = FieldReader({"n": True})
    reader.integer("n", 0, 10)
    assert reader.finish()[0].detail == "must be a whole number"


class FakeService:
    def __init__(self, outcome):
        self.outcome = outcome
        self.requests = []

    def reserve_ids(self, count):
        return tuple(f"i1.1.{n}" for n in range(count))

    async def submit(self, request):
        self.requests.append(request)
        return self.outcome


async def submit(outcome, fields, token=CALLER):
    service = FakeService(outcome)
    router = Router(Authenticator(SETTINGS))
    RequestApi(service).add_routes(router)
    response = await router.handle(request("POST", "/v1/requests", token, fields))
    return response, service


@pytest.mark.parametrize(
    ("outcome", "status", "name"),
    [
        (Answered(500, (), b"\xff"), 200, "answered"),
        (NotRun(Reason.QUEUE_FULL, retry_after_ms=1200), 429, "not_run"),
        (NotRun(Reason.NO_ENDPOINT), 503, "not_run"),
        (Unknown(Reason.NO_ANSWER), 504, "unknown"),
    ],
)
async def test_each_outcome_has_its_status(outcome, status, name):
    response, _ = await submit(outcome, {"path": "/post", "body": "x"})
    assert (response.status, json.loads(response.body)["outcome"]) == (status, name)
    assert response.header("x-request-id") == "i1.1.0"
    expected = "2" if status == 429 else ""
    assert response.header("retry-after") == expected


@pytest.mark.parametrize(
    "fields",
    [
        {"path": "no-slash"},
        {"path": "/a b"},
        {"headers": {"x": "a\r\nb: c"}},
        {"headers": {"x y": "a"}},
        {"method": "GET /"},
        {"body_base64": "%"},
        {"timeout_ms": 0},
        {"timeout_ms": 10**30},
    ],
)
async def test_invalid_request_fields_are_refused(fields):
    response, service = await submit(Answered(200, (), b""), fields)
    assert response.status == 400
    assert not service.requests


async def test_a_caller_submits_for_its_own_organisation_only():
    response, service = await submit(Answered(200, (), b""), {"organisation": "other"})
    assert response.status == 403
    assert not service.requests


@given(st.dictionaries(st.text(max_size=8), st.recursive(st.none(), st.lists)))
async def test_any_json_object_gets_a_response(fields):
    response, _ = await submit(Answered(200, (), b""), fields)
    assert response.status in (200, 400)


def test_metrics_text_shows_counters_and_percentiles():
    metrics = Metrics()
    metrics.count("requests", outcome='an"swer')
    for value_ms in range(1, 101):
        metrics.observe_ms("wait_ms", value_ms)
    text = metrics.text()
    assert 'ragwortshelf_requests{outcome="an\\"swer"} 1' in text
    assert 'ragwortshelf_wait_ms{quantile="0.5"} 50' in text
    assert "ragwortshelf_wait_ms_count 100" in text


def test_the_number_of_series_is_bounded():
    metrics = Metrics()
    for index in range(5_000):
        metrics.count("requests", organisation=str(index))
    assert len(metrics.text().splitlines()) <= 2_001


async def test_a_job_that_is_forgotten_while_its_caller_waits_is_shown_as_last_known(
    autojump_clock,
):
    spec = JobSpec("j", "org", "dc", 1, Adjacency.DATA_CENTRE)
    entries = [JobEntry(spec, "i1", "dc"), None]

    async def wait_final(job_id):
        pass

    gateway = SimpleNamespace(get=lambda job_id: entries.pop(0), wait_final=wait_final)
    router = Router(Authenticator(SETTINGS))
    JobApi(gateway).add_routes(router)
    response = await router.handle(request("GET", "/v1/jobs/j?wait_ms=100", CALLER))
    assert (response.status, json.loads(response.body)["phase"]) == (200, "accepted")
