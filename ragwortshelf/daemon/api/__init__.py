"""The HTTP interface of callers and operators, versioned under ``/v1``.

``router`` finds the handler of a call and its principal; ``jobs``, ``requests``,
``releases`` and ``operations`` hold the handlers of one subject each, and ``outcomes``
the responses that they share. The calls are documented in ``docs/api.md``.
"""

from .router import ApiCall, Router

__all__ = ["ApiCall", "Router"]
