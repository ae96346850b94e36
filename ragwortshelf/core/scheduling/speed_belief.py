"""What is believed of one endpoint's speed: a Gaussian posterior of its logarithm."""

from __future__ import annotations

import enum
import math

__all__ = ["PRIOR_PRECISION", "SpeedBelief", "SpeedClass"]

PRIOR_SPREAD = 0.35
"""Standard deviation of the log speed of an endpoint of which nothing is known: speeds
of 0.6 to 1.6 are usual in the specified deployments."""

PRIOR_PRECISION = PRIOR_SPREAD**-2

HALF_LIFE_MS = 60_000
"""Time in which past observations lose half of their weight, so that an endpoint that
has changed is learned anew."""

SETTLED_PRECISION_MAX = 300.0
"""Limit of the precision from ended runs, about that of twelve. It leaves an error of
0.06, which tells speeds of 0.89 and 1.12 from 1; with more, a change takes longer."""

SLOW_BELOW = 0.9
FAST_FROM = 1.12
"""Relative speeds that bound the classes."""

CLASS_ERROR_SHARE = 0.5
"""Largest standard error of a class, as a share of the distance of the log speed from
that of a usual endpoint. With 0.6, or 0.65 for distances from 0.25 on, 3 of 24 equal
endpoints were called slow or fast where estimates are wrong by nine tenths."""


class SpeedClass(enum.IntEnum):
    """Class of an endpoint's speed; endpoints of unknown speed are USUAL."""

    SLOW = 0
    USUAL = 1
    FAST = 2


class SpeedBelief:
    """Posterior of an endpoint's log speed relative to others.

    The information is the sum of a constant prior, of *settled* runs, which fades with
    age, and of *open* ones, whose observations may still change. ``speed`` and
    ``error`` are the posterior mean and the standard deviation of the logarithm, as of
    the last ``refresh``. ``open_steps`` belongs to the tracker.
    """

    __slots__ = (
        "_open_precision",
        "_open_sum",
        "_settled_ms",
        "_settled_precision",
        "_settled_sum",
        "error",
        "listed_clock_ms",
        "listed_ms",
        "log_speed",
        "open_steps",
        "precision",
        "speed",
        "speed_class",
    )

    def __init__(self):
        self._settled_precision = 0.0
        self._settled_sum = 0.0
        self._settled_ms = 0
        self._open_precision = 0.0
        self._open_sum = 0.0
        self.listed_ms: int | None = None
        self.listed_clock_ms = 0
        self.open_steps: dict = {}
        self.speed_class = SpeedClass.USUAL
        self.refresh(0)

    def settle(self, precision: float, log_speed: float, now_ms: int) -> None:
        """Add what ended runs say; a precision of zero says nothing."""
        self._fade(now_ms)
        self._settled_precision += precision
        self._settled_sum += precision * log_speed
        if self._settled_precision > SETTLED_PRECISION_MAX:
            self._scale(SETTLED_PRECISION_MAX / self._settled_precision)

    def discount(self, share: float, now_ms: int) -> None:
        """Keep only a share of what is known, as a run contradicts it."""
        self._fade(now_ms)
        self._scale(share)

    def observed(self) -> tuple[float, float]:
        """Return the precision and the mean of what was observed, without the prior."""
        precision, total = self.information()
        precision -= PRIOR_PRECISION
        return precision, total / precision if precision > 0 else 0.0

    def restore(self, precision: float, log_speed: float, age_ms: int, now_ms: int):
        """Take over what an earlier term observed, aged by ``age_ms``."""
        share = 0.5 ** (max(0, age_ms) / HALF_LIFE_MS)
        self.settle(precision * share, log_speed, now_ms)
        self.refresh(now_ms)

    def replace_open(self, before: tuple, after: tuple) -> None:
        """Replace what open runs said, as pairs of precision and log speed."""
        self._open_precision += after[0] - before[0]
        self._open_sum += after[0] * after[1] - before[0] * before[1]

    def refresh(self, now_ms: int) -> bool:
        """Compute the posterior as of now; returns whether the class has changed."""
        self._fade(now_ms)
        self.precision, total = self.information()
        self.log_speed = total / self.precision
        self.error = self.precision**-0.5
        self.speed = math.exp(self.log_speed)
        before = self.speed_class
        self.speed_class = self._class()
        return self.speed_class is not before

    def information(self) -> tuple[float, float]:
        """Return the precision and its product with the mean, without a refresh."""
        precision = PRIOR_PRECISION + self._settled_precision + self._open_precision
        return precision, self._settled_sum + self._open_sum

    def _class(self) -> SpeedClass:
        if self.error > CLASS_ERROR_SHARE * abs(self.log_speed):
            return SpeedClass.USUAL
        if self.speed < SLOW_BELOW:
            return SpeedClass.SLOW
        return SpeedClass.FAST if self.speed >= FAST_FROM else SpeedClass.USUAL

    def _fade(self, now_ms: int) -> None:
        age_ms = now_ms - self._settled_ms
        if age_ms > 0 and self._settled_precision:
            self._scale(0.5 ** (age_ms / HALF_LIFE_MS))
        self._settled_ms = max(now_ms, self._settled_ms)

    def _scale(self, share: float) -> None:
        self._settled_precision *= share
        self._settled_sum *= share
