"""Admission of requests against the rate and burst of client accounts."""

import asyncio
import itertools
from collections import Counter
from typing import Any

import attrs
import structlog

from bronzewall.config_model import Account
from bronzewall.errors import RateExceededError, StoreError
from bronzewall.membership import Members
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.pool_client import (
    GRANTED,
    NO_ANSWER,
    RELAY_TIMEOUT_S,
    RELAYED_LIFETIME_S,
    AdmissionResult,
    PoolClient,
)
from bronzewall.pool_coordinator import PoolCoordinator
from bronzewall.pool_directory import PoolDirectory
from bronzewall.ports import Clock, TableService
from bronzewall.quota_lending import LOAN_LENGTH_S, AccountsSource, QuotaLender
from bronzewall.quota_messages import (
    Grant,
    GrantRequest,
    LoanOffer,
    LoanRenewal,
    LoanReturn,
    SlotsGiven,
)
from bronzewall.quota_shares import CLOCK_DRIFT, MAX_TOKEN_WAIT_S
from bronzewall.slots import SlotLeases
from bronzewall.tokens import TokenBucket
from bronzewall.types import AccountId, VmId

_RETURN_CHECK_S = 0.05
# Prevents a busy loop if a token is missing only by rounding.
_SHORTEST_WAIT_S = 0.001
# Time after which all loans of a VM that has stopped have ended.
LOAN_EXPIRY_S = LOAN_LENGTH_S * (1 + CLOCK_DRIFT)
_LOG = structlog.get_logger()


@attrs.define(kw_only=True)
class StaticSplitQuota:
    """Each VM admits a fixed share of rate and burst; a baseline for benches.

    :param fraction: this VM's fraction of rate and burst, 0 to 1.
    """

    clock: Clock
    fraction: float
    buckets_by_id: dict[AccountId, TokenBucket] = attrs.field(factory=dict)

    async def admit(self, account: Account) -> None:
        """Admit one request.

        :raises RateExceededError: no token is left.
        """
        now = self.clock.now()
        bucket = self.buckets_by_id.get(account.account_id)
        if bucket is None:
            bucket = TokenBucket(
                rate=account.rate * self.fraction,
                burst=account.burst * self.fraction,
                tokens=account.burst * self.fraction,
                updated=now,
            )
            self.buckets_by_id[account.account_id] = bucket
        if not bucket.consume(now):
            raise RateExceededError(retry_after=bucket.delay())


