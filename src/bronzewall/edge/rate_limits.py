"""Rate limits of client accounts, divided among zones and VMs."""

import math
from collections import Counter
from collections.abc import Mapping

import attrs

from bronzewall.edge.model import EdgeAccount
from bronzewall.errors import RateExceededError
from bronzewall.types import AccountId

# A zone's share of a small burst can be less than one request. The zones may
# therefore use this fraction of the fleet's slack in addition, in equal
# shares; the rest covers messages in transit.
_SLACK_FRACTION = 0.8
_MAX_ROUNDING_TOKENS = 2.5
# A VM without a zone leader may admit at least one request at once.
_LOCAL_ROUNDING_TOKENS = 1.0
# Initial fill of a zone's buckets. A new process has no record of what
# was admitted before its start.
_INITIAL_FILL_FRACTION = 0.5
# A demand below this is dropped, requests a second.
_MIN_DEMAND_PER_S = 0.001
# Decay time of the demand by account, seconds.
_DEMAND_DECAY_TIME_S = 4.0
# A VM that received nothing from a zone leader for this long uses only its
# own quota share, seconds.
LEADER_TIMEOUT_S = 1.0
# A leader sends its status at least every 0.25 s. Without one for this long,
# seconds, a VM uses only the part of the zone's rate that it used before, or
# its own share.
_STATUS_TIMEOUT_S = 0.3
# Factor on that share: not all VMs use theirs at the same time.
_SHARE_FACTOR = 1.5
# Time constant of the rate at which a VM admits an account's requests, seconds.
_OWN_RATE_TIME_S = 2.0
# Limits of the Retry-After of refused requests, seconds.
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 5.0


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


@attrs.define(kw_only=True)
class Demand:
    """Requests a second by account, as a decaying mean."""

    _rates: dict[str, float] = attrs.field(factory=dict)
    _at: float = 0

    def add(self, counts: Mapping[str, int], *, now: float) -> None:
        """Count requests by account."""
        self._decay(now)
        for account_id, count in counts.items():
            added = count / _DEMAND_DECAY_TIME_S
            self._rates[account_id] = self._rates.get(account_id, 0) + added

    def rates(self, *, now: float) -> dict[str, float]:
        """Return the requests a second by account."""
        self._decay(now)
        return self._rates

    def _decay(self, now: float) -> None:
        elapsed = max(0, now - self._at)
        self._at = now
        remaining_fraction = max(0, 1 - elapsed / _DEMAND_DECAY_TIME_S)
        self._rates = {
            account_id: rate * remaining_fraction
            for account_id, rate in self._rates.items()
            if rate * remaining_fraction > _MIN_DEMAND_PER_S
        }


@attrs.frozen(kw_only=True)
class ZoneQuota:
    """What a zone may admit, as its leader tells the VMs.

    :param share: the zone's fraction of each account's rate and burst.
    :param extra: tokens of a full bucket beyond that of the burst.
    :param tokens: tokens by account, of those whose bucket is not full.
    """

    share: float
    extra: float
    tokens: dict[str, float] = attrs.field(factory=dict)

    def limit(self, account: EdgeAccount) -> float:
        """Return the tokens of a full bucket."""
        return account.burst * self.share + self.extra

    def rate(self, account: EdgeAccount) -> float:
        """Return the tokens a second."""
        return account.rate * self.share

    def levels(
        self, accounts: Mapping[AccountId, EdgeAccount]
    ) -> dict[str, float]:
        """Return the tokens of all limited accounts."""
        return {
            account.account_id: self.tokens.get(
                account.account_id, self.limit(account)
            )
            for account in accounts.values()
            if account.rate
        }

    def rates(
        self, accounts: Mapping[AccountId, EdgeAccount]
    ) -> dict[str, float]:
        """Return the tokens a second of all limited accounts."""
        return {
            account.account_id: self.rate(account)
            for account in accounts.values()
            if account.rate
        }


@attrs.define(kw_only=True, eq=False)
class ZonePools:
    """Token buckets of one zone by account, kept by its zone leader.

    Every zone has the same share of an account's rate and burst. Zones
    transfer tokens to one another where they are needed.

    :param zone_count: number of zones.
    :param slack: requests that the fleet may admit beyond burst and rate.
    """

    zone_count: int
    slack: float
    demand: Demand = attrs.field(factory=Demand)
    _buckets_by_id: dict[str, Bucket] = attrs.field(factory=dict)

    def take_over(self, levels: Mapping[str, float], *, now: float) -> None:
        """Continue the buckets of the leader before.

        :param levels: its tokens by account, as far as they are known.
        """
        self._buckets_by_id = {
            account_id: Bucket(level=level, at=now)
            for account_id, level in levels.items()
        }

    def consume(self, account_id: str, count: int) -> None:
        """Consume the tokens of requests that were admitted in the zone."""
        bucket = self._buckets_by_id.get(account_id)
        if bucket is not None:
            bucket.level -= count

    def level(self, account_id: str) -> float:
        """Return the tokens of an account as of the last refill."""
        bucket = self._buckets_by_id.get(account_id)
        # An account without a bucket has no limit.
        return math.inf if bucket is None else bucket.level

    def add(self, account_id: str, tokens: float) -> None:
        """Add tokens granted by another zone, or remove granted ones."""
        bucket = self._buckets_by_id.get(account_id)
        if bucket is not None:
            bucket.level += tokens

    def quota(
        self,
        accounts: Mapping[AccountId, EdgeAccount],
        *,
        fraction: float,
        now: float,
    ) -> 'ZoneQuota':
        """Return what the zone may admit now.

        :param fraction: fraction of the zone's VMs that follow this leader.
        """
        quota = ZoneQuota(
            share=fraction / self.zone_count,
            extra=self._rounding_tokens() * fraction,
        )
        for account in accounts.values():
            if not account.rate:
                continue
            limit = quota.limit(account)
            rate = quota.rate(account)
            bucket = self._buckets_by_id.get(account.account_id)
            if bucket is None:
                bucket = Bucket(level=limit * _INITIAL_FILL_FRACTION, at=now)
                self._buckets_by_id[account.account_id] = bucket
            bucket.refill(rate=rate, limit=limit, now=now)
            if bucket.level != limit:
                quota.tokens[account.account_id] = round(bucket.level, 2)
        return quota

    def _rounding_tokens(self) -> float:
        return min(
            _MAX_ROUNDING_TOKENS, self.slack * _SLACK_FRACTION / self.zone_count
        )


