"""Token buckets of accounts and the rate of one VM's own requests."""

import math

import attrs

# Time constant of the rate at which a VM admits an account's requests, seconds.
_OWN_RATE_TIME_S = 2.0


@attrs.define(kw_only=True)
class Bucket:
    """Token bucket that may be overdrawn.

    :param level: tokens at the time ``at``; negative if other VMs admitted
        requests that were counted only later.
    :param at: clock time of the last refill, seconds.
    """

    level: float
    at: float

    def refill(self, *, rate: float, limit: float, now: float) -> None:
        """Add the tokens accrued since the last call.

        :param rate: tokens a second.
        :param limit: level above which nothing is added.
        """
        elapsed = max(0, now - self.at)
        self.at = max(self.at, now)
        # Tokens transferred from another zone may exceed the limit. They are
        # kept until they are used, and no refill is added meanwhile.
        if self.level < limit:
            self.level = min(limit, self.level + rate * elapsed)


@attrs.define(kw_only=True)
class OwnRate:
    """Requests a second of one account on this VM, as a decaying mean."""

    _rate: float = 0
    _at: float = 0

    def count(self, *, now: float) -> None:
        """Count one request."""
        self._rate = self.rate(now=now) + 1 / _OWN_RATE_TIME_S
        self._at = now

    def rate(self, *, now: float) -> float:
        """Return the requests a second."""
        elapsed = max(0, now - self._at)
        return self._rate * math.exp(-elapsed / _OWN_RATE_TIME_S)


@attrs.frozen(kw_only=True)
class KnownLevel:
    """Tokens of a zone as a new leader knows them.

    :param level: tokens as of the last status of the leader before.
    :param gained: tokens that have accrued since.
    """

    level: float
    gained: float = 0
