"""Reads a deployment file and describes the processes to run for it.

The file lists data centres with their instances, racks of workers and endpoints; see
``deployments/agency/deployment.toml``. Each gets loopback addresses, with consecutive
ports from a base port on.
"""

from __future__ import annotations

import itertools
import sys
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["Deployment", "ProcessSpec"]

_HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class ProcessSpec:
    """Command line of one process, and the environment added to its parent's."""

    name: str
    arguments: tuple[str, ...]
    environment: Mapping[str, str] = field(default_factory=dict)


class Deployment:
    """Addresses, members and processes of one deployment.

    ``fields`` is the parsed deployment file; ``ports``, if given, is used instead of
    ports counted from its base port. ``secret`` is shared by the instances.
    """

    def __init__(
        self,
        fields: dict,
        *,
        ports: Iterable[int] | None = None,
        secret: str = "s" * 16,
    ):
        self._fields = fields
        self._secret = secret
        self._ports = iter(ports or itertools.count(fields["port_base"]))
        self.data_centres = tuple(fields["data_centres"])
        self.log_address = self._next_address()
        self.list_address = self._next_address()
        self.address_by_endpoint = self._assign_addresses(
            endpoint
            for centre in self._data_centre_tables()
            for endpoint in centre["endpoints"]
        )
        self.address_by_worker = self._assign_addresses(
            worker
            for centre in self._data_centre_tables()
            for workers in centre["racks"].values()
            for worker in workers
        )
        names = [
            name
            for centre in self._data_centre_tables()
            for name in centre["instances"]
        ]
        self.api_address_by_instance = self._assign_addresses(names)
        self.peer_address_by_instance = self._assign_addresses(names)

    @classmethod
    def load(cls, path: Path, *, ports: Iterable[int] | None = None) -> Deployment:
        """Read a deployment file; ports are counted from its base port by default."""
        return cls(tomllib.loads(path.read_text()), ports=ports)

    def instances_of(self, data_centre: str) -> tuple[str, ...]:
        """Return the names of the instances in a data centre."""
        return tuple(self._fields["data_centres"][data_centre]["instances"])

    def members(self) -> dict:
        """Return all members, in the format of the list service."""
        return {
            "instances": list(self._instance_rows()),
            "workers": list(self._worker_rows()),
            "endpoints": list(self._endpoint_rows()),
        }

    def platform_processes(self, members_file: Path) -> list[ProcessSpec]:
        """Return the processes of the log, the list, the workers and the endpoints."""
        specs = [
            _stand_in_process("log", "log", "--address", self.log_address),
            _stand_in_process(
                "list",
                "instance_list",
                "--address",
                self.list_address,
                "--members",
                str(members_file),
            ),
        ]
        for name, centre in self._fields["data_centres"].items():
            specs.append(self._endpoint_process(name, centre))
            for rack, workers in centre["racks"].items():
                specs.append(self._worker_process(name, rack, workers))
        return specs

    def instance_process(self, instance: str, **settings: str) -> ProcessSpec:
        """Return the process of an instance.

        ``settings`` add to or replace the settings that its environment holds.
        """
        (data_centre,) = (
            name for name in self.data_centres if instance in self.instances_of(name)
        )
        values = {
            "instance": instance,
            "data_centre": data_centre,
            "api_address": self.api_address_by_instance[instance],
            "peer_address": self.peer_address_by_instance[instance],
            "log_address": self.log_address,
            "list_address": self.list_address,
            "peer_secret": self._secret,
            **settings,
        }
        environment = {
            f"RAGWORTSHELF_{key.upper()}": value for key, value in values.items()
        }
        arguments = (sys.executable, "-m", "ragwortshelf.daemon.main")
        return ProcessSpec(instance, arguments, environment)

    def _data_centre_tables(self):
        return self._fields["data_centres"].values()

    def _next_address(self) -> str:
        return f"{_HOST}:{next(self._ports)}"

    def _assign_addresses(self, names) -> dict[str, str]:
        return {name: self._next_address() for name in names}

    def _instance_rows(self):
        for data_centre in self.data_centres:
            for name in self.instances_of(data_centre):
                yield {
                    "name": name,
                    "data_centre": data_centre,
                    "api_address": self.api_address_by_instance[name],
                    "peer_address": self.peer_address_by_instance[name],
                    "state": "live",
                }

    def _worker_rows(self):
        for data_centre, centre in self._fields["data_centres"].items():
            for rack, workers in centre["racks"].items():
                for name in workers:
                    yield {
                        "name": name,
                        "data_centre": data_centre,
                        "rack": rack,
                        "address": self.address_by_worker[name],
                        "accelerators": self._fields["worker"]["accelerators"],
                        "state": "live",
                    }

    def _endpoint_rows(self):
        for data_centre, centre in self._fields["data_centres"].items():
            for name in centre["endpoints"]:
                yield {
                    "name": name,
                    "data_centre": data_centre,
                    "address": self.address_by_endpoint[name],
                    **self._fields["endpoint"],
                    "state": "live",
                }

    def _endpoint_process(self, data_centre: str, centre: dict) -> ProcessSpec:
        entries = [
            f"{name}@{self.address_by_endpoint[name]}" for name in centre["endpoints"]
        ]
        return _stand_in_process(
            f"{data_centre}-endpoints",
            "endpoint",
            "--endpoints",
            ",".join(entries),
            *_flags(self._fields["endpoint"]),
        )

    def _worker_process(self, data_centre: str, rack: str, workers) -> ProcessSpec:
        entries = [f"{name}@{self.address_by_worker[name]}" for name in workers]
        return _stand_in_process(
            f"{rack}-workers",
            "worker",
            "--workers",
            ",".join(entries),
            "--data_centre",
            data_centre,
            "--rack",
            rack,
            *_flags(self._fields["worker"]),
        )


def _stand_in_process(name: str, module: str, *arguments: str) -> ProcessSpec:
    command = (sys.executable, "-m", f"ragwortshelf.standins.{module}", *arguments)
    return ProcessSpec(name, command)


def _flags(fields: dict) -> list[str]:
    return [word for key, value in fields.items() for word in (f"--{key}", str(value))]
