"""The home of a region's pools: borrows rights and answers asks."""

import asyncio
from collections.abc import Coroutine, Iterable, Mapping
from typing import Any

import attrs

from bronzewall.membership import Members
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.pool_client import (
    LONGEST_DELAY_S,
    QUICK_LIFETIME_S,
    RELAYED_LIFETIME_S,
    PoolClient,
)
from bronzewall.pool_directory import SILENCE_S, PoolDirectory
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

# A quarter of the length of a loan, so that lost messages end no loan.
RENEW_INTERVAL_S = 0.25
# After this time grants under the former statement have expired.
_CONFIRM_DELAY_S = RELAYED_LIFETIME_S * (1 + 2 * CLOCK_DRIFT)
# Time over which the demand of a region is averaged.
_DEMAND_WINDOW_S = 4.0


@attrs.define(kw_only=True)
class _Adopted:
    """Last statement of a lender that is in force here.

    :param confirmed: last number that may be confirmed: grants under the
        statements before it have expired.
    """

    number: int = 0
    is_confirmation_due: bool = False
    adopted_at: float = 0
    confirmed: int = 0


@attrs.define(kw_only=True, eq=False)
class PoolCoordinator:
    """Pools of all accounts while this VM is the home of a region.

    :param epoch: grows each time this VM becomes home.
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
    _stepped_at: float = 0
    pools_by_account: dict[AccountId, Pool] = attrs.field(factory=dict)
    _adopted_by_lender: dict[VmId, _Adopted] = attrs.field(factory=dict)
    _demands_by_account: dict[AccountId, float] = attrs.field(factory=dict)
    _asked_by_account: dict[AccountId, int] = attrs.field(factory=dict)
    _empty_until: dict[tuple[VmId, AccountId], float] = attrs.field(
        factory=dict
    )

    async def run(self) -> None:
        """Renew the loans while this VM is home, until cancelled."""
        while True:
            await self.step()
            await self.clock.sleep(RENEW_INTERVAL_S)

    async def step(self) -> None:
        """Open, renew or close the pools as the view asks for."""
        now = self.clock.now()
        if now - self._stepped_at > SILENCE_S:
            # After a pause another VM may be home; its loans stay there.
            await self.close()
        self._stepped_at = now
        if self.pool_directory.is_own() and not self.is_stopping:
            self.pool_directory.hear(self.own_id)
            if not self.is_open:
                self.is_open = True
                self.epoch += 1
            self._average_demand()
            self._renew()
        elif self.is_open:
            await self.close()

    async def close(self) -> None:
        """Stop granting and return all loans."""
        if not self.is_open:
            return
        self.is_open = False
        self.pool_directory.forget(self.own_id)
        self.pools_by_account.clear()
        self._adopted_by_lender.clear()
        # Grants given before may be used during their lifetime.
        await self.clock.sleep(RELAYED_LIFETIME_S)
        message = LoanReturn(epoch=self.epoch)
        for vm_id in self._lenders():
            self.endpoint.send(to=vm_id, message=message)
        self.lender.on_return(self.own_id, self.epoch)

    def announce_stop(self) -> None:
        """Tell all VMs that this one takes no slots any more."""
        for vm_id in self._lenders():
            self.endpoint.send(to=vm_id, message=SlotsGiven(is_stopping=True))

    def on_lend(self, lender: VmId, lend: LoanOffer) -> None:
        """Adopt a lender's statement unless a newer one is in force."""
        adopted = self._adopted_by_lender.setdefault(lender, _Adopted())
        is_current = self.is_open and lend.epoch == self.epoch
        if not is_current or lend.number <= adopted.number:
            return
        now = self.clock.now()
        self._confirm(adopted, now)
        adopted.number, adopted.adopted_at = lend.number, now
        end = lend.stamp + lend.length - RELAYED_LIFETIME_S
        is_reduced = False
        for account_id in dict.fromkeys((*lend.bursts, *self.pools_by_account)):
            right = QuotaShare(
                rate=lend.rates.get(account_id, 0),
                burst=lend.bursts.get(account_id, 0),
            )
            pool = self._pool(account_id, now)
            before = pool.burst_of(lender)
            is_reduced = is_reduced or right.burst < before
            pool.adopt(
                lender=lender, loan=Loan(quota_share=right, end=end), now=now
            )
        if is_reduced and not adopted.is_confirmation_due:
            adopted.is_confirmation_due = True
            asyncio.get_running_loop().call_later(
                _CONFIRM_DELAY_S, self._confirm_early, lender, self.epoch
            )

    def take(self, account_id: AccountId) -> bool:
        """Take a token for a request of this VM."""
        self._count_demand({account_id: 1})
        pool = self._pool(account_id, self.clock.now())
        return pool.grant(count=1, now=self.clock.now(), lifetime=0) > 0

    def delay(self, account_id: AccountId) -> float:
        """Return the seconds until the next token here or elsewhere."""
        now = self.clock.now()
        hints = [
            until - now
            for (_home, name), until in self._empty_until.items()
            if name == account_id and until > now
        ]
        own = self._pool(account_id, now).delay(now)
        return min(own, *hints, LONGEST_DELAY_S)

    async def relay_one(self, account_id: AccountId) -> bool:
        """Ask the pools of other regions for one request."""
        for home in self.pool_directory.others():
            if self._empty_until.get((home, account_id), 0) > self.clock.now():
                continue
            outcome = await self.relay.ask(home, account_id)
            if outcome.is_granted:
                return True
            if outcome.is_answered:
                until = self.clock.now() + outcome.delay
                self._empty_until[home, account_id] = until
            else:
                self.pool_directory.note_unanswered(home)
        return False

    def on_ask(self, envelope: Envelope) -> Coroutine[Any, Any, None] | None:
        """Answer an ask.

        :returns: what remains to do if other pools must be asked.
        """
        ask: GrantRequest = envelope.body
        if not self.is_open:
            self.endpoint.send(
                to=envelope.sender, message=_not_home(ask.ask_id)
            )
            return None
        if not ask.relayed:
            self._count_demand(ask.counts)
        lifetime = RELAYED_LIFETIME_S if ask.relayed else QUICK_LIFETIME_S
        granted, missing = self._take_all(ask.counts, lifetime)
        waiting = [] if ask.relayed else self._worth_relaying(missing)
        refused = [name for name in missing if name not in waiting]
        if granted or refused:
            grant = self._grant(ask, 0, granted, refused, lifetime)
            self.endpoint.send(to=envelope.sender, message=grant)
        if not waiting:
            return None
        relayed = {name: missing[name] for name in waiting}
        return self._answer_later(envelope.sender, ask, relayed)

    async def _answer_later(
        self, sender: VmId, ask: GrantRequest, missing: Mapping[AccountId, int]
    ) -> None:
        counts = await self._relay_all(missing)
        grant = self._grant(ask, 1, counts, missing, RELAYED_LIFETIME_S)
        self.endpoint.send(to=sender, message=grant)

    def _take_all(
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

    def _worth_relaying(
        self, missing: Mapping[AccountId, int]
    ) -> list[AccountId]:
        now = self.clock.now()
        others = self.pool_directory.others() if missing else []
        return [
            account_id
            for account_id in missing
            if any(
                self._empty_until.get((home, account_id), 0) <= now
                for home in others
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
        ask: GrantRequest,
        part: int,
        counts: Mapping[AccountId, int],
        refused: Iterable[AccountId],
        lifetime: float,
    ) -> Grant:
        return Grant(
            ask_id=ask.ask_id,
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

    def _confirm(self, adopted: _Adopted, now: float) -> None:
        if now - adopted.adopted_at >= RELAYED_LIFETIME_S * (1 + CLOCK_DRIFT):
            adopted.confirmed = adopted.number

    def _renew(self) -> None:
        for vm_id in (*self._lenders(), self.own_id):
            self._renew_with(vm_id)

    def _renew_with(self, lender: VmId) -> None:
        now = self.clock.now()
        adopted = self._adopted_by_lender.setdefault(lender, _Adopted())
        self._confirm(adopted, now)
        renew = LoanRenewal(
            epoch=self.epoch,
            stamp=now,
            adopted=adopted.confirmed,
            demands={
                name: round(demand, 1)
                for name, demand in self._demands_by_account.items()
            },
        )
        if lender != self.own_id:
            self.endpoint.send(to=lender, message=renew)
            return
        lend = self.lender.on_renew(self.own_id, renew)
        if lend is not None:
            self.on_lend(self.own_id, lend)

    def _confirm_early(self, lender: VmId, epoch: int) -> None:
        """Confirm a smaller loan, so that the rest can be lent again."""
        if self.is_open and epoch == self.epoch:
            self._adopted_by_lender[lender].is_confirmation_due = False
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
            asked = self._asked_by_account.get(account_id, 0)
            self._asked_by_account[account_id] = asked + count

    def _expected_demand(self, account_id: AccountId) -> float:
        # The first few requests say little about the regions, and rights
        # that move leave their tokens behind.
        account = self.lender.accounts().get(account_id)
        return (
            account.rate / len(self.pool_directory.regions()) if account else 0
        )

    def _average_demand(self) -> None:
        weight = RENEW_INTERVAL_S / _DEMAND_WINDOW_S
        asked, self._asked_by_account = self._asked_by_account, {}
        for account_id in dict.fromkeys((*asked, *self._demands_by_account)):
            recent = asked.get(account_id, 0) / RENEW_INTERVAL_S
            before = self._demands_by_account.get(
                account_id, self._expected_demand(account_id)
            )
            self._demands_by_account[account_id] = before + weight * (
                recent - before
            )


def _not_home(ask_id: int) -> Grant:
    return Grant(
        ask_id=ask_id, part=0, counts={}, delays={}, lifetime=0, is_home=False
    )
