"""Coordinator of a region's pools: borrows shares and grants requests."""

import asyncio
from collections.abc import Coroutine, Iterable, Mapping
from typing import Any

import attrs

from bronzewall.membership import Members
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.pool_client import (
    MAX_DELAY_S,
    QUICK_LIFETIME_S,
    RELAYED_LIFETIME_S,
    PoolClient,
)
from bronzewall.pool_directory import RENEWAL_TIMEOUT_S, PoolDirectory
from bronzewall.ports import Clock
from bronzewall.quota_lending import QuotaLender
from bronzewall.quota_messages import (
    Grant,
    GrantRequest,
    LoanOffer,
    LoanRenewal,
    LoanReturn,
    SlotsGiven,
)
from bronzewall.quota_shares import CLOCK_DRIFT, Loan, Pool, QuotaShare
from bronzewall.types import AccountId, VmId, VmState

# A quarter of a loan's length, so that a lost message does not end a loan.
RENEW_INTERVAL_S = 0.25
# After this time grants under the previous offer have expired.
_CONFIRM_DELAY_S = RELAYED_LIFETIME_S * (1 + 2 * CLOCK_DRIFT)
# Time constant of the average demand of a region.
_DEMAND_WINDOW_S = 4.0


@attrs.define(kw_only=True)
class _AppliedOffer:
    """Last offer of a lender that was applied.

    :param is_confirmation_due: whether an early confirmation is scheduled.
    :param applied_at: clock time at which it was applied.
    :param confirmed: highest number that may be confirmed: all grants
        under the offers before it have expired.
    """

    number: int = 0
    is_confirmation_due: bool = False
    applied_at: float = 0
    confirmed: int = 0


