"""Short bounded queue of one service, fair across client accounts."""

import asyncio
import collections
import math

import attrs

from bronzewall.config_model import Instance, Route
from bronzewall.types import AccountId, InstanceId

# Requests admitted within about this time count against an account, so that
# one that missed its turn for want of a request can catch up.
USAGE_MEMORY_S = 5.0
# Part of the limit that an account may fill: all of it at the mean usage,
# more below it, and never less than the least part.
_LARGEST_PART = 3.0
_PART_PER_MEAN = 2.0
_LEAST_PART = 0.25
# Usage counts grow with time in place of decaying, which keeps a charge
# O(1); beyond this factor they are scaled back.
_REBASE_AT = 1e6
_NEGLIGIBLE = 1e-3
# Keeps the growth a float after hours without a request.
_MAX_EXPONENT = 100

AccountKey = AccountId | None


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """One request that waits for capacity.

    :param future: set to the instance when capacity was taken for it.
    :param excluded: instances already tried for this request.
    :param due: clock time from which it goes before all that are not due,
        so that no account's requests wait without bound.
    """

    account_id: AccountKey
    route: Route
    excluded: frozenset[InstanceId]
    due: float
    future: 'asyncio.Future[Instance]'


@attrs.define(kw_only=True, eq=False)
class FairQueue:
    """Waiting requests by account.

    Accounts are compared by their usage: the requests admitted for them
    in the recent past. The fuller the queue, the less usage is allowed
    for a further place, so at overload all accounts that ask for more
    than their fair part end at the same usage.
    """

    length: int = 0
    _waiting_by_account: dict[AccountKey, collections.deque[Waiter]] = (
        attrs.field(factory=dict)
    )
    _retries: list[Waiter] = attrs.field(factory=list)
    _usage_by_account: dict[AccountKey, float] = attrs.field(factory=dict)
    _total_usage: float = 0
    _credit_by_account: dict[AccountKey, float] = attrs.field(factory=dict)
    _origin: float = 0

    def charge(self, account_id: AccountKey, now: float) -> None:
        """Count one request admitted for an account.

        :param now: clock time in seconds.
        """
        age = min((now - self._origin) / USAGE_MEMORY_S, _MAX_EXPONENT)
        growth = math.exp(age)
        if growth > _REBASE_AT:
            self._rebase(now, growth)
            growth = 1
        used = self._usage_by_account.get(account_id, 0)
        self._usage_by_account[account_id] = used + growth
        self._total_usage += growth

    def thin(self, account_id: AccountKey, share: float) -> bool:
        """Return whether to admit one of a part of an account's requests.

        :param share: the part to admit, 0 to 1.
        """
        credit = self._credit_by_account.get(account_id, 1) + share
        is_admitted = credit >= 1
        self._credit_by_account[account_id] = credit - is_admitted
        return is_admitted

    def has_place(
        self, account_id: AccountKey, *, limit: float, favour: float = 1
    ) -> bool:
        """Return whether an account may have one more request waiting.

        :param limit: requests that may wait for accounts of mean usage.
        :param favour: divides the usage of an account that has had less
            than its part of the whole fleet.
        """
        if not self.length:
            return True
        used = self._usage_by_account.get(account_id, 0)
        mean = self._total_usage / max(1, len(self._usage_by_account))
        ratio = used / mean / favour if mean else 1
        part = _LARGEST_PART - _PART_PER_MEAN * ratio
        return self.length < limit * max(_LEAST_PART, part)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self.length += 1
        if waiter.excluded:
            # The instances left for a retry may be busy for long; it must
            # not hold up requests that may use others.
            self._retries.append(waiter)
            return
        waiting = self._waiting_by_account.get(waiter.account_id)
        if waiting is None:
            waiting = collections.deque()
            self._waiting_by_account[waiter.account_id] = waiting
        waiting.append(waiter)

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request; return whether it was still waiting."""
        if waiter in self._retries:
            self._retries.remove(waiter)
            self.length -= 1
            return True
        waiting = self._waiting_by_account.get(waiter.account_id)
        if waiting is None or waiter not in waiting:
            return False
        waiting.remove(waiter)
        self.length -= 1
        if not waiting:
            del self._waiting_by_account[waiter.account_id]
        return True

    def heads(self, now: float) -> list[Waiter]:
        """Return the requests that may be next, in order of service.

        These are the retries and each account's oldest request.

        :param now: clock time in seconds.
        """

        def rank(waiter: Waiter) -> tuple[bool, float]:
            if waiter.due <= now:
                return False, waiter.due
            return True, self._usage_by_account.get(waiter.account_id, 0)

        oldest = [waiting[0] for waiting in self._waiting_by_account.values()]
        return [*self._retries, *sorted(oldest, key=rank)]

    def _rebase(self, now: float, growth: float) -> None:
        self._origin = now
        self._usage_by_account = {
            account: used / growth
            for account, used in self._usage_by_account.items()
            if used / growth > _NEGLIGIBLE
        }
        self._credit_by_account.clear()
        self._total_usage = sum(self._usage_by_account.values())
