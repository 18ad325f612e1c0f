"""Short bounded queue of one service, fair across client accounts."""

import asyncio
import collections
import math

import attrs

from bronzewall.config_model import Instance, Route
from bronzewall.types import AccountId, InstanceId

# Requests served within about this time count against an account, so that
# one that missed its turn for want of a request can catch up.
USAGE_MEMORY_S = 2.0
# Usage counts grow with time in place of decaying, which keeps a charge
# O(1); beyond this factor they are scaled back.
_REBASE_AT = 1e6
_NEGLIGIBLE = 1e-3

AccountKey = AccountId | None


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """One request that waits for capacity.

    :param future: set to the instance when capacity was taken for it.
    :param excluded: instances already tried for this request.
    """

    account_id: AccountKey
    route: Route
    excluded: frozenset[InstanceId]
    future: 'asyncio.Future[Instance]'


@attrs.define(kw_only=True, eq=False)
class FairQueue:
    """Waiting requests by account.

    The next request is the oldest one of the account that was served
    least in the recent past, as counted by ``charge``.
    """

    length: int = 0
    _waiting_by_account: dict[AccountKey, collections.deque[Waiter]] = (
        attrs.field(factory=dict)
    )
    _usage_by_account: dict[AccountKey, float] = attrs.field(factory=dict)
    _origin: float = 0

    def charge(self, account_id: AccountKey, now: float) -> None:
        """Count one request served for an account.

        :param now: clock time in seconds.
        """
        growth = math.exp(min((now - self._origin) / USAGE_MEMORY_S, 100))
        if growth > _REBASE_AT:
            self._rebase(now, growth)
            growth = 1.0
        used = self._usage_by_account.get(account_id, 0)
        self._usage_by_account[account_id] = used + growth

    def ahead_of(self, account_id: AccountKey) -> int:
        """Return how many requests would be served before a new one."""
        used = self._usage_by_account.get(account_id, 0)
        own = len(self._waiting_by_account.get(account_id, ()))
        ahead = own
        for other, waiting in self._waiting_by_account.items():
            if other == account_id:
                continue
            goes_first = self._usage_by_account.get(other, 0) < used
            ahead += min(len(waiting), own + goes_first)
        return ahead

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        waiting = self._waiting_by_account.get(waiter.account_id)
        if waiting is None:
            waiting = collections.deque()
            self._waiting_by_account[waiter.account_id] = waiting
        waiting.append(waiter)
        self.length += 1

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request; return whether it was still waiting."""
        waiting = self._waiting_by_account.get(waiter.account_id)
        if waiting is None or waiter not in waiting:
            return False
        waiting.remove(waiter)
        self.length -= 1
        if not waiting:
            del self._waiting_by_account[waiter.account_id]
        return True

    def heads(self) -> list[Waiter]:
        """Return each account's oldest request, in order of service."""
        accounts = sorted(
            self._waiting_by_account,
            key=lambda key: self._usage_by_account.get(key, 0),
        )
        return [self._waiting_by_account[account][0] for account in accounts]

    def _rebase(self, now: float, growth: float) -> None:
        self._origin = now
        self._usage_by_account = {
            account: used / growth
            for account, used in self._usage_by_account.items()
            if used / growth > _NEGLIGIBLE
        }
