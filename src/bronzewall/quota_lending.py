"""Lending of this VM's quota shares to pool coordinators."""

import bisect
import itertools
from collections import Counter
from collections.abc import Callable, Mapping

import attrs

from bronzewall.config_model import Account
from bronzewall.ports import Clock
from bronzewall.quota_messages import LoanOffer, LoanRenewal
from bronzewall.quota_shares import (
    CLOCK_DRIFT,
    NO_SHARE,
    QuotaShare,
    quota_share_of,
    unit_positions,
)
from bronzewall.slots import SlotLeases
from bronzewall.tokens import TokenBucket
from bronzewall.types import AccountId, VmId

AccountsSource = Callable[[], Mapping[AccountId, Account]]
# The shares lent to a coordinator that was killed are unusable for at most
# this time.
LOAN_LENGTH_S = 1.0
# A coordinator that sent no renewal, or confirmed no snapshot, for this long
# gets no further loans: two renewals were lost.
RENEWAL_TIMEOUT_S = 0.6
# The weights of an account's pools follow the demand only if one changes by at
# least this fraction, because a share that moves to another pool is unusable
# for about one renewal.
_WEIGHT_STEP = 0.08
# Each pool gets at least this fraction, so that it can measure a growing
# demand.
_MIN_WEIGHT = 0.04


@attrs.frozen(kw_only=True)
class LoanSnapshot:
    """Everything lent to a coordinator by one offer.

    :param end: own clock time until which it may be used.
    """

    epoch: int
    number: int
    end: float
    shares_by_account: Mapping[AccountId, QuotaShare]

    def lends_more_than(self, other: 'LoanSnapshot') -> bool:
        """Return whether it lends more burst for any account."""
        return any(
            share.burst > other.shares_by_account.get(name, NO_SHARE).burst
            for name, share in self.shares_by_account.items()
        )


@attrs.frozen(kw_only=True)
class BurstDivision:
    """Cached division of an account's burst tokens among coordinators."""

    account: Account
    weights: Mapping[VmId, float]
    slots: list[int]
    units_by_coordinator: Counter[VmId]

    def is_current(
        self, account: Account, weights: Mapping[VmId, float], slots: list[int]
    ) -> bool:
        """Return whether the inputs of the division are unchanged."""
        return (
            account is self.account
            and weights is self.weights
            and slots == self.slots
        )


@attrs.define(kw_only=True)
class LoanLedger:
    """Loan snapshots of this VM for one pool coordinator.

    :param renewed_at: clock time of the last renewal.
    :param confirmed_at: clock time at which the coordinator last confirmed
        a snapshot.
    :param is_closed: whether the coordinator returned all loans.
    :param stamp: the coordinator's clock in its latest renewal.
    """

    epoch: int
    renewed_at: float
    confirmed_at: float
    is_closed: bool = False
    stamp: float = 0
    demands: Mapping[AccountId, float] = attrs.field(factory=dict)
    snapshots: list[LoanSnapshot] = attrs.field(factory=list)

    def record_renewal(self, renewal: LoanRenewal, now: float) -> bool:
        """Record a renewal and drop the snapshots that it supersedes.

        :returns: whether the coordinator gave up shares.
        """
        if renewal.epoch > self.epoch:
            self.epoch = renewal.epoch
            self.confirmed_at = now
            self.is_closed = False
            self.stamp = renewal.stamp
        self.renewed_at = now
        self.stamp = max(self.stamp, renewal.stamp)
        self.demands = renewal.demands
        adopted = self._find_snapshot(renewal.adopted)
        if adopted is None:
            return False
        self.confirmed_at = now
        replaced = [
            snapshot
            for snapshot in self.snapshots
            if snapshot.epoch == renewal.epoch
            and snapshot.number < renewal.adopted
        ]
        self.snapshots = [
            snapshot for snapshot in self.snapshots if snapshot not in replaced
        ]
        return any(snapshot.lends_more_than(adopted) for snapshot in replaced)

    def close(self, epoch: int) -> None:
        """Drop the snapshots of an epoch that has ended."""
        if epoch >= self.epoch:
            self.epoch = epoch
            self.is_closed = True
        self.snapshots = [
            snapshot for snapshot in self.snapshots if snapshot.epoch > epoch
        ]

    def max_lent(self, account_id: AccountId, now: float) -> QuotaShare:
        """Return the largest share that the coordinator may hold."""
        most = NO_SHARE
        for snapshot in self.snapshots:
            if snapshot.end > now:
                share = snapshot.shares_by_account.get(account_id, NO_SHARE)
                most = most.maximum(share)
        return most

    def is_fresh(self, now: float) -> bool:
        """Return whether renewals and confirmations arrive in time."""
        oldest = min(self.renewed_at, self.confirmed_at)
        return not self.is_closed and now - oldest <= RENEWAL_TIMEOUT_S

    def drop_expired(self, now: float) -> None:
        """Drop the snapshots that have ended."""
        self.snapshots = [
            snapshot for snapshot in self.snapshots if snapshot.end > now
        ]

    def _find_snapshot(self, number: int) -> LoanSnapshot | None:
        for snapshot in self.snapshots:
            if snapshot.epoch == self.epoch and snapshot.number == number:
                return snapshot
        return None


