"""HTTP interface for callers and operators, versioned under ``/v1``.

``router`` finds the handler and the principal of a call. ``jobs``, ``requests``,
``releases``, ``operations`` and ``health`` contain the handlers of one subject each,
and ``outcomes`` the responses that they share. ``docs/api.md`` documents the calls.
"""

from .router import ApiCall, Router

__all__ = ["ApiCall", "Router"]
