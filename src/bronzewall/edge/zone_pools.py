"""Token buckets of accounts that a zone leader keeps for its zone."""

import math
from collections import Counter, defaultdict
from collections.abc import Mapping

import attrs

from bronzewall.edge.model import EdgeAccount
from bronzewall.edge.token_bucket import Bucket, KnownLevel
from bronzewall.types import AccountId

# A zone's share of a small burst can be less than one request. The zones may
# therefore use this fraction of the fleet's slack in addition, in equal
# shares; the rest covers messages in transit.
_SLACK_FRACTION = 0.8
_MAX_ROUNDING_TOKENS = 2.5
# VMs that follow a new leader report to it within this time, seconds; later
# ones count as having used their own part.
_FIRST_REPORTS_S = 1.5
# They report what they admitted without a leader within this time, seconds: a
# status and a report, each at most 0.25 s after the other.
_LATE_REPORTS_S = 0.5
# Fraction of the zone that a new leader has to hear.
_MAJORITY = 0.5
# A demand below this is dropped, requests a second.
_MIN_DEMAND_PER_S = 0.001
# Decay time of the demand by account, seconds.
_DEMAND_DECAY_TIME_S = 4.0


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
    :param started_at: clock time of the start of the process. Buckets that no
        leader before has told of hold no burst then: nobody is left to ask
        what was admitted earlier.
    """

    zone_count: int
    slack: float
    started_at: float
    demand: Demand = attrs.field(factory=Demand)
    _buckets_by_id: dict[str, Bucket] = attrs.field(factory=dict)
    # Bursts of the configuration, to notice lower ones.
    _bursts_by_id: dict[str, float] = attrs.field(factory=dict)
    # Admitted requests of accounts that have no bucket yet.
    _uncharged: Counter[str] = attrs.field(factory=Counter)
    _fraction: float = 1
    # Tokens accrued between two leaders, and those taken of them.
    _gained_by_id: dict[str, float] = attrs.field(factory=dict)
    _taken_gains: defaultdict[str, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    # Tokens by account for VMs that a new leader has not heard yet.
    _withheld_by_id: dict[str, float] = attrs.field(factory=dict)
    _took_over_at: float = float('-inf')

    def take_over(
        self, levels: Mapping[str, KnownLevel], *, now: float
    ) -> None:
        """Continue the buckets of the leader before.

        :param levels: its tokens by account, as far as they are known.
        """
        self._buckets_by_id = {
            account_id: Bucket(level=known.level, at=now)
            for account_id, known in levels.items()
        }
        self._gained_by_id = {
            account_id: known.gained for account_id, known in levels.items()
        }
        self._fraction = 1
        self._taken_gains.clear()
        self._withheld_by_id = {}
        self._took_over_at = now

    def consume(self, account_id: str, count: int) -> None:
        """Consume the tokens of requests that were admitted in the zone."""
        bucket = self._buckets_by_id.get(account_id)
        if bucket is None:
            # Reports come before the first status that creates the bucket.
            self._uncharged[account_id] += count
        else:
            # What was admitted between two leaders used what accrued then.
            bucket.level -= count - self._take_gain(account_id, count)

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
        self._divide(fraction, now)
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
                # The fleet's slack covers what is there beyond the burst.
                bucket = Bucket(level=quota.extra, at=self.started_at)
                self._buckets_by_id[account.account_id] = bucket
            self._clamp(account, bucket, limit)
            if self._is_doubtful(now):
                rate = 0
            gained = self._usable_gain(account.account_id, bucket, limit, now)
            bucket.level += gained
            bucket.refill(rate=rate, limit=limit, now=now)
            bucket.level -= self._uncharged.pop(account.account_id, 0)
            if bucket.level != limit:
                quota.tokens[account.account_id] = round(bucket.level, 2)
        return quota

    def _divide(self, fraction: float, now: float) -> None:
        """Give up the tokens of VMs that this leader does not hear.

        They may use their own part. A new leader keeps the tokens for a time
        in which the VMs may begin to report to it.
        """
        is_new = now - self._took_over_at < _FIRST_REPORTS_S
        if not is_new:
            self._withheld_by_id = {}
        if now - self._took_over_at >= _LATE_REPORTS_S:
            self._gained_by_id = {}
        if fraction < self._fraction:
            self._shrink(fraction / self._fraction, is_new=is_new)
        elif fraction > self._fraction:
            self._release((fraction - self._fraction) / (1 - self._fraction))
        self._fraction = fraction

    def _clamp(
        self, account: EdgeAccount, bucket: Bucket, limit: float
    ) -> None:
        """Drop the tokens beyond a burst that operators have lowered.

        Tokens of other zones may otherwise exceed the limit.
        """
        before = self._bursts_by_id.get(account.account_id, account.burst)
        self._bursts_by_id[account.account_id] = account.burst
        if account.burst < before:
            bucket.level = min(bucket.level, limit)

    def _is_doubtful(self, now: float) -> bool:
        """Return whether another leader may still hand out the rate.

        A leader that hears less than half of its zone may be cut off from the
        rest, whose leader leaves it out only after some time.
        """
        is_new = now - self._took_over_at < _FIRST_REPORTS_S
        return is_new and self._fraction < _MAJORITY

    def _usable_gain(
        self, account_id: str, bucket: Bucket, limit: float, now: float
    ) -> float:
        """Take the tokens that accrued between two leaders and that fit."""
        if self._is_doubtful(now):
            return 0
        return self._take_gain(account_id, limit - bucket.level)

    def _take_gain(self, account_id: str, wanted: float) -> float:
        """Take what accrued between two leaders for the VMs that are heard."""
        gained = self._gained_by_id.get(account_id, 0)
        left = gained * self._fraction - self._taken_gains[account_id]
        taken = max(0, min(wanted, left))
        self._taken_gains[account_id] += taken
        return taken

    def _shrink(self, kept: float, *, is_new: bool) -> None:
        for account_id, bucket in self._buckets_by_id.items():
            withheld = max(0, bucket.level) * (1 - kept)
            bucket.level -= withheld
            if is_new:
                held = self._withheld_by_id.get(account_id, 0)
                self._withheld_by_id[account_id] = held + withheld

    def _release(self, released: float) -> None:
        for account_id, withheld in self._withheld_by_id.items():
            bucket = self._buckets_by_id.get(account_id)
            if bucket is not None:
                bucket.level += withheld * released
            self._withheld_by_id[account_id] = withheld * (1 - released)

    def _rounding_tokens(self) -> float:
        return min(
            _MAX_ROUNDING_TOKENS, self.slack * _SLACK_FRACTION / self.zone_count
        )