@attrs.frozen(kw_only=True)
class CountedUnits:
    """Cached number of an account's burst tokens on a set of slots.

    :param burst: burst of the account when the tokens were counted.
    :param units: number of burst tokens.
    """

    slots: list[int]
    burst: int
    units: int


@attrs.define(kw_only=True, eq=False)
class QuotaLender:
    """Divides the quota shares of this VM's slots among coordinators.

    The shares lent in snapshots that have not ended and the share that is
    not lent are together never more than the share of the slots.

    :param region_of: region of a VM, empty if not known.
    :param push: sends an offer that does not answer a renewal.
    """

    clock: Clock
    slots: SlotLeases
    accounts: AccountsSource
    region_of: Callable[[VmId], str]
    push: Callable[[VmId, LoanOffer], None]
    is_retiring: bool = False
    ledgers_by_coordinator: dict[VmId, LoanLedger] = attrs.field(factory=dict)
    _last_number: int = attrs.field(
        # Keeps the numbers increasing after a restart of the process.
        default=attrs.Factory(
            lambda lender: lender.slots.incarnation, takes_self=True
        )
    )
    _unlent_by_account: dict[AccountId, TokenBucket] = attrs.field(factory=dict)
    _counted_by_account: dict[AccountId, CountedUnits] = attrs.field(
        factory=dict
    )
    _divisions_by_account: dict[AccountId, BurstDivision] = attrs.field(
        factory=dict
    )
    _weights_by_account: dict[AccountId, dict[VmId, float]] = attrs.field(
        factory=dict
    )

    def on_renew(
        self, coordinator: VmId, renewal: LoanRenewal
    ) -> LoanOffer | None:
        """Return an offer for a coordinator, ``None`` if its epoch is over."""
        now = self.clock.now()
        ledger = self._ledger(coordinator, renewal, now)
        if renewal.epoch < ledger.epoch or ledger.is_closed:
            return None
        if ledger.record_renewal(renewal, now):
            self._offer_returned_shares(coordinator, now)
        return self._create_offer(coordinator, ledger, now)

    def on_return(self, coordinator: VmId, epoch: int) -> None:
        """Drop all loans to a coordinator up to an epoch."""
        ledger = self.ledgers_by_coordinator.get(coordinator)
        if ledger is not None:
            ledger.close(epoch)

    def consume_unlent(self, account: Account) -> bool:
        """Consume a token of the share that is not lent."""
        now = self.clock.now()
        bucket = self._unlent_bucket(account, now)
        return bucket.consume(now)

    def has_no_loans(self) -> bool:
        """Return whether all loans have ended or were returned."""
        now = self.clock.now()
        return not any(
            snapshot.end > now and snapshot.shares_by_account
            for ledger in self.ledgers_by_coordinator.values()
            for snapshot in ledger.snapshots
        )

    def total_share(self, account: Account, *, until: float) -> QuotaShare:
        """Return the account's share on slots usable until a clock time."""
        slots = self.slots.usable_slots(until=until)
        counted = self._counted_by_account.get(account.account_id)
        # Comparing 128 slot numbers is 20 times as fast as counting the
        # units again, and this runs for every admission.
        if (
            counted is None
            or counted.burst != account.burst
            or counted.slots != slots
        ):
            counted = self._count_units(account, slots)
        return quota_share_of(account, units=counted.units)

    def max_lent(self, account_id: AccountId, now: float) -> QuotaShare:
        """Return the largest share that all coordinators together may hold."""
        total = NO_SHARE
        for ledger in self.ledgers_by_coordinator.values():
            total = total.plus(ledger.max_lent(account_id, now))
        return total

    def _offer_returned_shares(self, coordinator: VmId, now: float) -> None:
        """Offer returned shares to the other coordinators at once.

        Waiting for their next renewals would leave the shares unused.
        """
        for other, ledger in self.ledgers_by_coordinator.items():
            if other != coordinator and ledger.is_fresh(now):
                self.push(other, self._create_offer(other, ledger, now))

    def _create_offer(
        self, coordinator: VmId, ledger: LoanLedger, now: float
    ) -> LoanOffer:
        ledger.drop_expired(now)
        shares = self._lendable_shares(coordinator, ledger, now)
        self._last_number += 1
        ledger.snapshots.append(
            LoanSnapshot(
                epoch=ledger.epoch,
                number=self._last_number,
                end=now + LOAN_LENGTH_S,
                shares_by_account=shares,
            )
        )
        self._clip_unlent(shares, now)
        return LoanOffer(
            epoch=ledger.epoch,
            stamp=ledger.stamp,
            number=self._last_number,
            length=LOAN_LENGTH_S * (1 - CLOCK_DRIFT),
            rates={name: share.rate for name, share in shares.items()},
            bursts={name: share.burst for name, share in shares.items()},
        )

    def _ledger(
        self, coordinator: VmId, renewal: LoanRenewal, now: float
    ) -> LoanLedger:
        if coordinator not in self.ledgers_by_coordinator:
            self.ledgers_by_coordinator[coordinator] = LoanLedger(
                epoch=renewal.epoch,
                renewed_at=now,
                confirmed_at=now,
            )
        return self.ledgers_by_coordinator[coordinator]

    def _count_units(self, account: Account, slots: list[int]) -> CountedUnits:
        positions = self._positions(account)
        counted = CountedUnits(
            slots=slots,
            burst=account.burst,
            units=sum(len(positions.get(slot, ())) for slot in slots),
        )
        self._counted_by_account[account.account_id] = counted
        return counted

    def _positions(self, account: Account) -> dict[int, tuple[float, ...]]:
        return unit_positions(
            account.account_id, account.burst, self.slots.slot_count
        )

    def _lendable_shares(
        self, coordinator: VmId, ledger: LoanLedger, now: float
    ) -> dict[AccountId, QuotaShare]:
        if self.is_retiring or not ledger.is_fresh(now):
            return {}
        slots = self.slots.usable_slots(until=now + LOAN_LENGTH_S)
        fresh = {
            vm_id: other
            for vm_id, other in self.ledgers_by_coordinator.items()
            if other.is_fresh(now)
        }
        shares = {}
        for account in self.accounts().values():
            units = self._units_for(account, coordinator, fresh, slots)
            if units:
                share = self._available_share(
                    account, coordinator, now
                ).minimum(quota_share_of(account, units=units))
                if share.burst > 0:
                    shares[account.account_id] = share
        return shares

    def _available_share(
        self, account: Account, coordinator: VmId, now: float
    ) -> QuotaShare:
        total = self.total_share(account, until=now + LOAN_LENGTH_S)
        for vm_id, ledger in self.ledgers_by_coordinator.items():
            if vm_id != coordinator:
                total = total.minus(ledger.max_lent(account.account_id, now))
        return total

    def _units_for(
        self,
        account: Account,
        coordinator: VmId,
        fresh: Mapping[VmId, LoanLedger],
        slots: list[int],
    ) -> int:
        name = account.account_id
        weights = self._weights(name, fresh)
        division = self._divisions_by_account.get(name)
        if division is None or not division.is_current(account, weights, slots):
            division = BurstDivision(
                account=account,
                weights=weights,
                slots=slots,
                units_by_coordinator=self._divide(account, weights, slots),
            )
            self._divisions_by_account[name] = division
        return division.units_by_coordinator[coordinator]

    def _divide(
        self, account: Account, weights: Mapping[VmId, float], slots: list[int]
    ) -> Counter[VmId]:
        positions = self._positions(account)
        ordered = sorted(
            weights, key=lambda vm_id: (self.region_of(vm_id), vm_id)
        )
        bounds = list(
            itertools.accumulate(
                weights[coordinator] for coordinator in ordered
            )
        )
        counted: Counter[VmId] = Counter()
        for slot in slots:
            for position in positions.get(slot, ()):
                index = bisect.bisect_right(bounds, position)
                counted[ordered[min(index, len(ordered) - 1)]] += 1
        return counted

    def _weights(
        self, account_id: AccountId, fresh: Mapping[VmId, LoanLedger]
    ) -> dict[VmId, float]:
        target = _demand_fractions(account_id, fresh)
        current = self._weights_by_account.get(account_id, {})
        is_within_step = current.keys() == target.keys() and all(
            abs(current[vm_id] - fraction) < _WEIGHT_STEP
            for vm_id, fraction in target.items()
        )
        if not is_within_step:
            self._weights_by_account[account_id] = target
        return self._weights_by_account[account_id]

    def _unlent_bucket(self, account: Account, now: float) -> TokenBucket:
        share = self.total_share(account, until=now).minus(
            self.max_lent(account.account_id, now)
        )
        bucket = self._unlent_by_account.get(account.account_id)
        if bucket is None:
            bucket = TokenBucket(rate=0, burst=0, tokens=0, updated=now)
            self._unlent_by_account[account.account_id] = bucket
        bucket.accrue(now)
        if share.burst < bucket.burst:
            # The share may have shrunk some time ago, when a lease ended.
            # Tokens accrued since then must not be used.
            bucket.tokens = 0
        bucket.rate, bucket.burst = share.rate, share.burst
        bucket.accrue(now)
        return bucket

    def _clip_unlent(
        self, lent: Mapping[AccountId, QuotaShare], now: float
    ) -> None:
        for account in self.accounts().values():
            if account.account_id in lent:
                self._unlent_bucket(account, now)


def _demand_fractions(
    account_id: AccountId, fresh: Mapping[VmId, LoanLedger]
) -> dict[VmId, float]:
    demands = {
        vm_id: ledger.demands.get(account_id, float(0))
        for vm_id, ledger in fresh.items()
    }
    total = sum(demands.values())
    if total <= 0:
        return {vm_id: 1 / len(demands) for vm_id in demands}
    raised = {
        vm_id: max(demand / total, _MIN_WEIGHT)
        for vm_id, demand in demands.items()
    }
    return {
        vm_id: fraction / sum(raised.values())
        for vm_id, fraction in raised.items()
    }
