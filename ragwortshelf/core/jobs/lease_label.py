"""Labels of leases, from which a new placer can rebuild a gang without the log."""

from __future__ import annotations

from dataclasses import dataclass

from ..model import Grant, JobSpec
from ..streams import Undecodable, decode, encode

__all__ = ["LeaseLabel", "decode_label", "encode_label"]


@dataclass(frozen=True, slots=True)
class LeaseLabel:
    """The job, the instance that accepted it, and the whole group of its attempt.

    ``boot_ids`` are the workers' boots at placement, in the order of ``grants``.
    ``is_off_log`` says that the job was accepted while the log was down.
    """

    spec: JobSpec
    accepted_by: str
    grants: tuple[Grant, ...]
    boot_ids: tuple[str, ...]
    is_off_log: bool = False


def encode_label(label: LeaseLabel) -> bytes:
    """Encode a label for a lease request."""
    return encode(label)


def decode_label(data: bytes) -> LeaseLabel | Undecodable:
    """Decode the label of a listed lease."""
    return decode(data, {"LeaseLabel": LeaseLabel})
