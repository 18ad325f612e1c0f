"""Rate and burst of client accounts, shared by zones and by VMs."""

import math
from collections import Counter
from collections.abc import Mapping

import attrs

from bronzewall.edge.model import EdgeAccount
from bronzewall.errors import RateExceededError
from bronzewall.types import AccountId

# A part of a small burst admits no whole request. Every zone may have this
# part of the fleet's slack besides; the rest covers messages on their way.
_SLACK_PART = 0.8
_MAX_ROUNDING_TOKENS = 2.5
# A VM without a hub may admit one request at once.
_OWN_ROUNDING_TOKENS = 1.0
# A process that starts does not know what was admitted before.
_START_PART = 0.5
# Demand below this is forgotten, requests a second.
_LEAST_DEMAND = 0.001
# Time constant of the demand by account, seconds.
_DEMAND_MEMORY_S = 4.0
# Without word from the hub for this long a VM uses only its own right.
LEADER_TIMEOUT_S = 1.0
# Shortest time after which a refused caller is asked to come back, seconds.
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 5.0


@attrs.define(kw_only=True)
class Bucket:
    """Tokens that refill over time and may be overdrawn.

    :param level: tokens at the time ``at``; negative after others admitted
        requests that were not known yet.
    """

    level: float
    at: float

    def refill(self, *, rate: float, limit: float, now: float) -> None:
        """Add the tokens since the last call.

        :param rate: tokens a second.
        :param limit: most tokens.
        """
        elapsed = max(0, now - self.at)
        self.at = now
        # Tokens of another zone may stand above the limit until they are
        # used; nothing is added to them.
        if self.level < limit:
            self.level = min(limit, self.level + rate * elapsed)


@attrs.define(kw_only=True)
class Demand:
    """Requests a second by account, as a fading mean."""

    _rates: dict[str, float] = attrs.field(factory=dict)
    _at: float = 0

    def add(self, counts: Mapping[str, int], *, now: float) -> None:
        """Count requests."""
        self._fade(now)
        for account_id, count in counts.items():
            added = count / _DEMAND_MEMORY_S
            self._rates[account_id] = self._rates.get(account_id, 0) + added

    def rates(self, *, now: float) -> dict[str, float]:
        """Return requests a second by account."""
        self._fade(now)
        return self._rates

    def _fade(self, now: float) -> None:
        elapsed = max(0, now - self._at)
        self._at = now
        keep = max(0, 1 - elapsed / _DEMAND_MEMORY_S)
        self._rates = {
            account_id: rate * keep
            for account_id, rate in self._rates.items()
            if rate * keep > _LEAST_DEMAND
        }


