"""Settings of share lending, and what is known of the other possible holders."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ShareMember", "ShareSettings"]


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """Bounds that the safety of shares rests on, in milliseconds.

    ``list_lag_ms`` bounds how old an answer of the instance list may be; ``margin_ms``
    covers the drift of clocks over a lease. ``isolated_slots`` is how many requests an
    instance without a share runs on each endpoint while it hears of no holder; the
    endpoint itself refuses what is beyond its slots, with proof.
    """

    lease_ms: int = 3_000
    list_lag_ms: int = 2_000
    margin_ms: int = 250
    isolated_slots: int = 1

    @property
    def exclusion_ms(self) -> int:
        """How long an instance is left out and silent before it is excluded."""
        return self.lease_ms + self.list_lag_ms + self.margin_ms


@dataclass(slots=True)
class ShareMember:
    """What an instance knows of another one of its data centre.

    Masks hold tokens by endpoint: ``wanted`` and ``promised`` are what the member asks
    for and was promised, ``granted`` what it promised to this instance.
    """

    incarnation: int = -1
    heard_sequence: int = -1
    sent_sequence: int = -1
    is_listed: bool = False
    absent_since_ms: int | None = None
    answered_ms: int | None = None
    acknowledged_asked_ms: int | None = None
    holds_share: bool = False
    is_leaving: bool = False
    is_draining: bool = False
    has_ended: bool = False
    is_excluded: bool = False
    wanted_by_endpoint: dict[str, int] = field(default_factory=dict)
    granted_by_endpoint: dict[str, int] = field(default_factory=dict)
    promised_by_endpoint: dict[str, int] = field(default_factory=dict)

    def forget_incarnation(self, incarnation: int) -> None:
        """A new incarnation runs at the member's address, so the old one has ended."""
        self.incarnation = incarnation
        self.heard_sequence = -1
        self.is_draining = False
        self.has_ended = False
        self.is_excluded = False
        self.holds_share = False
        self.forget_tokens()

    def forget_tokens(self) -> None:
        """The member holds nothing any more and promises nothing."""
        self.wanted_by_endpoint = {}
        self.promised_by_endpoint = {}
        self.granted_by_endpoint = {}