@attrs.define(kw_only=True, eq=False)
class PoolCoordinator:
    """Pools of all accounts while this VM is the coordinator of a region.

    :param epoch: starts at the incarnation of this process, so that it
        also grows over restarts; incremented each time this VM becomes
        coordinator.
    """

    own_id: VmId
    clock: Clock
    endpoint: PeerEndpoint
    members: Members
    pool_directory: PoolDirectory
    lender: QuotaLender
    relay: PoolClient
    epoch: int
    is_open: bool = False
    is_stopping: bool = False
    _last_step_at: float = 0
    pools_by_account: dict[AccountId, Pool] = attrs.field(factory=dict)
    _applied_by_lender: dict[VmId, _AppliedOffer] = attrs.field(factory=dict)
    _demands_by_account: dict[AccountId, float] = attrs.field(factory=dict)
    _requested_by_account: dict[AccountId, int] = attrs.field(factory=dict)
    _empty_until: dict[tuple[VmId, AccountId], float] = attrs.field(
        factory=dict
    )

    async def run(self) -> None:
        """Run a step every renewal interval until cancelled."""
        while True:
            await self.step()
            await self.clock.sleep(RENEW_INTERVAL_S)

    async def step(self) -> None:
        """Open, renew or close the pools as the pool directory requires."""
        now = self.clock.now()
        if now - self._last_step_at > RENEWAL_TIMEOUT_S:
            # After a pause of this process another VM may be the
            # coordinator. Loans to that VM are not affected.
            await self.close()
        self._last_step_at = now
        if self.pool_directory.is_coordinator() and not self.is_stopping:
            self.pool_directory.record_renewal(self.own_id)
            if not self.is_open:
                self.is_open = True
                self.epoch += 1
            self._average_demand()
            self._renew()
        elif self.is_open:
            await self.close()

    async def close(self) -> None:
        """Stop granting and return all loans to their lenders."""
        if not self.is_open:
            return
        self.is_open = False
        self.pool_directory.forget(self.own_id)
        self.pools_by_account.clear()
        self._applied_by_lender.clear()
        # Grants issued before may still be used during their lifetime.
        await self.clock.sleep(RELAYED_LIFETIME_S)
        message = LoanReturn(epoch=self.epoch)
        for vm_id in self._lenders():
            self.endpoint.send(to=vm_id, message=message)
        self.lender.on_return(self.own_id, self.epoch)

    def announce_stop(self) -> None:
        """Announce to all VMs that this one takes no more slots."""
        for vm_id in self._lenders():
            self.endpoint.send(to=vm_id, message=SlotsGiven(is_stopping=True))

    def on_lend(self, lender: VmId, offer: LoanOffer) -> None:
        """Apply a lender's offer unless a newer one was applied."""
        applied = self._applied_by_lender.setdefault(lender, _AppliedOffer())
        is_current = self.is_open and offer.epoch == self.epoch
        if not is_current or offer.number <= applied.number:
            return
        now = self.clock.now()
        self._confirm(applied, now)
        applied.number, applied.applied_at = offer.number, now
        end = offer.stamp + offer.length - RELAYED_LIFETIME_S
        is_reduced = False
        for account_id in dict.fromkeys(
            (*offer.bursts, *self.pools_by_account)
        ):
            share = QuotaShare(
                rate=offer.rates.get(account_id, 0),
                burst=offer.bursts.get(account_id, 0),
            )
            pool = self._pool(account_id, now)
            before = pool.burst_of(lender)
            is_reduced = is_reduced or share.burst < before
            pool.set_loan(
                lender=lender, loan=Loan(quota_share=share, end=end), now=now
            )
        if is_reduced and not applied.is_confirmation_due:
            applied.is_confirmation_due = True
            asyncio.get_running_loop().call_later(
                _CONFIRM_DELAY_S, self._confirm_early, lender, self.epoch
            )

    def consume(self, account_id: AccountId) -> bool:
        """Consume a token for a request of this VM."""
        self._count_demand({account_id: 1})
        pool = self._pool(account_id, self.clock.now())
        return pool.grant(count=1, now=self.clock.now(), lifetime=0) > 0

    def delay(self, account_id: AccountId) -> float:
        """Return the seconds until the next token of any known pool."""
        now = self.clock.now()
        other_delays = [
            until - now
            for (_coordinator, name), until in self._empty_until.items()
            if name == account_id and until > now
        ]
        own_delay = self._pool(account_id, now).delay(now)
        return min(own_delay, *other_delays, MAX_DELAY_S)

    async def relay_one(self, account_id: AccountId) -> bool:
        """Request one grant from the pools of other regions in turn.

        :returns: whether one of them granted it.
        """
        for coordinator in self.pool_directory.other_coordinators():
            if (
                self._empty_until.get((coordinator, account_id), 0)
                > self.clock.now()
            ):
                continue
            outcome = await self.relay.request_grant(coordinator, account_id)
            if outcome.is_granted:
                return True
            if outcome.is_answered:
                until = self.clock.now() + outcome.delay
                self._empty_until[coordinator, account_id] = until
            else:
                self.pool_directory.record_no_answer(coordinator)
        return False

    def on_ask(self, envelope: Envelope) -> Coroutine[Any, Any, None] | None:
        """Answer a grant request.

        :returns: a coroutine that requests the missing grants from other
            pools, if there are any.
        """
        request: GrantRequest = envelope.body
        if not self.is_open:
            self.endpoint.send(
                to=envelope.sender,
                message=_not_coordinator_answer(request.ask_id),
            )
            return None
        if not request.relayed:
            self._count_demand(request.counts)
        lifetime = RELAYED_LIFETIME_S if request.relayed else QUICK_LIFETIME_S
        granted, missing = self._grant_from_pools(request.counts, lifetime)
        waiting = [] if request.relayed else self._accounts_to_relay(missing)
        refused = [name for name in missing if name not in waiting]
        if granted or refused:
            grant = self._grant(request, 0, granted, refused, lifetime)
            self.endpoint.send(to=envelope.sender, message=grant)
        if not waiting:
            return None
        relayed = {name: missing[name] for name in waiting}
        return self._answer_after_relay(envelope.sender, request, relayed)

    async def _answer_after_relay(
        self,
        sender: VmId,
        request: GrantRequest,
        missing: Mapping[AccountId, int],
    ) -> None:
        counts = await self._relay_all(missing)
        grant = self._grant(request, 1, counts, missing, RELAYED_LIFETIME_S)
        self.endpoint.send(to=sender, message=grant)

    def _grant_from_pools(
        self, counts: Mapping[AccountId, int], lifetime: float
    ) -> tuple[dict[AccountId, int], dict[AccountId, int]]:
        now = self.clock.now()
        granted, missing = {}, {}
        for account_id, count in counts.items():
            pool = self._pool(account_id, now)
            taken = pool.grant(count=count, now=now, lifetime=lifetime)
            if taken:
                granted[account_id] = taken
            if taken < count:
                missing[account_id] = count - taken
        return granted, missing

    def _accounts_to_relay(
        self, missing: Mapping[AccountId, int]
    ) -> list[AccountId]:
        now = self.clock.now()
        others = self.pool_directory.other_coordinators() if missing else []
        return [
            account_id
            for account_id in missing
            if any(
                self._empty_until.get((coordinator, account_id), 0) <= now
                for coordinator in others
            )
        ]

    async def _relay_all(
        self, missing: Mapping[AccountId, int]
    ) -> dict[AccountId, int]:
        names = [name for name, count in missing.items() for _ in range(count)]
        outcomes = await asyncio.gather(
            *(self.relay_one(name) for name in names)
        )
        counts: dict[AccountId, int] = {}
        for name, is_granted in zip(names, outcomes, strict=True):
            if is_granted:
                counts[name] = counts.get(name, 0) + 1
        return counts

    def _grant(
        self,
        request: GrantRequest,
        part: int,
        counts: Mapping[AccountId, int],
        refused: Iterable[AccountId],
        lifetime: float,
    ) -> Grant:
        return Grant(
            ask_id=request.ask_id,
            part=part,
            counts=counts,
            delays={name: self.delay(name) for name in refused},
            lifetime=lifetime,
        )

    def _pool(self, account_id: AccountId, now: float) -> Pool:
        pool = self.pools_by_account.get(account_id)
        if pool is None:
            pool = Pool(updated=now)
            self.pools_by_account[account_id] = pool
        return pool

    def _confirm(self, applied: _AppliedOffer, now: float) -> None:
        """Confirm the applied offer if all earlier grants have expired."""
        if now - applied.applied_at >= RELAYED_LIFETIME_S * (1 + CLOCK_DRIFT):
            applied.confirmed = applied.number

    def _renew(self) -> None:
        for vm_id in (*self._lenders(), self.own_id):
            self._renew_with(vm_id)

    def _renew_with(self, lender: VmId) -> None:
        now = self.clock.now()
        applied = self._applied_by_lender.setdefault(lender, _AppliedOffer())
        self._confirm(applied, now)
        renewal = LoanRenewal(
            epoch=self.epoch,
            stamp=now,
            adopted=applied.confirmed,
            demands={
                name: round(demand, 1)
                for name, demand in self._demands_by_account.items()
            },
        )
        if lender != self.own_id:
            self.endpoint.send(to=lender, message=renewal)
            return
        offer = self.lender.on_renew(self.own_id, renewal)
        if offer is not None:
            self.on_lend(self.own_id, offer)

    def _confirm_early(self, lender: VmId, epoch: int) -> None:
        """Confirm a reduced loan so that the lender can lend the rest."""
        if self.is_open and epoch == self.epoch:
            self._applied_by_lender[lender].is_confirmation_due = False
            self._renew_with(lender)

    def _lenders(self) -> list[VmId]:
        return [
            record.vm_id
            for record in self.members.records_by_id.values()
            if record.vm_id != self.own_id
            and record.state is not VmState.DESTROYED
        ]

    def _count_demand(self, counts: Mapping[AccountId, int]) -> None:
        for account_id, count in counts.items():
            requested = self._requested_by_account.get(account_id, 0)
            self._requested_by_account[account_id] = requested + count

    def _expected_demand(self, account_id: AccountId) -> float:
        # Used until a demand is measured. The first few requests are a poor
        # estimate, and a share that moves to another pool loses its tokens.
        account = self.lender.accounts().get(account_id)
        return (
            account.rate / len(self.pool_directory.regions()) if account else 0
        )

    def _average_demand(self) -> None:
        weight = RENEW_INTERVAL_S / _DEMAND_WINDOW_S
        requested, self._requested_by_account = self._requested_by_account, {}
        for account_id in dict.fromkeys(
            (*requested, *self._demands_by_account)
        ):
            recent = requested.get(account_id, 0) / RENEW_INTERVAL_S
            before = self._demands_by_account.get(
                account_id, self._expected_demand(account_id)
            )
            self._demands_by_account[account_id] = before + weight * (
                recent - before
            )


def _not_coordinator_answer(ask_id: int) -> Grant:
    return Grant(
        ask_id=ask_id, part=0, counts={}, delays={}, lifetime=0, is_home=False
    )
