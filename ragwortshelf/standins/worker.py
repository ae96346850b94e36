"""Stand-in for workers, with accelerators, fenced leases, tasks and usage reports.

One process can run several, each on its own port: ``python -m
ragwortshelf.standins.worker --workers w1@127.0.0.1:7101 --data_centre dc --rack r1``.
"""

from __future__ import annotations

import trio

from ..net.http_messages import (
    CloseConnection,
    HttpRequest,
    HttpResponse,
    Malformed,
    json_response,
    parse_json,
)
from .stand_in import StandIn, make_parser, serve
from .worker_state import WorkerLeases

__all__ = ["WorkerStandIn"]


_CHANGE_POLL_INTERVAL_S = 0.02


class WorkerStandIn(StandIn):
    """One worker, whose leases and tasks are held by `WorkerLeases`.

    Usage reports become visible ``usage_lag_ms`` milliseconds after their time, and
    each is repeated ``usage_repeat`` times.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        rack: str,
        *,
        accelerators: int = 8,
        cores: int = 32,
        memory_bytes: int = 64 * 2**30,
        usage_lag_ms: int = 0,
        usage_repeat: int = 0,
    ):
        super().__init__()
        self._identity = {
            "worker": name,
            "data_centre": data_centre,
            "rack": rack,
            "accelerators": accelerators,
            "cores": cores,
            "memory_bytes": memory_bytes,
        }
        self._usage_lag_s = usage_lag_ms / 1000
        self.leases = WorkerLeases(accelerators, usage_repeat)

    def faults_changed(self) -> None:
        """Set whether tasks fail, and reboot if requested."""
        self.leases.fails_tasks = bool(self.faults.get("fail_tasks"))
        if self.faults.pop("reboot", False):
            self.leases.reboot()

    async def answer(self, request: HttpRequest) -> HttpResponse | CloseConnection:
        """Handle one call, after bringing leases and tasks up to date."""
        now_s = trio.current_time()
        self.leases.advance(now_s)
        if request.path == "/changes":
            return await self._wait_for_change(request)
        if request.method == "GET":
            return self._read(request, now_s)
        fields = parse_json(request.body)
        if isinstance(fields, Malformed):
            return json_response(400, {"reason": "invalid", "detail": fields.detail})
        try:
            return self._write(request.path, fields, now_s)
        except (KeyError, TypeError) as error:
            return json_response(400, {"reason": "invalid", "detail": repr(error)})

    async def _wait_for_change(self, request: HttpRequest) -> HttpResponse:
        known_version = request.query.get("version", "")
        with trio.move_on_after(int(request.query.get("wait_ms", "0")) / 1000):
            while self.leases.version() == known_version:
                await trio.sleep(_CHANGE_POLL_INTERVAL_S)
                self.leases.advance(trio.current_time())
        return json_response(200, {"version": self.leases.version()})

    def _read(self, request: HttpRequest, now_s: float) -> HttpResponse:
        if request.path == "/state":
            state = {
                **self._identity,
                "boot_id": self.leases.boot_id,
                "version": self.leases.version(),
            }
            return json_response(200, {**state, "leases": self.leases.rows(now_s)})
        if request.path == "/usage":
            return self._usage(request, now_s)
        return json_response(404, {"error": "no such path"})

    def _usage(self, request: HttpRequest, now_s: float) -> HttpResponse:
        cursor = int(request.query.get("cursor", "0"))
        limit = int(request.query.get("limit", "1000"))
        page = self.leases.reports[cursor : cursor + limit]
        visible_reports = [
            row for time_s, row in page if time_s <= now_s - self._usage_lag_s
        ]
        return json_response(
            200, {"reports": visible_reports, "cursor": cursor + len(visible_reports)}
        )

    def _write(self, path: str, fields: dict, now_s: float) -> HttpResponse:
        leases = self.leases
        if path == "/leases":
            return _outcome_response(leases.acquire(fields, now_s))
        if path == "/renewals":
            answer = leases.renew(fields["lease_ids"], fields["ttl_ms"], now_s)
            return json_response(200, answer)
        if path == "/releases":
            leases.release(fields["lease_id"], now_s)
            return json_response(200, {})
        if path == "/fences":
            answer = leases.fence(fields["job_id"], fields["attempt"], now_s)
            return json_response(200, answer)
        if path == "/tasks":
            return _outcome_response(leases.start(fields, now_s))
        if path == "/commands":
            return _outcome_response(
                leases.command(fields["lease_id"], fields["command"], now_s)
            )
        return json_response(404, {"reason": "invalid", "detail": "no such path"})


def _outcome_response(reason: str | None) -> HttpResponse:
    if reason is None:
        return json_response(200, {})
    return json_response(409, {"reason": reason, "detail": ""})


async def _run(options) -> None:
    async with trio.open_nursery() as nursery:
        for entry in options.workers.split(","):
            name, _, address = entry.partition("@")
            stand_in = WorkerStandIn(
                name,
                options.data_centre,
                options.rack,
                accelerators=options.accelerators,
                cores=options.cores,
                memory_bytes=options.memory_bytes,
                usage_lag_ms=options.usage_lag_ms,
                usage_repeat=options.usage_repeat,
            )
            nursery.start_soon(serve, stand_in, address)


def main() -> None:
    """Run the stand-ins until the process is stopped."""
    parser = make_parser(__doc__)
    parser.add_argument("--workers", required=True, help="NAME@IP:PORT,…")
    parser.add_argument("--data_centre", required=True)
    parser.add_argument("--rack", default="r1")
    parser.add_argument("--accelerators", type=int, default=8)
    parser.add_argument("--cores", type=int, default=32)
    parser.add_argument("--memory_bytes", type=int, default=64 * 2**30)
    parser.add_argument("--usage_lag_ms", type=int, default=0)
    parser.add_argument("--usage_repeat", type=int, default=0)
    trio.run(_run, parser.parse_args())


if __name__ == "__main__":
    main()
