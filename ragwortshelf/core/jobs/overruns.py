"""Rules for jobs that use more time or memory than they declared."""

from __future__ import annotations

from dataclasses import dataclass

from ..model import Configuration
from ..releases import rule_value
from .actions import Action, CommandTask, GangCommand
from .gang import Gang

__all__ = ["OverrunRules"]


@dataclass(frozen=True, slots=True)
class OverrunRules:
    """Limits as multiples of the declared time and memory; 0 disables a rule.

    They come from the rules ``time_throttle_factor``, ``time_stop_factor``,
    ``memory_throttle_factor`` and ``memory_stop_factor`` of the configuration. A job
    that declares no limit never exceeds one. Reported peaks lag behind actual use, so
    the rules protect the shares of other jobs on a best-effort basis, and no guarantee
    may depend on them.
    """

    time_throttle_factor: float = 0.0
    time_stop_factor: float = 0.0
    memory_throttle_factor: float = 0.0
    memory_stop_factor: float = 0.0

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> OverrunRules:
        """Return the rules set in ``configuration``."""
        return cls(
            **{
                name: float(rule_value(configuration, name))
                for name in cls.__dataclass_fields__
            }
        )

    def stop_reason(self, gang: Gang, now_ms: int) -> str | None:
        """Return why a running gang must be stopped, or None if it may go on."""
        return _describe_overrun(
            gang, now_ms, self.time_stop_factor, self.memory_stop_factor
        )

    def throttle_actions(self, gang: Gang, now_ms: int) -> list[Action]:
        """Return commands that throttle the gang, once, if a rule requires it."""
        factors = self.time_throttle_factor, self.memory_throttle_factor
        if gang.is_throttled or _describe_overrun(gang, now_ms, *factors) is None:
            return []
        gang.is_throttled = True
        claim = gang.claim
        return [
            CommandTask(
                member.worker,
                claim.job_id,
                claim.attempt,
                member.lease_id,
                GangCommand.THROTTLE,
            )
            for member in gang.members
        ]


def _describe_overrun(
    gang: Gang, now_ms: int, time_factor: float, memory_factor: float
) -> str | None:
    spec = gang.spec
    run_ms = now_ms - gang.started_ms
    time_limit_ms = spec.declared_run_ms * time_factor
    if time_limit_ms and run_ms > time_limit_ms:
        return f"ran {run_ms} ms, {spec.declared_run_ms} ms were declared"
    peak_bytes = gang.peak_memory_bytes
    memory_limit_bytes = spec.declared_memory_bytes * memory_factor
    if memory_limit_bytes and peak_bytes > memory_limit_bytes:
        declared_bytes = spec.declared_memory_bytes
        return f"used {peak_bytes} bytes, {declared_bytes} were declared"
    return None
