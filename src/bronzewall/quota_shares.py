"""Quota shares of accounts, loans of them and their token pools."""

import functools
import hashlib
import heapq
import math

import attrs

from bronzewall.config_model import Account
from bronzewall.tokens import TokenBucket
from bronzewall.types import AccountId, VmId

# Relative drift between the clocks of two VMs that the margins allow for.
CLOCK_DRIFT = 0.01
# A request waits at most this long for a token before it is refused.
MAX_TOKEN_WAIT_S = 0.1
_DIGEST_BYTES = 8
_DIGEST_RANGE = 2 ** (8 * _DIGEST_BYTES)
_GOLDEN_RATIO = 0.6180339887498949
_CACHED_ACCOUNTS = 4096


@attrs.frozen(kw_only=True)
class QuotaShare:
    """Rate and burst of an account that a VM or a pool may use.

    :param rate: requests a second.
    :param burst: maximum number of tokens held under this share.
    """

    rate: float = 0
    burst: float = 0

    def plus(self, other: 'QuotaShare') -> 'QuotaShare':
        """Return the sum of both shares."""
        return QuotaShare(
            rate=self.rate + other.rate, burst=self.burst + other.burst
        )

    def minus(self, other: 'QuotaShare') -> 'QuotaShare':
        """Return the difference, with zero as the minimum."""
        return QuotaShare(
            rate=max(self.rate - other.rate, 0),
            burst=max(self.burst - other.burst, 0),
        )

    def maximum(self, other: 'QuotaShare') -> 'QuotaShare':
        """Return the larger rate and the larger burst."""
        return QuotaShare(
            rate=max(self.rate, other.rate), burst=max(self.burst, other.burst)
        )

    def minimum(self, other: 'QuotaShare') -> 'QuotaShare':
        """Return the smaller rate and the smaller burst."""
        return QuotaShare(
            rate=min(self.rate, other.rate), burst=min(self.burst, other.burst)
        )


NO_SHARE = QuotaShare()


def quota_share_of(account: Account, *, units: int) -> QuotaShare:
    """Return the quota share for some of an account's burst tokens.

    Each burst token carries the same fraction of the rate, so that no
    slot has a rate without the burst to use it.

    :param units: number of burst tokens.
    """
    if account.burst <= 0:
        return NO_SHARE
    return QuotaShare(rate=account.rate * units / account.burst, burst=units)


@functools.lru_cache(maxsize=_CACHED_ACCOUNTS)
def unit_positions(
    account_id: AccountId, burst: int, slot_count: int
) -> dict[int, tuple[float, ...]]:
    """Return the positions, 0 to 1, of an account's burst tokens by slot.

    The tokens are distributed round-robin to ``min(slot_count, burst)``
    slots chosen by hash. The positions are spread evenly, so that
    splitting the range splits the tokens in about the same proportion.
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
    """A quota share lent by one VM.

    :param end: clock time from which nothing is granted from it.
    """

    quota_share: QuotaShare
    end: float


@attrs.frozen(kw_only=True, order=True)
class _OutstandingGrants:
    """Unexpired grants that count against the burst share."""

    expires: float
    count: int


@attrs.define(kw_only=True)
class Pool:
    """Loans of one account and the token bucket that they fill.

    The sum of tokens and unexpired grants never exceeds the burst share.
    The limit therefore holds when a grant is used, not only when it is
    issued.

    :param updated: clock time at which ``tokens`` was computed.
    :param outstanding: number of requests in unexpired grants.
    """

    updated: float
    tokens: float = 0
    outstanding: int = 0
    quota_share: QuotaShare = NO_SHARE
    loans_by_lender: dict[VmId, Loan] = attrs.field(factory=dict)
    _grants: list[_OutstandingGrants] = attrs.field(factory=list)
    # Earliest end of a loan.
    _next_loan_end: float = float('inf')
    _reserved: float = 0
    _reserved_at: float = 0

    def set_loan(self, *, lender: VmId, loan: Loan, now: float) -> None:
        """Replace the loan of a VM; tokens above the new burst are dropped."""
        self.advance(now)
        before = self.loans_by_lender.get(lender)
        if loan.end <= now or loan.quota_share.burst <= 0:
            if before is None:
                return
            self.loans_by_lender.pop(lender)
        else:
            self.loans_by_lender[lender] = loan
            if before is not None and before.quota_share == loan.quota_share:
                self._next_loan_end = min(self._next_loan_end, loan.end)
                return
        self._update_totals()

    def burst_of(self, lender: VmId) -> float:
        """Return the burst share that a VM has lent."""
        loan = self.loans_by_lender.get(lender)
        return loan.quota_share.burst if loan else 0

    def advance(self, now: float) -> None:
        """Accrue tokens and expire loans and grants up to a clock time."""
        while self._next_loan_end <= now:
            end = self._next_loan_end
            self._accrue_and_expire_grants(end)
            self.loans_by_lender = {
                lender: loan
                for lender, loan in self.loans_by_lender.items()
                if loan.end > end
            }
            self._update_totals()
        self._accrue_and_expire_grants(now)

    def grant(self, *, count: int, now: float, lifetime: float) -> int:
        """Grant up to ``count`` requests and return how many.

        :param lifetime: seconds for which the grants are valid; 0 if they are
            used at once.
        """
        self.advance(now)
        granted = min(count, int(self.tokens))
        if granted > 0:
            self.tokens -= granted
            if lifetime > 0:
                self._record_grant(granted, now + lifetime * (1 + CLOCK_DRIFT))
        return granted

    def delay(self, now: float) -> float:
        """Return the seconds until the next token that is not reserved.

        The token is reserved for a caller that may wait this long, so
        that the next caller gets a later time.
        """
        self.advance(now)
        if self.quota_share.rate <= 0:
            return float('inf')
        accrued = self.quota_share.rate * (now - self._reserved_at)
        self._reserved = max(self._reserved - accrued, 0)
        self._reserved_at = now
        missing = max(1 - self.tokens, 0) + self._reserved
        delay = missing / self.quota_share.rate
        if delay <= MAX_TOKEN_WAIT_S:
            self._reserved += 1
        return delay

    def _record_grant(self, count: int, expires: float) -> None:
        heapq.heappush(
            self._grants, _OutstandingGrants(expires=expires, count=count)
        )
        self.outstanding += count

    def _accrue_and_expire_grants(self, now: float) -> None:
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

    def _update_totals(self) -> None:
        total = NO_SHARE
        self._next_loan_end = float('inf')
        for loan in self.loans_by_lender.values():
            total = total.plus(loan.quota_share)
            self._next_loan_end = min(self._next_loan_end, loan.end)
        self.quota_share = total
        self._accrue(self.updated)
