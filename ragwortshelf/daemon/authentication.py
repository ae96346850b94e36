"""Authentication of callers by bearer token."""

from __future__ import annotations

import hmac
from dataclasses import dataclass

from ..net.http_messages import HttpRequest
from .settings import Settings

__all__ = ["Authenticator", "Principal"]

_ORGANISATION_HEADER = "x-organisation"


@dataclass(frozen=True, slots=True)
class Principal:
    """An authenticated operator, or a caller that belongs to one organisation."""

    is_operator: bool
    organisation: str = ""

    def may_access(self, organisation: str) -> bool:
        """Whether it may read and change resources of ``organisation``."""
        return self.is_operator or self.organisation == organisation


class Authenticator:
    """Identifies the principal of each request by its token.

    The token is always compared with all configured tokens, each in constant time. A
    deployment without any tokens admits everybody: the ``x-organisation`` header then
    names the caller's organisation, and a caller without the header is an operator.
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
        """Return the caller's principal, or None if the token is missing or unknown."""
        organisation = request.header(_ORGANISATION_HEADER)
        if self._is_open:
            return Principal(not organisation, organisation)
        scheme, _, token = request.header("authorization").partition(" ")
        if scheme.lower() != "bearer":
            return None
        matching_principal = None
        for configured_token, principal in self._principals:
            if hmac.compare_digest(configured_token, token.strip().encode("latin-1")):
                matching_principal = principal
        return matching_principal
