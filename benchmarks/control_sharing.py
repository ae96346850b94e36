"""Network traffic of the state shared among instances, for three methods of sharing.

``changes`` sends each entry once per connection, as the membership machine does.
``push`` repeats all state in each heartbeat. ``digest`` lists the versions of all
entries in each heartbeat, and differing entries are fetched with a request. All three
are counted over the same run, from the encoded sizes.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass

from ragwortshelf.core.membership import Entry, Heartbeat, Profile, Published
from ragwortshelf.core.streams.codec import encode

from .control_network import Deflate, VirtualNetwork, VirtualNode, instances

__all__ = ["SIZES", "Size", "measure_sharing", "publish_load", "publish_revision"]

WARM_UP_MS = 15_000
MEASURED_MS = 20_000
WAYS = ("changes", "push", "digest")

LOAD_INTERVAL_MS = 1_000
QUEUES_INTERVAL_MS = 5_000
REVISION_INTERVAL_MS = 5_000
ENDPOINTS_PER_DATA_CENTRE = 8


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a deployment; "two_years" assumes four instances per data centre."""

    name: str
    data_centres: int
    instances_per_data_centre: int
    workers: int
    organisations: int
    leases_per_worker: int

    @property
    def instances(self) -> int:
        """Number of instances in all data centres."""
        return self.data_centres * self.instances_per_data_centre


SIZES = (
    Size("today", 3, 2, workers=24, organisations=4, leases_per_worker=4),
    Size("two_years", 6, 4, workers=830, organisations=390, leases_per_worker=2),
)


@dataclass(frozen=True, slots=True)
class _Load:
    free_slots: int
    waiting: int
    in_flight_by_endpoint: dict[str, int]


@dataclass(frozen=True, slots=True)
class _Queues:
    waiting_by_organisation: dict[str, int]


@dataclass(frozen=True, slots=True)
class _Revision:
    revision: int
    read_wall_ms: int


@dataclass(frozen=True, slots=True)
class _Version:
    owner: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class _Digest:
    versions: tuple[_Version, ...]


@dataclass(frozen=True, slots=True)
class _Fetch:
    owner_keys: tuple[str, ...]


def publish_load(network: VirtualNetwork, node: VirtualNode, size: Size) -> None:
    """Make an instance publish load, queue lengths and revision periodically.

    At any time, one organisation in ten has waiting requests at an instance.
    """
    rng = network.rng
    waiting = max(1, size.organisations // 10)

    def publish_load_entry() -> None:
        in_flight = {
            f"endpoint-{index}": rng.randrange(8)
            for index in range(ENDPOINTS_PER_DATA_CENTRE)
        }
        _publish("load", _Load(rng.randrange(64), rng.randrange(100), in_flight))
        network.after(LOAD_INTERVAL_MS, publish_load_entry)

    def publish_queue_entry() -> None:
        names = rng.sample(range(size.organisations), waiting)
        by_name = {f"organisation-{n}": rng.randrange(100) for n in names}
        _publish("queues", _Queues(by_name))
        network.after(QUEUES_INTERVAL_MS, publish_queue_entry)

    def _publish(key, value) -> None:
        network.feed(node, Published(key, encode(value)))

    for publish in (publish_load_entry, publish_queue_entry):
        network.after(rng.randrange(1_000), publish)
    publish_revision(network, node)


def publish_revision(network: VirtualNetwork, node: VirtualNode) -> None:
    """Make an instance publish the revision in force and when it was last confirmed."""

    def publish_revision_entry() -> None:
        value = _Revision(1_000, 1_800_000_000_000 + network.now_ms)
        network.feed(node, Published("revision", encode(value)))
        network.after(REVISION_INTERVAL_MS, publish_revision_entry)

    network.after(network.rng.randrange(REVISION_INTERVAL_MS), publish_revision_entry)


class _Counter:
    """Counts the bytes that each method would send for every heartbeat."""

    def __init__(self):
        self.reset()
        self._deflate_by_stream: dict[tuple[str, str, str], Deflate] = {}
        self._profile_by_name: dict[str, Profile] = {}
        self._entry_by_key: dict[tuple[str, str], Entry] = {}

    def reset(self) -> None:
        """Set all counts to zero."""
        self.plain_by_way = dict.fromkeys(WAYS, 0)
        self.compressed_by_way = dict.fromkeys(WAYS, 0)

    def count(self, connection_id: str, heartbeat: Heartbeat) -> None:
        """Count one heartbeat sent over a connection."""
        for profile in heartbeat.profiles:
            self._profile_by_name[profile.instance.name] = profile
        for entry in heartbeat.entries:
            self._entry_by_key[entry.owner, entry.key] = entry
        names = {beat.name for beat in heartbeat.beats}
        entries = tuple(
            entry for (owner, _), entry in self._entry_by_key.items() if owner in names
        )
        profiles = tuple(self._profile_by_name[name] for name in sorted(names))
        full_heartbeat = dataclasses.replace(
            heartbeat, profiles=profiles, entries=entries
        )
        stream = (connection_id, heartbeat.sender)
        self._add("changes", stream, encode(heartbeat))
        self._add("push", stream, encode(full_heartbeat))
        self._add("digest", stream, _digest_messages(heartbeat, entries))

    def _add(self, way: str, stream: tuple[str, str], data: bytes) -> None:
        deflate = self._deflate_by_stream.setdefault((way, *stream), Deflate())
        self.plain_by_way[way] += len(data)
        self.compressed_by_way[way] += len(deflate.compress(data))


def _digest_messages(heartbeat: Heartbeat, entries: tuple[Entry, ...]) -> bytes:
    """Return the encoded digest, and the request and answer if entries differ.

    Both directions are counted for the sender of the digest.
    """
    heartbeat_without_state = dataclasses.replace(heartbeat, profiles=(), entries=())
    versions = tuple(_Version(e.owner, e.key, e.version) for e in entries)
    data = encode(heartbeat_without_state) + encode(_Digest(versions))
    if heartbeat.entries or heartbeat.profiles:
        wanted_keys = tuple(f"{e.owner}/{e.key}" for e in heartbeat.entries)
        answer = dataclasses.replace(heartbeat, beats=())
        data += encode(_Fetch(wanted_keys)) + encode(answer)
    return data


def measure_sharing(seed: int) -> Iterator[dict]:
    """Yield the bytes per second sent by a node, by size and method."""
    for size in SIZES:
        network = VirtualNetwork(seed)
        network.start_all(instances(size.data_centres, size.instances_per_data_centre))
        for node in network.node_by_name.values():
            publish_load(network, node, size)
        counter = _Counter()
        network.on_heartbeat = counter.count
        network.run(WARM_UP_MS)
        counter.reset()
        network.run(MEASURED_MS)
        node_seconds = MEASURED_MS / 1000 * size.instances
        yield {
            "measure": "shared_state",
            "size": size.name,
            "instances": size.instances,
            "bytes_per_s_sent_by_way": _rates(counter.plain_by_way, node_seconds),
            "compressed_bytes_per_s_sent_by_way": _rates(
                counter.compressed_by_way, node_seconds
            ),
        }


def _rates(count_by_way: dict[str, int], seconds: float) -> dict[str, int]:
    return {way: round(count / seconds) for way, count in count_by_way.items()}
