"""Rate limits of client accounts on one VM."""

from collections import Counter
from collections.abc import Mapping

import attrs

from bronzewall.edge.model import EdgeAccount
from bronzewall.edge.token_bucket import Bucket, OwnRate
from bronzewall.errors import RateExceededError

# A VM without a zone leader may admit at least one request at once.
_LOCAL_ROUNDING_TOKENS = 1.0
# A VM that received nothing from a zone leader for this long uses only its
# own quota share, seconds.
LEADER_TIMEOUT_S = 1.0
# A leader sends its status at least every 0.25 s. Without one for this long,
# seconds, a VM uses only the part of the zone's rate that it used before, or
# its own share.
_STATUS_TIMEOUT_S = 0.3
# Factor on that share: not all VMs use theirs at the same time.
_SHARE_FACTOR = 1.5
# Limits of the Retry-After of refused requests, seconds.
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 5.0


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