@attrs.define(kw_only=True, eq=False)
class Admission:
    """Applies the rate limits of accounts on this VM.

    :param vm_count: number of VMs of the fleet.
    """

    vm_count: int = 1
    admitted: Counter[str] = attrs.field(factory=Counter)
    requested: Counter[str] = attrs.field(factory=Counter)
    _last_contact_at: float = float('-inf')
    _zone_buckets_by_id: dict[str, Bucket] = attrs.field(factory=dict)
    _refill_rates_by_id: Mapping[str, float] = attrs.field(factory=dict)
    _local_buckets_by_id: dict[str, Bucket] = attrs.field(factory=dict)
    _own_rates_by_id: dict[str, OwnRate] = attrs.field(factory=dict)

    def update_from_leader(
        self,
        *,
        tokens: Mapping[str, float],
        refill: Mapping[str, float],
        now: float,
    ) -> None:
        """Store the zone's tokens as the zone leader reports them.

        Requests that this VM admitted and has not reported yet are
        subtracted.
        """
        self._last_contact_at = now
        self._refill_rates_by_id = refill
        self._zone_buckets_by_id = {
            account_id: Bucket(level=level - self.admitted[account_id], at=now)
            for account_id, level in tokens.items()
        }

    def admit(self, account: EdgeAccount, *, now: float) -> None:
        """Consume one token.

        :raises RateExceededError: less than one token is available.
        """
        if not account.rate:
            return
        account_id = account.account_id
        self.requested[account_id] += 1
        bucket, rate = self._bucket(account, now)
        if bucket.level < 1:
            seconds_to_token = (
                (1 - bucket.level) / rate if rate else _MAX_RETRY_AFTER_S
            )
            raise RateExceededError(
                retry_after=min(
                    _MAX_RETRY_AFTER_S,
                    max(_MIN_RETRY_AFTER_S, seconds_to_token),
                ),
                detail=(
                    f'{account_id}: {bucket.level:.2f} tokens,'
                    f' {rate:.2f}/s here of {account.rate:g}/s,'
                    ' last contact with a zone leader'
                    f' {now - self._last_contact_at:.2f} s ago'
                ),
            )
        bucket.level -= 1
        self.admitted[account_id] += 1
        if now - self._last_contact_at < _STATUS_TIMEOUT_S:
            # Without a leader the VM would measure its own refill.
            own_rate = self._own_rates_by_id.setdefault(account_id, OwnRate())
            own_rate.count(now=now)

    def tokens(self, account: EdgeAccount, *, now: float) -> float:
        """Return how many requests of an account could be admitted now."""
        return self._bucket(account, now)[0].level

    def refund(self, account: EdgeAccount) -> None:
        """Refund the token of a request that no instance ran."""
        if not account.rate:
            return
        account_id = account.account_id
        self.admitted[account_id] -= 1
        for buckets in (self._zone_buckets_by_id, self._local_buckets_by_id):
            if account_id in buckets:
                buckets[account_id].level += 1

    def zone_levels(self) -> dict[str, float]:
        """Return the zone's tokens by account as this VM last knew them."""
        return {
            account_id: bucket.level
            for account_id, bucket in self._zone_buckets_by_id.items()
        }

    def uses_zone_pool(self, *, now: float) -> bool:
        """Return whether the last contact with a zone leader is recent."""
        return now - self._last_contact_at < LEADER_TIMEOUT_S

    def _bucket(self, account: EdgeAccount, now: float) -> tuple[Bucket, float]:
        account_id = account.account_id
        zone_bucket = self._zone_buckets_by_id.get(account_id)
        if zone_bucket is not None and self.uses_zone_pool(now=now):
            rate = self._refill_rates_by_id.get(account_id, 0)
            limit = max(1, account.burst)
            status_due_at = self._last_contact_at + _STATUS_TIMEOUT_S
            zone_bucket.refill(
                rate=rate, limit=limit, now=min(now, status_due_at)
            )
            if now > status_due_at:
                own_rate = self._own_rates_by_id.get(account_id, OwnRate())
                share = _SHARE_FACTOR * account.rate / self.vm_count
                rate = min(rate, max(share, own_rate.rate(now=status_due_at)))
                zone_bucket.refill(rate=rate, limit=limit, now=now)
            return zone_bucket, rate
        rate = account.rate / self.vm_count
        limit = account.burst / self.vm_count + _LOCAL_ROUNDING_TOKENS
        local_bucket = self._local_buckets_by_id.get(account_id)
        if local_bucket is None:
            local_bucket = Bucket(level=limit, at=now)
            self._local_buckets_by_id[account_id] = local_bucket
        local_bucket.refill(rate=rate, limit=limit, now=now)
        return local_bucket, rate