@attrs.define(kw_only=True, eq=False)
class PooledQuota:
    """Admits from this VM's unlent share, then from regional pools.

    The pools borrow the quota shares of all VMs. A VM's share follows from
    the numbered slots that it leases.
    """

    own_id: VmId
    clock: Clock
    pool_directory: PoolDirectory
    pool_coordinator: PoolCoordinator
    lender: QuotaLender
    slots: SlotLeases
    pool_client: PoolClient
    counters: Counter[str] = attrs.field(factory=Counter)

    async def admit(self, account: Account) -> None:
        """Admit one request, after a short wait for a token if needed.

        :raises RateExceededError: no pool that answers has a token within
            the waiting time.
        """
        limit = self.clock.now() + MAX_TOKEN_WAIT_S
        while True:
            outcome = await self._try_admit(account)
            if outcome.is_granted:
                return
            if self.clock.now() + outcome.delay > limit:
                break
            self.counters['waits'] += 1
            await self.clock.sleep(max(outcome.delay, _SHORTEST_WAIT_S))
        self.counters['refused'] += 1
        raise RateExceededError(retry_after=outcome.delay)

    async def run(self) -> None:
        """Maintain slot leases and loans until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.slots.run())
            group.create_task(self.pool_coordinator.run())

    async def stop(self) -> None:
        """Return all loans and hand all slots over."""
        self.lender.is_retiring = True
        self.pool_coordinator.is_stopping = True
        await self.pool_coordinator.close()
        self.pool_coordinator.announce_stop()
        limit = self.clock.now() + LOAN_LENGTH_S
        while self.clock.now() < limit and not self.lender.has_no_loans():
            await self.clock.sleep(_RETURN_CHECK_S)
        try:
            await self.slots.hand_over_all()
        except StoreError as exc:
            _LOG.warning('slots_not_handed_over', error=str(exc))

    async def _try_admit(self, account: Account) -> AdmissionResult:
        if self.lender.consume_unlent(account):
            self.counters['admitted_from_kept'] += 1
            return GRANTED
        for coordinator in self.pool_directory.coordinators():
            outcome = await self._request_from(coordinator, account)
            if outcome.is_answered:
                return outcome
            self.pool_directory.record_no_answer(coordinator)
        return AdmissionResult(is_granted=False)

    async def _request_from(
        self, coordinator: VmId, account: Account
    ) -> AdmissionResult:
        if coordinator != self.own_id:
            return await self.pool_client.request_grant(
                coordinator, account.account_id
            )
        return await self._request_own_pool(account.account_id)

    async def _request_own_pool(self, account_id: AccountId) -> AdmissionResult:
        if not self.pool_coordinator.is_open:
            return NO_ANSWER
        if self.pool_coordinator.consume(account_id):
            return GRANTED
        sent_at = self.clock.now()
        if await self.pool_coordinator.relay_one(account_id):
            if self.clock.now() - sent_at <= RELAYED_LIFETIME_S:
                return GRANTED
        delay = self.pool_coordinator.delay(account_id)
        return AdmissionResult(is_granted=False, delay=delay)


@attrs.frozen(kw_only=True)
class QuotaParts:
    """Dependencies of a ``PooledQuota``.

    :param accounts: returns the accounts in force, by id.
    :param has_regional_pools: whether each region has a pool; if not,
        the fleet has one pool.
    """

    clock: Clock
    endpoint: PeerEndpoint
    members: Members
    table: TableService
    accounts: AccountsSource
    has_regional_pools: bool = True


def build_quota(parts: QuotaParts) -> PooledQuota:
    """Return a quota that receives its messages from the endpoint."""
    members, endpoint = parts.members, parts.endpoint
    slots = SlotLeases(
        own_id=members.own_id,
        incarnation=endpoint.incarnation,
        clock=parts.clock,
        table=parts.table,
        members=members,
        loan_expiry_s=LOAN_EXPIRY_S,
        on_handed_over=lambda vm_id: endpoint.send(
            to=vm_id, message=SlotsGiven()
        ),
    )

    def push(coordinator: VmId, offer: LoanOffer) -> None:
        if coordinator == members.own_id:
            quota.pool_coordinator.on_lend(coordinator, offer)
        else:
            endpoint.send(to=coordinator, message=offer)

    lender = QuotaLender(
        clock=parts.clock,
        slots=slots,
        accounts=parts.accounts,
        region_of=members.region_of,
        push=push,
    )
    directory = PoolDirectory(
        own_id=members.own_id,
        own_region=(
            members.own_placement.region if parts.has_regional_pools else None
        ),
        members=members,
        clock=parts.clock,
        regions=(
            members.regions if parts.has_regional_pools else lambda: [None]
        ),
    )
    request_ids = itertools.count(endpoint.incarnation)
    quota = PooledQuota(
        own_id=members.own_id,
        clock=parts.clock,
        pool_directory=directory,
        pool_coordinator=PoolCoordinator(
            own_id=members.own_id,
            clock=parts.clock,
            endpoint=endpoint,
            members=members,
            pool_directory=directory,
            lender=lender,
            relay=PoolClient(
                clock=parts.clock,
                endpoint=endpoint,
                relayed=True,
                timeout_s=RELAY_TIMEOUT_S,
                request_ids=request_ids,
            ),
            epoch=endpoint.incarnation,
        ),
        lender=lender,
        slots=slots,
        pool_client=PoolClient(
            clock=parts.clock, endpoint=endpoint, request_ids=request_ids
        ),
    )
    _serve_messages(quota, endpoint)
    return quota


def _serve_messages(quota: PooledQuota, endpoint: PeerEndpoint) -> None:
    def on_grant(envelope: Envelope) -> None:
        quota.pool_client.on_grant(envelope)
        quota.pool_coordinator.relay.on_grant(envelope)

    def on_renew(envelope: Envelope) -> None:
        quota.pool_directory.record_renewal(envelope.sender)
        offer = quota.lender.on_renew(envelope.sender, envelope.body)
        if offer is not None:
            endpoint.send(to=envelope.sender, message=offer)

    def on_slots_given(envelope: Envelope) -> None:
        if envelope.body.is_stopping:
            quota.slots.record_planned_stop(
                envelope.sender, incarnation=envelope.incarnation
            )
        else:
            quota.slots.request_scan()

    def on_lend(envelope: Envelope) -> None:
        quota.pool_coordinator.on_lend(envelope.sender, envelope.body)

    def on_return(envelope: Envelope) -> None:
        quota.pool_directory.forget(envelope.sender)
        quota.lender.on_return(envelope.sender, envelope.body.epoch)

    endpoint.serve(GrantRequest, quota.pool_coordinator.on_ask)
    endpoint.serve(Grant, on_grant)
    endpoint.serve(LoanRenewal, on_renew)
    endpoint.serve(LoanOffer, on_lend)
    endpoint.serve(LoanReturn, on_return)
    endpoint.serve(SlotsGiven, on_slots_given)


def quota_status(quota: PooledQuota) -> dict[str, Any]:
    """Return slots, pools and loans of this VM for the status report."""
    now = quota.clock.now()
    return {
        'slots': len(quota.slots.usable_slots(until=now)),
        'slots_leaving': len(quota.slots.handovers_by_slot),
        'pauses': quota.slots.pauses,
        'is_pool_home': quota.pool_coordinator.is_open,
        'pools': {
            name: {
                'rate': round(pool.quota_share.rate, 1),
                'burst': round(pool.quota_share.burst, 1),
                'tokens': round(pool.tokens, 1),
                'lenders': len(pool.loans_by_lender),
            }
            for name, pool in quota.pool_coordinator.pools_by_account.items()
        },
        'lent': {
            account_id: attrs.asdict(quota.lender.max_lent(account_id, now))
            for account_id in quota.lender.accounts()
        },
        'counters': dict(quota.counters + quota.pool_client.counters),
    }
