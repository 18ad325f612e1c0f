"""Rights of this VM's slots: lent to pool homes, the rest kept."""

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
from bronzewall.slots import SlotKeeper
from bronzewall.tokens import TokenBucket
from bronzewall.types import AccountId, VmId

AccountsSource = Callable[[], Mapping[AccountId, Account]]
# What a killed pool home held is lost for at most this time.
LOAN_LENGTH_S = 1.0
# A home that was not heard from, or did not confirm loans, for this long
# gets nothing more: two renewals were lost.
SILENCE_S = 0.6
# Rights follow the demand of a region in steps of this share, because a
# right that changes its pool is unusable for about one renewal.
_WEIGHT_STEP = 0.08
# Each pool gets at least this share, to see the demand grow.
_LEAST_WEIGHT = 0.04


@attrs.frozen(kw_only=True)
class LoanSnapshot:
    """Rights that a home may hold until ``end`` on the own clock."""

    epoch: int
    number: int
    end: float
    shares_by_account: Mapping[AccountId, QuotaShare]

    def exceeds(self, other: 'LoanSnapshot') -> bool:
        """Return whether it lends more of any account."""
        return any(
            right.burst > other.shares_by_account.get(name, NO_SHARE).burst
            for name, right in self.shares_by_account.items()
        )


@attrs.frozen(kw_only=True)
class Division:
    """Burst tokens of an account by home, kept until its causes change."""

    account: Account
    weights: Mapping[VmId, float]
    slots: list[int]
    units_by_home: Counter[VmId]

    def fits(
        self, account: Account, weights: Mapping[VmId, float], slots: list[int]
    ) -> bool:
        """Return whether a new division would be the same."""
        return (
            account is self.account
            and weights is self.weights
            and slots == self.slots
        )


@attrs.define(kw_only=True)
class LoanLedger:
    """What this VM has lent to one pool home.

    :param confirmed_at: when the home last confirmed a statement.
    """

    epoch: int
    heard_at: float
    confirmed_at: float
    is_closed: bool = False
    stamp: float = 0
    demands: Mapping[AccountId, float] = attrs.field(factory=dict)
    snapshots: list[LoanSnapshot] = attrs.field(factory=list)

    def hear(self, renew: LoanRenewal, now: float) -> bool:
        """Note a renewal and forget the statements that it replaced.

        :returns: whether rights came back.
        """
        if renew.epoch > self.epoch:
            self.epoch = renew.epoch
            self.confirmed_at = now
            self.is_closed = False
            self.stamp = renew.stamp
        self.heard_at = now
        self.stamp = max(self.stamp, renew.stamp)
        self.demands = renew.demands
        adopted = self._find(renew.adopted)
        if adopted is None:
            return False
        self.confirmed_at = now
        replaced = [
            statement
            for statement in self.snapshots
            if statement.epoch == renew.epoch
            and statement.number < renew.adopted
        ]
        self.snapshots = [
            statement
            for statement in self.snapshots
            if statement not in replaced
        ]
        return any(statement.exceeds(adopted) for statement in replaced)

    def close(self, epoch: int) -> None:
        """Forget the statements of an epoch that has ended."""
        if epoch >= self.epoch:
            self.epoch = epoch
            self.is_closed = True
        self.snapshots = [
            statement for statement in self.snapshots if statement.epoch > epoch
        ]

    def committed(self, account_id: AccountId, now: float) -> QuotaShare:
        """Return the most that the home may hold."""
        most = NO_SHARE
        for statement in self.snapshots:
            if statement.end > now:
                right = statement.shares_by_account.get(account_id, NO_SHARE)
                most = most.upper(right)
        return most

    def is_fresh(self, now: float) -> bool:
        """Return whether messages pass both ways."""
        oldest = min(self.heard_at, self.confirmed_at)
        return not self.is_closed and now - oldest <= SILENCE_S

    def forget_ended(self, now: float) -> None:
        """Forget the statements that have ended."""
        self.snapshots = [
            statement for statement in self.snapshots if statement.end > now
        ]

    def _find(self, number: int) -> LoanSnapshot | None:
        for statement in self.snapshots:
            if statement.epoch == self.epoch and statement.number == number:
                return statement
        return None


