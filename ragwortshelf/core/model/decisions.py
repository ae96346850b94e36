"""Routing and placement decisions: one value per line of the decision log."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Decision"]


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision with its reason.

    ``kind`` is the kind of decision (``route_request``, ``place_job``,
    ``reclaim_job``…) and ``subject`` the id of the request or job. ``choice`` is what
    was chosen (an endpoint, ``worker:0,1+worker:2``, ``wait``, ``refuse``), and
    ``passed_over`` lists the rejected alternatives, each as ``name: why``.
    """

    kind: str
    subject: str
    choice: str
    reason: str
    passed_over: tuple[str, ...] = ()
    organisation: str = ""
