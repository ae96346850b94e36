"""The HTTP interface of callers and operators, versioned under ``/v1``.

``router`` finds the handler of a call and its principal; ``jobs``, ``requests``,
``releases`` and ``operations`` hold the handlers of one subject each. The calls and
their outcomes are documented in ``docs/api.md``.
"""

from .router import ApiCall, Router

__all__ = ["ApiCall", "Router"]