@attrs.frozen(kw_only=True)
class CountedUnits:
    """Units of an account on a set of slots.

    :param burst: burst of the account when they were counted.
    """

    slots: list[int]
    burst: int
    units: int


@attrs.define(kw_only=True, eq=False)
class QuotaLender:
    """Divides the rights of this VM's slots.

    At any time the rights lent in statements that have not ended and the
    rights kept are together never more than the slots carry.

    :param region_of: region of a VM, empty if not known.
    :param push: sends a statement that no renewal asked for.
    """

    clock: Clock
    slots: SlotKeeper
    accounts: AccountsSource
    region_of: Callable[[VmId], str]
    push: Callable[[VmId, LoanOffer], None]
    is_retiring: bool = False
    ledgers_by_coordinator: dict[VmId, LoanLedger] = attrs.field(factory=dict)
    _number: int = attrs.field(
        # Numbers of a restarted process are higher than earlier ones.
        default=attrs.Factory(
            lambda lender: lender.slots.incarnation, takes_self=True
        )
    )
    _kept_by_account: dict[AccountId, TokenBucket] = attrs.field(factory=dict)
    _counted_by_account: dict[AccountId, CountedUnits] = attrs.field(
        factory=dict
    )
    _divisions_by_account: dict[AccountId, Division] = attrs.field(factory=dict)
    _weights_by_account: dict[AccountId, dict[VmId, float]] = attrs.field(
        factory=dict
    )

    def on_renew(self, home: VmId, renew: LoanRenewal) -> LoanOffer | None:
        """Return the loans for a home, or ``None`` for an old epoch."""
        now = self.clock.now()
        ledger = self._ledger(home, renew, now)
        if renew.epoch < ledger.epoch or ledger.is_closed:
            return None
        if ledger.hear(renew, now):
            self._lend_returned(home, now)
        return self._state(home, ledger, now)

    def on_return(self, home: VmId, epoch: int) -> None:
        """Take back everything lent to a home under an epoch."""
        ledger = self.ledgers_by_coordinator.get(home)
        if ledger is not None:
            ledger.close(epoch)

    def take_kept(self, account: Account) -> bool:
        """Take a token of the rights that are not lent."""
        now = self.clock.now()
        bucket = self._kept(account, now)
        return bucket.consume(now)

    def is_all_returned(self) -> bool:
        """Return whether no loan may be in force."""
        now = self.clock.now()
        return not any(
            statement.end > now and statement.shares_by_account
            for ledger in self.ledgers_by_coordinator.values()
            for statement in ledger.snapshots
        )

    def total(self, account: Account, *, until: float) -> QuotaShare:
        """Return the right of the slots usable until a clock time."""
        slots = self.slots.usable_slots(until=until)
        counted = self._counted_by_account.get(account.account_id)
        # Comparing 128 numbers is 20 times as fast as counting the units
        # again, and this runs for every admission.
        if (
            counted is None
            or counted.burst != account.burst
            or counted.slots != slots
        ):
            counted = self._count(account, slots)
        return quota_share_of(account, units=counted.units)

    def committed(self, account_id: AccountId, now: float) -> QuotaShare:
        """Return the most that all homes together may hold."""
        total = NO_SHARE
        for ledger in self.ledgers_by_coordinator.values():
            total = total.plus(ledger.committed(account_id, now))
        return total

    def _lend_returned(self, home: VmId, now: float) -> None:
        """Lend rights that came back from one home to the others at once.

        Waiting for their next renewal would leave the rights unused.
        """
        for other, ledger in self.ledgers_by_coordinator.items():
            if other != home and ledger.is_fresh(now):
                self.push(other, self._state(other, ledger, now))

    def _state(self, home: VmId, ledger: LoanLedger, now: float) -> LoanOffer:
        ledger.forget_ended(now)
        rights = self._lendable(home, ledger, now)
        self._number += 1
        ledger.snapshots.append(
            LoanSnapshot(
                epoch=ledger.epoch,
                number=self._number,
                end=now + LOAN_LENGTH_S,
                shares_by_account=rights,
            )
        )
        self._clip_kept(rights, now)
        return LoanOffer(
            epoch=ledger.epoch,
            stamp=ledger.stamp,
            number=self._number,
            length=LOAN_LENGTH_S * (1 - CLOCK_DRIFT),
            rates={name: right.rate for name, right in rights.items()},
            bursts={name: right.burst for name, right in rights.items()},
        )

    def _ledger(self, home: VmId, renew: LoanRenewal, now: float) -> LoanLedger:
        if home not in self.ledgers_by_coordinator:
            self.ledgers_by_coordinator[home] = LoanLedger(
                epoch=renew.epoch,
                heard_at=now,
                confirmed_at=now,
            )
        return self.ledgers_by_coordinator[home]

    def _count(self, account: Account, slots: list[int]) -> CountedUnits:
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

    def _lendable(
        self, home: VmId, ledger: LoanLedger, now: float
    ) -> dict[AccountId, QuotaShare]:
        if self.is_retiring or not ledger.is_fresh(now):
            return {}
        slots = self.slots.usable_slots(until=now + LOAN_LENGTH_S)
        fresh = {
            vm_id: other
            for vm_id, other in self.ledgers_by_coordinator.items()
            if other.is_fresh(now)
        }
        rights = {}
        for account in self.accounts().values():
            units = self._units(account, home, fresh, slots)
            if units:
                right = self._free_for(account, home, now).lower(
                    quota_share_of(account, units=units)
                )
                if right.burst > 0:
                    rights[account.account_id] = right
        return rights

    def _free_for(self, account: Account, home: VmId, now: float) -> QuotaShare:
        total = self.total(account, until=now + LOAN_LENGTH_S)
        for vm_id, ledger in self.ledgers_by_coordinator.items():
            if vm_id != home:
                total = total.minus(ledger.committed(account.account_id, now))
        return total

    def _units(
        self,
        account: Account,
        home: VmId,
        fresh: Mapping[VmId, LoanLedger],
        slots: list[int],
    ) -> int:
        name = account.account_id
        weights = self._weights(name, fresh)
        division = self._divisions_by_account.get(name)
        if division is None or not division.fits(account, weights, slots):
            division = Division(
                account=account,
                weights=weights,
                slots=slots,
                units_by_home=self._divide(account, weights, slots),
            )
            self._divisions_by_account[name] = division
        return division.units_by_home[home]

    def _divide(
        self, account: Account, weights: Mapping[VmId, float], slots: list[int]
    ) -> Counter[VmId]:
        positions = self._positions(account)
        ordered = sorted(
            weights, key=lambda vm_id: (self.region_of(vm_id), vm_id)
        )
        bounds = list(itertools.accumulate(weights[home] for home in ordered))
        counted: Counter[VmId] = Counter()
        for slot in slots:
            for position in positions.get(slot, ()):
                index = bisect.bisect_right(bounds, position)
                counted[ordered[min(index, len(ordered) - 1)]] += 1
        return counted

    def _weights(
        self, account_id: AccountId, fresh: Mapping[VmId, LoanLedger]
    ) -> dict[VmId, float]:
        wanted = _shares(account_id, fresh)
        used = self._weights_by_account.get(account_id, {})
        is_near = used.keys() == wanted.keys() and all(
            abs(used[vm_id] - share) < _WEIGHT_STEP
            for vm_id, share in wanted.items()
        )
        if not is_near:
            self._weights_by_account[account_id] = wanted
        return self._weights_by_account[account_id]

    def _kept(self, account: Account, now: float) -> TokenBucket:
        right = self.total(account, until=now).minus(
            self.committed(account.account_id, now)
        )
        bucket = self._kept_by_account.get(account.account_id)
        if bucket is None:
            bucket = TokenBucket(rate=0, burst=0, tokens=0, updated=now)
            self._kept_by_account[account.account_id] = bucket
        bucket.accrue(now)
        if right.burst < bucket.burst:
            # The share may have shrunk some time ago, when a lease ended,
            # and its tokens must not be spent.
            bucket.tokens = 0
        bucket.rate, bucket.burst = right.rate, right.burst
        bucket.accrue(now)
        return bucket

    def _clip_kept(
        self, lent: Mapping[AccountId, QuotaShare], now: float
    ) -> None:
        for account in self.accounts().values():
            if account.account_id in lent:
                self._kept(account, now)


def _shares(
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
        vm_id: max(demand / total, _LEAST_WEIGHT)
        for vm_id, demand in demands.items()
    }
    return {
        vm_id: share / sum(raised.values()) for vm_id, share in raised.items()
    }
