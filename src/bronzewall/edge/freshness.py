"""Decides whether this VM's keys are recent enough to serve callers."""

import math

import attrs
import structlog

from bronzewall.ports import Clock

# Fraction of the bound for withdrawn keys after which keys are stale and no
# longer accepted. The bound counts from when a caller sends, so the remainder
# covers only the transit to this VM and clock errors.
_TRUSTED_FRACTION = 0.9
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class KeyFreshness:
    """Age of the newest confirmation that no key was withdrawn.

    :param bound: seconds within which a withdrawn key must stop working.
    :param confirmed_at: clock time of the newest confirmation.
    """

    clock: Clock
    bound: float
    confirmed_at: float = -math.inf
    _was_fresh: bool = False

    def confirm(self, at: float) -> None:
        """Record a confirmation from the store or from another VM."""
        self.confirmed_at = max(self.confirmed_at, at)

    def age(self) -> float:
        """Return seconds since the newest confirmation."""
        return self.clock.now() - self.confirmed_at

    def is_fresh(self) -> bool:
        """Return whether requests with keys may be served."""
        age = self.age()
        fresh = age < self.bound * _TRUSTED_FRACTION
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            _LOG.info(
                'keys_trusted' if fresh else 'keys_not_trusted',
                age=None if math.isinf(age) else round(age, 3),
            )
        return fresh
