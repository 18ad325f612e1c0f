"""Short bounded queue of one service, fair across client accounts."""

import asyncio
import collections
import math

import attrs

from bronzewall.config_model import Instance, Route
from bronzewall.types import AccountId, InstanceId

# Time constant of the decay of an account's usage. Only recent requests
# count, so an account that was idle for a while may catch up.
USAGE_DECAY_S = 5.0
# Multiple of the length limit up to which an account may fill the queue: 1
# at the mean usage, more below it, and never less than the minimum.
_MAX_LIMIT_FACTOR = 3.0
_FACTOR_PER_MEAN_USAGE = 2.0
_MIN_LIMIT_FACTOR = 0.25
# Instead of decaying all usage counts, newer requests count more, which
# keeps a charge O(1). Beyond this factor all counts are scaled down.
_MAX_GROWTH = 1e6
_NEGLIGIBLE_USAGE = 1e-3
# Keeps the growth within a float after hours without a request.
_MAX_EXPONENT = 100

AccountKey = AccountId | None


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """One request that waits for capacity.

    :param future: set to the instance when a slot was taken for it.
    :param excluded: instances already tried for this request.
    :param due: clock time from which it is served before all requests that
        are not due, so that no account's requests wait without bound.
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
    in the recent past. The longer the queue, the lower the usage up to
    which an account may add a request. Under overload all accounts that
    request more than their fair share therefore converge to the same
    usage.
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
        age = min((now - self._origin) / USAGE_DECAY_S, _MAX_EXPONENT)
        growth = math.exp(age)
        if growth > _MAX_GROWTH:
            self._rebase(now, growth)
            growth = 1
        used = self._usage_by_account.get(account_id, 0)
        self._usage_by_account[account_id] = used + growth
        self._total_usage += growth

    def sample(self, account_id: AccountKey, fraction: float) -> bool:
        """Sample an account's requests; return whether to admit this one.

        :param fraction: fraction of the account's requests to admit, 0 to
            1.
        """
        credit = self._credit_by_account.get(account_id, 1) + fraction
        is_admitted = credit >= 1
        self._credit_by_account[account_id] = credit - is_admitted
        return is_admitted

    def may_enqueue(
        self, account_id: AccountKey, *, limit: float, usage_divisor: float = 1
    ) -> bool:
        """Return whether an account may have one more request waiting.

        :param limit: queue length up to which an account of mean usage
            may add requests.
        :param usage_divisor: reduces the usage of an account that has had
            less than its share of the whole fleet.
        """
        if not self.length:
            return True
        used = self._usage_by_account.get(account_id, 0)
        mean = self._total_usage / max(1, len(self._usage_by_account))
        ratio = used / mean / usage_divisor if mean else 1
        limit_factor = _MAX_LIMIT_FACTOR - _FACTOR_PER_MEAN_USAGE * ratio
        return self.length < limit * max(_MIN_LIMIT_FACTOR, limit_factor)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self.length += 1
        if waiter.excluded:
            # The instances left for a retry may be busy for long. The
            # retry must not block requests that may use other instances.
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

    def next_waiters(self, now: float) -> list[Waiter]:
        """Return the requests to try next, in order of service.

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
            if used / growth > _NEGLIGIBLE_USAGE
        }
        self._credit_by_account.clear()
        self._total_usage = sum(self._usage_by_account.values())
