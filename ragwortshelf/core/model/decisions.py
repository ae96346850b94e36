"""Routing and placement decisions, as one value for each line of the decision log."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Decision"]


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision with its reason.

    ``kind`` names the decision (``route_request``, ``place_job``, ``reclaim_job``…),
    ``subject`` what it is about (a request or job id), ``choice`` what was chosen
    (an endpoint, ``worker:0,1+worker:2``, ``wait``, ``refuse``), and ``passed_over``
    the ways that were weighed and left, each as ``name: why``.
    """

    kind: str
    subject: str
    choice: str
    reason: str
    passed_over: tuple[str, ...] = ()
    organisation: str = ""
