"""Pairs of rate share and burst share, and the tokens under them."""

import functools
import hashlib
import heapq
import math

import attrs

from bronzewall.config_model import Account
from bronzewall.tokens import TokenBucket
from bronzewall.types import AccountId, VmId

# Relative drift between two clocks that the margins cover.
CLOCK_DRIFT = 0.01
# A request waits at most this long for a token before it is refused.
LONGEST_WAIT_S = 0.1
_DIGEST_BYTES = 8
_DIGEST_RANGE = 2 ** (8 * _DIGEST_BYTES)
_GOLDEN_RATIO = 0.6180339887498949
_CACHED_ACCOUNTS = 4096


@attrs.frozen(kw_only=True)
class QuotaShare:
    """Rate share and burst share of one account; both move together.

    :param rate: requests a second.
    :param burst: most tokens held under this right.
    """

    rate: float = 0
    burst: float = 0

    def plus(self, other: 'QuotaShare') -> 'QuotaShare':
        """Return the sum."""
        return QuotaShare(
            rate=self.rate + other.rate, burst=self.burst + other.burst
        )

    def minus(self, other: 'QuotaShare') -> 'QuotaShare':
        """Return the difference, never below zero."""
        return QuotaShare(
            rate=max(self.rate - other.rate, 0),
            burst=max(self.burst - other.burst, 0),
        )

    def upper(self, other: 'QuotaShare') -> 'QuotaShare':
        """Return the larger value of each share."""
        return QuotaShare(
            rate=max(self.rate, other.rate), burst=max(self.burst, other.burst)
        )

    def lower(self, other: 'QuotaShare') -> 'QuotaShare':
        """Return the smaller value of each share."""
        return QuotaShare(
            rate=min(self.rate, other.rate), burst=min(self.burst, other.burst)
        )


NO_SHARE = QuotaShare()


def quota_share_of(account: Account, *, units: int) -> QuotaShare:
    """Return the right of some of an account's burst tokens.

    Each token of burst carries the same part of the rate, so that no
    slot holds a rate that it cannot spend.
    """
    if account.burst <= 0:
        return NO_SHARE
    return QuotaShare(rate=account.rate * units / account.burst, burst=units)


@functools.lru_cache(maxsize=_CACHED_ACCOUNTS)
def unit_positions(
    account_id: AccountId, burst: int, slot_count: int
) -> dict[int, tuple[float, ...]]:
    """Return positions in 0 to 1 of an account's burst tokens, by slot.

    The tokens are dealt to ``min(slot_count, burst)`` slots chosen by
    hash. Positions of all tokens are spread evenly, so that any division
    of the range divides the tokens in about the same proportion.
    """
    ranked = sorted(
        range(slot_count), key=lambda slot: _digest(account_id, slot)
    )
    chosen = ranked[:burst]
    start = _digest(account_id, slot_count) / _DIGEST_RANGE
    positions: dict[int, list[float]] = {slot: [] for slot in chosen}
    for unit in range(burst):
        slot = chosen[unit % len(chosen)]
        positions[slot].append(math.modf(start + unit * _GOLDEN_RATIO)[0])
    return {slot: tuple(found) for slot, found in positions.items()}


def _digest(account_id: AccountId, slot: int) -> int:
    text = f'{account_id}\0{slot}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


@attrs.frozen(kw_only=True)
class Loan:
    """A right lent by one VM.

    :param end: clock time after which nothing is granted from it.
    """

    quota_share: QuotaShare
    end: float


@attrs.frozen(kw_only=True, order=True)
class _Outstanding:
    """Grants that may still be used."""

    expires: float
    count: int


@attrs.define(kw_only=True)
class Pool:
    """Loans of one account and the tokens under them.

    Tokens and grants that may still be used are together never more than
    the burst share. The bound therefore holds when a grant is used, not
    only when it is given.

    :param updated: clock time of ``tokens``.
    """

    updated: float
    tokens: float = 0
    outstanding: int = 0
    quota_share: QuotaShare = NO_SHARE
    loans_by_lender: dict[VmId, Loan] = attrs.field(factory=dict)
    _grants: list[_Outstanding] = attrs.field(factory=list)
    # No loan ends before this time.
    _next_end: float = float('inf')
    _promised: float = 0
    _promised_at: float = 0

    def adopt(self, *, lender: VmId, loan: Loan, now: float) -> None:
        """Replace what a VM has lent; the tokens stay or are clipped."""
        self.settle(now)
        before = self.loans_by_lender.get(lender)
        if loan.end <= now or loan.quota_share.burst <= 0:
            if before is None:
                return
            self.loans_by_lender.pop(lender)
        else:
            self.loans_by_lender[lender] = loan
            if before is not None and before.quota_share == loan.quota_share:
                self._next_end = min(self._next_end, loan.end)
                return
        self._sum_up()

    def burst_of(self, lender: VmId) -> float:
        """Return the burst share that a VM has lent."""
        loan = self.loans_by_lender.get(lender)
        return loan.quota_share.burst if loan else 0

    def settle(self, now: float) -> None:
        """Bring tokens, loans and grants up to a clock time."""
        while self._next_end <= now:
            end = self._next_end
            self._accrue_through_grants(end)
            self.loans_by_lender = {
                lender: kept
                for lender, kept in self.loans_by_lender.items()
                if kept.end > end
            }
            self._sum_up()
        self._accrue_through_grants(now)

    def grant(self, *, count: int, now: float, lifetime: float) -> int:
        """Grant up to ``count`` requests and return how many.

        :param lifetime: seconds in which the grants may still be used.
        """
        self.settle(now)
        granted = min(count, int(self.tokens))
        if granted > 0:
            self.tokens -= granted
            if lifetime > 0:
                self._hold_back(granted, now + lifetime * (1 + CLOCK_DRIFT))
        return granted

    def delay(self, now: float) -> float:
        """Return the seconds to the next token that is not promised.

        A caller that can wait so long is promised the token, so that the
        next caller gets a later time.
        """
        self.settle(now)
        if self.quota_share.rate <= 0:
            return float('inf')
        accrued = self.quota_share.rate * (now - self._promised_at)
        self._promised = max(self._promised - accrued, 0)
        self._promised_at = now
        missing = max(1 - self.tokens, 0) + self._promised
        delay = missing / self.quota_share.rate
        if delay <= LONGEST_WAIT_S:
            self._promised += 1
        return delay

    def _hold_back(self, count: int, expires: float) -> None:
        heapq.heappush(self._grants, _Outstanding(expires=expires, count=count))
        self.outstanding += count

    def _accrue_through_grants(self, now: float) -> None:
        while self._grants and self._grants[0].expires <= now:
            grant = heapq.heappop(self._grants)
            self._accrue(grant.expires)
            self.outstanding -= grant.count
        self._accrue(now)

    def _accrue(self, now: float) -> None:
        bucket = self._bucket()
        bucket.accrue(now)
        self.tokens, self.updated = bucket.tokens, bucket.updated

    def _bucket(self) -> TokenBucket:
        return TokenBucket(
            rate=self.quota_share.rate,
            burst=max(self.quota_share.burst - self.outstanding, 0),
            tokens=self.tokens,
            updated=self.updated,
        )

    def _sum_up(self) -> None:
        total = NO_SHARE
        self._next_end = float('inf')
        for loan in self.loans_by_lender.values():
            total = total.plus(loan.quota_share)
            self._next_end = min(self._next_end, loan.end)
        self.quota_share = total
        self._accrue(self.updated)
