"""Stand-in for the platform's append-only log.

Run it with ``python -m ragwortshelf.standins.log --address 127.0.0.1:7000``.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from urllib.parse import unquote

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

__all__ = ["LogStandIn"]


class _Stream:
    """The retained records of a stream, the oldest of them at ``first_offset``."""

    def __init__(self):
        self.first_offset = 0
        self.records: list[bytes] = []
        self.appended = trio.Event()

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)

    def append(self, batch: list[bytes], retention: int) -> int:
        offset = self.end_offset
        self.records.extend(batch)
        surplus = len(self.records) - retention
        if surplus > 0:
            del self.records[:surplus]
            self.first_offset += surplus
        self.appended.set()
        self.appended = trio.Event()
        return offset


class LogStandIn(StandIn):
    """Streams in memory that each retain the newest ``retention_records`` records.

    ``appends_per_s`` limits the appends in each whole second; further ones are refused
    with status 429.
    """

    def __init__(self, retention_records: int = 100_000, appends_per_s: int = 300):
        super().__init__()
        self._retention = retention_records
        self._appends_per_s = appends_per_s
        self._streams_by_name: dict[str, _Stream] = {}
        self._second = -1
        self._appends_this_second = 0
        self.appends = 0

    async def answer(self, request: HttpRequest) -> HttpResponse | CloseConnection:
        """Append to a stream, read from one, or report the counters."""
        parts = request.path.split("/")
        if request.path == "/counters":
            return json_response(200, {"appends": self.appends})
        if len(parts) != 4 or parts[1] != "streams" or parts[3] != "records":
            return json_response(404, {"error": "no such path"})
        stream = self._streams_by_name.setdefault(unquote(parts[2]), _Stream())
        if request.method == "POST":
            return self._append(stream, request)
        return await self._read(stream, request)

    def _append(self, stream: _Stream, request: HttpRequest) -> HttpResponse:
        fields = parse_json(request.body)
        if isinstance(fields, Malformed):
            return json_response(400, {"error": fields.detail})
        if not self._admit_append():
            return json_response(429, {"error": "too many appends"})
        batch = [b64decode(record) for record in fields["records"]]
        offset = stream.append(batch, self._retention)
        return json_response(200, {"first_offset": offset, "count": len(batch)})

    def _admit_append(self) -> bool:
        second = int(trio.current_time())
        if second != self._second:
            self._second = second
            self._appends_this_second = 0
        self._appends_this_second += 1
        self.appends += 1
        return self._appends_this_second <= self._appends_per_s

    async def _read(self, stream: _Stream, request: HttpRequest) -> HttpResponse:
        query = request.query
        from_offset = int(query["from"])
        limit = int(query.get("limit", "1000"))
        with trio.move_on_after(int(query.get("wait_ms", "0")) / 1000):
            while stream.end_offset <= from_offset:
                await stream.appended.wait()
        if self.faults.get("outage"):
            return json_response(503, {"error": "outage"})
        if from_offset < stream.first_offset:
            fields = {
                "first_available": stream.first_offset,
                "end_offset": stream.end_offset,
            }
            return json_response(410, fields)
        index = from_offset - stream.first_offset
        records = stream.records[index : index + limit]
        fields = {
            "first_offset": from_offset,
            "records": [b64encode(record).decode() for record in records],
            "end_offset": stream.end_offset,
        }
        return json_response(200, fields)


def main() -> None:
    """Run the stand-in until the process is stopped."""
    parser = make_parser(__doc__)
    parser.add_argument("--retention_records", type=int, default=100_000)
    parser.add_argument("--appends_per_s", type=int, default=300)
    options = parser.parse_args()
    stand_in = LogStandIn(options.retention_records, options.appends_per_s)
    trio.run(serve, stand_in, options.address)


if __name__ == "__main__":
    main()
