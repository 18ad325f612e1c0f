"""Admission of requests against the rate and burst of client accounts."""

import attrs

from bronzewall.config_model import Account
from bronzewall.errors import RateExceededError
from bronzewall.ports import Clock
from bronzewall.tokens import TokenBucket
from bronzewall.types import AccountId


@attrs.define(kw_only=True)
class StaticSplitQuota:
    """Baseline: each VM admits an equal share of rate and burst.

    :param share: this VM's share, 0 to 1.
    """

    clock: Clock
    share: float
    buckets_by_id: dict[AccountId, TokenBucket] = attrs.field(factory=dict)

    async def admit(self, account: Account) -> None:
        """Admit one request.

        :raises RateExceededError: the share is used up.
        """
        now = self.clock.now()
        bucket = self.buckets_by_id.get(account.account_id)
        if bucket is None:
            bucket = TokenBucket(
                rate=account.rate * self.share,
                burst=account.burst * self.share,
                tokens=account.burst * self.share,
                updated=now,
            )
            self.buckets_by_id[account.account_id] = bucket
        if not bucket.take(now):
            raise RateExceededError(retry_after=bucket.delay())