@attrs.define(kw_only=True, eq=False)
class ZonePools:
    """Tokens of one zone, kept by its hub.

    Every zone has the same part of an account's rate and burst; tokens move
    to where they are used.

    :param zone_count: number of zones.
    :param slack: requests beyond burst and rate that the fleet may admit.
    """

    zone_count: int
    slack: float
    demand: Demand = attrs.field(factory=Demand)
    _buckets_by_id: dict[str, Bucket] = attrs.field(factory=dict)

    def consume(self, account_id: str, count: int) -> None:
        """Count requests that were admitted in the zone."""
        bucket = self._buckets_by_id.get(account_id)
        if bucket is not None:
            bucket.level -= count

    def level(self, account_id: str) -> float:
        """Return the tokens as of the last refill."""
        bucket = self._buckets_by_id.get(account_id)
        # An account without a bucket has no limit.
        return math.inf if bucket is None else bucket.level

    def add(self, account_id: str, tokens: float) -> None:
        """Add tokens that another zone has given up, or take some off."""
        bucket = self._buckets_by_id.get(account_id)
        if bucket is not None:
            bucket.level += tokens

    def levels(
        self,
        accounts: Mapping[AccountId, EdgeAccount],
        *,
        fraction: float,
        now: float,
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Return tokens and tokens a second of the zone by account.

        :param fraction: part of the zone's VMs that this hub speaks for.
        """
        levels: dict[str, float] = {}
        refills: dict[str, float] = {}
        for account in accounts.values():
            if not account.rate:
                continue
            share = fraction / self.zone_count
            limit = account.burst * share + self._rounding() * fraction
            rate = account.rate * share
            bucket = self._buckets_by_id.get(account.account_id)
            if bucket is None:
                bucket = Bucket(level=limit * _START_PART, at=now)
                self._buckets_by_id[account.account_id] = bucket
            bucket.refill(rate=rate, limit=limit, now=now)
            levels[account.account_id] = round(bucket.level, 2)
            refills[account.account_id] = round(rate, 3)
        return levels, refills

    def _rounding(self) -> float:
        return min(
            _MAX_ROUNDING_TOKENS, self.slack * _SLACK_PART / self.zone_count
        )


@attrs.define(kw_only=True, eq=False)
class Admission:
    """Decides on this VM whether an account may have one more request.

    :param vm_count: number of VMs of the fleet.
    """

    vm_count: int = 1
    admitted: Counter[str] = attrs.field(factory=Counter)
    requested: Counter[str] = attrs.field(factory=Counter)
    _heard_at: float = float('-inf')
    _zone_by_id: dict[str, Bucket] = attrs.field(factory=dict)
    _refill_by_id: Mapping[str, float] = attrs.field(factory=dict)
    _own_by_id: dict[str, Bucket] = attrs.field(factory=dict)

    def update_from_leader(
        self,
        *,
        tokens: Mapping[str, float],
        refill: Mapping[str, float],
        now: float,
    ) -> None:
        """Take over the zone's tokens as the hub knows them.

        Requests that were admitted here and not reported yet are taken off.
        """
        self._heard_at = now
        self._refill_by_id = refill
        self._zone_by_id = {
            account_id: Bucket(level=level - self.admitted[account_id], at=now)
            for account_id, level in tokens.items()
        }

    def admit(self, account: EdgeAccount, *, now: float) -> None:
        """Take one token.

        :raises RateExceededError: there is none.
        """
        if not account.rate:
            return
        name = account.account_id
        self.requested[name] += 1
        bucket, rate = self._bucket(account, now)
        if bucket.level < 1:
            missing = (1 - bucket.level) / rate if rate else _MAX_RETRY_AFTER_S
            raise RateExceededError(
                retry_after=min(
                    _MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, missing)
                ),
                detail=(
                    f'{name}: {bucket.level:.2f} tokens, {rate:.2f}/s here'
                    f' of {account.rate:g}/s,'
                    f' heard {now - self._heard_at:.2f} s ago'
                ),
            )
        bucket.level -= 1
        self.admitted[name] += 1

    def refund(self, account: EdgeAccount) -> None:
        """Return the token of a request that was not sent to an instance."""
        if not account.rate:
            return
        name = account.account_id
        self.admitted[name] -= 1
        for buckets in (self._zone_by_id, self._own_by_id):
            if name in buckets:
                buckets[name].level += 1

    def uses_zone_pool(self, *, now: float) -> bool:
        """Return whether the hub was heard lately."""
        return now - self._heard_at < LEADER_TIMEOUT_S

    def _bucket(self, account: EdgeAccount, now: float) -> tuple[Bucket, float]:
        name = account.account_id
        zone = self._zone_by_id.get(name)
        if zone is not None and self.uses_zone_pool(now=now):
            rate = self._refill_by_id.get(name, 0)
            zone.refill(rate=rate, limit=max(1, account.burst), now=now)
            return zone, rate
        rate = account.rate / self.vm_count
        limit = account.burst / self.vm_count + _OWN_ROUNDING_TOKENS
        own = self._own_by_id.get(name)
        if own is None:
            own = Bucket(level=limit, at=now)
            self._own_by_id[name] = own
        own.refill(rate=rate, limit=limit, now=now)
        return own, rate
