"""Settings of the share protocol, and the state of other instances in it."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ShareMember", "ShareSettings"]


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """Bounds on which the safety of shares depends, in milliseconds.

    ``list_lag_ms`` bounds how stale an answer of the instance list may be, and
    ``margin_ms`` covers the drift of clocks over a lease. ``isolated_slots`` is how
    many requests an instance without a share runs on each endpoint while no peer that
    answers holds one; the endpoint itself refuses requests beyond its slots without
    running them.
    """

    lease_ms: int = 3_000
    list_lag_ms: int = 2_000
    margin_ms: int = 250
    isolated_slots: int = 1

    @property
    def exclusion_ms(self) -> int:
        """Time after which an unlisted and unanswered instance is excluded."""
        return self.lease_ms + self.list_lag_ms + self.margin_ms


@dataclass(slots=True)
class ShareMember:
    """What an instance knows about another instance of its data centre.

    The masks hold tokens by endpoint: ``wanted_by_endpoint`` those that the member asks
    for, ``promised_by_endpoint`` those that this instance promised to it, and
    ``granted_by_endpoint`` those that it promised to this instance. ``replied_ms`` is
    when this instance last replied to the member, and ``acknowledged_sent_ms`` is when
    this instance sent the last heartbeat that the member answered.
    ``absent_since_ms`` is since when the instance list has not named the member.
    """

    incarnation: int = -1
    received_sequence: int = -1
    sent_sequence: int = -1
    is_listed: bool = False
    absent_since_ms: int | None = None
    replied_ms: int | None = None
    acknowledged_sent_ms: int | None = None
    holds_share: bool = False
    is_leaving: bool = False
    is_draining: bool = False
    has_ended: bool = False
    is_excluded: bool = False
    wanted_by_endpoint: dict[str, int] = field(default_factory=dict)
    granted_by_endpoint: dict[str, int] = field(default_factory=dict)
    promised_by_endpoint: dict[str, int] = field(default_factory=dict)

    def reset_for_incarnation(self, incarnation: int) -> None:
        """Reset the state for a new incarnation.

        A new incarnation runs at the member's address, so the old one has ended.
        """
        self.incarnation = incarnation
        self.received_sequence = -1
        self.is_draining = False
        self.has_ended = False
        self.is_excluded = False
        self.holds_share = False
        self.clear_tokens()

    def clear_tokens(self) -> None:
        """Clear all masks: the member holds no tokens and promises none."""
        self.wanted_by_endpoint = {}
        self.promised_by_endpoint = {}
        self.granted_by_endpoint = {}
