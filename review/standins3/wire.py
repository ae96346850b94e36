"""A plain HTTP/1.1 client for the calls of clients, on one connection per call."""

from __future__ import annotations

import json

import h11
import trio

__all__ = ["Answer", "call"]


class Answer:
    """The answer to a call; ``status`` is 0 if there was none in time."""

    def __init__(self, status: int = 0, fields: dict | None = None):
        self.status = status
        self.fields = fields or {}

    def __repr__(self) -> str:
        return f"{self.status or 'no answer'} {json.dumps(self.fields)}"


async def call(
    address: str,
    method: str,
    path: str,
    host: str,
    key: str = "",
    fields: dict | None = None,
    deadline_ms: int = 3_000,
) -> Answer:
    """Send one request and wait for its answer until the client's deadline."""
    body = b"" if fields is None else json.dumps(fields).encode()
    headers = [
        ("host", host),
        ("content-length", str(len(body))),
        ("content-type", "application/json"),
        ("x-deadline-ms", str(deadline_ms)),
    ]
    if key:
        headers.append(("authorization", f"Bearer {key}"))
    with trio.move_on_after(deadline_ms / 1000):
        try:
            return await _exchange(address, method, path, headers, body)
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            return Answer()
    return Answer()


async def _exchange(address, method, path, headers, body) -> Answer:
    ip, _, port = address.rpartition(":")
    async with await trio.open_tcp_stream(ip, int(port)) as stream:
        protocol = h11.Connection(h11.CLIENT)
        data = protocol.send(h11.Request(method=method, target=path, headers=headers))
        if body:
            data += protocol.send(h11.Data(data=body))
        await stream.send_all(data + protocol.send(h11.EndOfMessage()))
        status, content = 0, b""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                content += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return Answer(status, _object(content))
            else:
                return Answer()


def _object(content: bytes) -> dict:
    try:
        fields = json.loads(content)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
