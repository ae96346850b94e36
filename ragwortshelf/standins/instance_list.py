"""Stand-in for the platform's list of instances, workers and endpoints.

Run it with ``python -m ragwortshelf.standins.instance_list --members FILE.json``.
"""

from __future__ import annotations

import copy
import json
from pathlib import Path

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

__all__ = ["InstanceListStandIn"]

_KINDS = ("instances", "workers", "endpoints")


class InstanceListStandIn(StandIn):
    """A list that is served as it was ``lag_ms`` milliseconds ago."""

    def __init__(self, lag_ms: int = 0):
        super().__init__()
        self._lag_s = lag_ms / 1000
        empty = {kind: [] for kind in _KINDS}
        self._versions: list[tuple[float, dict]] = [(float("-inf"), empty)]

    async def answer(self, request: HttpRequest) -> HttpResponse | CloseConnection:
        """Read the list, replace it, or change one member's state."""
        parts = request.path.split("/")
        if parts[1:] == ["members"] and request.method == "GET":
            return self._read_members(request.header("if-none-match"))
        fields = parse_json(request.body)
        if isinstance(fields, Malformed):
            return json_response(400, {"error": fields.detail})
        if parts[1:] == ["members"]:
            self.replace(fields)
            return json_response(200, {})
        if len(parts) == 4 and parts[3] == "state":
            self._set_state(parts[2], fields["state"])
            return json_response(200, {})
        return json_response(404, {"error": "no such path"})

    def replace(self, members: dict) -> None:
        """Replace the current list; callers see it once ``lag_ms`` has passed."""
        members = {kind: members.get(kind, []) for kind in _KINDS}
        self._versions.append((trio.current_time(), members))

    def _read_members(self, known_etag: str) -> HttpResponse:
        visible_until_s = trio.current_time() - self._lag_s
        version = max(
            index
            for index, (changed_s, _) in enumerate(self._versions)
            if changed_s <= visible_until_s
        )
        members = self._versions[version][1]
        if self.faults.get("empty"):
            members = {kind: [] for kind in _KINDS}
        etag = f'"{version}{"-empty" if self.faults.get("empty") else ""}"'
        if etag == known_etag:
            return HttpResponse(304, (("etag", etag),))
        fields = {"version": version, **members}
        return json_response(200, fields, (("etag", etag),))

    def _set_state(self, name: str, state: str) -> None:
        members = copy.deepcopy(self._versions[-1][1])
        for kind in _KINDS:
            if state == "gone":
                members[kind] = [row for row in members[kind] if row["name"] != name]
            for row in members[kind]:
                if row["name"] == name:
                    row["state"] = state
        self.replace(members)


async def _run(options) -> None:
    stand_in = InstanceListStandIn(options.lag_ms)
    if options.members:
        stand_in.replace(json.loads(Path(options.members).read_text()))
    await serve(stand_in, options.address)


def main() -> None:
    """Run the stand-in until the process is stopped."""
    parser = make_parser(__doc__)
    parser.add_argument("--lag_ms", type=int, default=0)
    parser.add_argument("--members", help="JSON file with the initial list")
    trio.run(_run, parser.parse_args())


if __name__ == "__main__":
    main()
