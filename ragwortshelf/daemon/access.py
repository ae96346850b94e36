"""Who a caller is, by its bearer token."""

from __future__ import annotations

import hmac
from dataclasses import dataclass

from ..net.http_messages import HttpRequest
from .settings import Settings

__all__ = ["Access", "Principal"]

_ORGANISATION_HEADER = "x-organisation"


@dataclass(frozen=True, slots=True)
class Principal:
    """An operator, or a caller of one organisation."""

    is_operator: bool
    organisation: str = ""

    def may_see(self, organisation: str) -> bool:
        """Whether it may see and touch what belongs to ``organisation``."""
        return self.is_operator or self.organisation == organisation


class Access:
    """Tells principals apart.

    Every configured token is compared in constant time, and always all of them. A
    deployment with no token at all lets everybody in; the caller's organisation is
    then what its ``x-organisation`` header says, and without one it is an operator.
    """

    def __init__(self, settings: Settings):
        self._is_open = settings.is_open
        self._principals = [
            (token.encode(), Principal(is_operator=True))
            for token in settings.operator_tokens
        ]
        self._principals += [
            (token.encode(), Principal(False, organisation))
            for token, organisation in settings.organisation_tokens.items()
        ]

    def identify(self, request: HttpRequest) -> Principal | None:
        """Return who calls, or None if the token is missing or unknown."""
        organisation = request.header(_ORGANISATION_HEADER)
        if self._is_open:
            return Principal(not organisation, organisation)
        scheme, _, token = request.header("authorization").partition(" ")
        if scheme.lower() != "bearer":
            return None
        found = None
        for known, principal in self._principals:
            if hmac.compare_digest(known, token.strip().encode("latin-1")):
                found = principal
        return found
