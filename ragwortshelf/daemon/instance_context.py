"""Interface through which the services of one instance access each other."""

from __future__ import annotations

import abc

from ..core.model import Configuration
from ..net.peers import PeerNetwork
from .membership import MembershipService
from .settings import Settings
from .streams import StreamService

__all__ = ["InstanceContext"]


class InstanceContext(abc.ABC):
    """The parts of an instance that its services need.

    ``Node`` implements it and passes itself to the services, which therefore need not
    import the module that creates them.
    """

    settings: Settings
    incarnation: int
    is_draining: bool
    membership: MembershipService
    network: PeerNetwork
    streams: StreamService

    @property
    @abc.abstractmethod
    def configuration(self) -> Configuration:
        """The configuration in force here."""

    @abc.abstractmethod
    def deadline_ms(self, timeout_ms: int) -> int:
        """Return the monotonic time ``timeout_ms`` from now."""

    @abc.abstractmethod
    def unready_reason(self) -> str:
        """Return why callers should not be sent here; empty if they may be."""
