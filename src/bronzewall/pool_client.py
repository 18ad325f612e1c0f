"""Grant requests to pool coordinators, sent in batches."""

import asyncio
import itertools
from collections import Counter

import attrs

from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.quota_messages import Grant, GrantRequest
from bronzewall.types import AccountId, VmId

# Lifetime of a grant that a pool issues without requests to other pools: the
# round trip inside a region is 2 ms.
QUICK_LIFETIME_S = 0.02
# Timeout of a request to a pool of another region: the round trip between
# regions is 16 ms.
RELAY_TIMEOUT_S = 0.03
# Longer than two relayed requests in turn, so that a request to a pool whose
# relayed requests time out does not itself time out.
REQUEST_TIMEOUT_S = 0.07
# Lifetime of a grant that may come from the pool of another region.
RELAYED_LIFETIME_S = 0.08
# Minimum interval between two messages to the same pool. Requests that arrive
# in between share the next message.
BATCH_INTERVAL_S = 0.002
# Upper limit of the time until the next token; also used where that time is
# unknown.
MAX_DELAY_S = 1.0


@attrs.frozen(kw_only=True)
class AdmissionResult:
    """Outcome of one waiting request.

    :param is_answered: whether the pool answered in time.
    :param delay: seconds until the pool expects its next token.
    """

    is_granted: bool
    is_answered: bool = True
    delay: float = MAX_DELAY_S


NO_ANSWER = AdmissionResult(is_granted=False, is_answered=False)
GRANTED = AdmissionResult(is_granted=True)


_Waiters = list[asyncio.Future[AdmissionResult]]


@attrs.define(kw_only=True, eq=False)
class _PendingRequest:
    """Grant request whose answer is incomplete.

    :param parts: numbers of the parts of the answer that were received.
    """

    sent_at: float
    waiters_by_account: dict[AccountId, _Waiters]
    timer: asyncio.TimerHandle | None = None
    parts: set[int] = attrs.field(factory=set)

    def resolve(self, account_id: AccountId, outcome: AdmissionResult) -> None:
        """Set the outcome of one waiting request, if there is one."""
        waiters = self.waiters_by_account.get(account_id, [])
        while waiters:
            waiter = waiters.pop()
            if not waiter.done():
                waiter.set_result(outcome)
                return

    def resolve_rest(
        self, account_id: AccountId, outcome: AdmissionResult
    ) -> None:
        """Set the outcome of all waiting requests of an account."""
        for waiter in self.waiters_by_account.pop(account_id, ()):
            if not waiter.done():
                waiter.set_result(outcome)


@attrs.define(kw_only=True, eq=False)
class _Batch:
    """Requests that wait for the next message to one pool.

    :param ready_at: clock time from which the message may be sent.
    """

    ready_at: float = 0
    is_scheduled: bool = False
    waiters_by_account: dict[AccountId, _Waiters] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class PoolClient:
    """Sends grant requests to pool coordinators and matches the answers.

    :param relayed: whether the requests are relayed for an empty pool.
    :param timeout_s: seconds until a request times out.
    :param request_ids: ids unique over all incarnations of this VM.
    """

    clock: Clock
    endpoint: PeerEndpoint
    relayed: bool = False
    timeout_s: float = REQUEST_TIMEOUT_S
    request_ids: 'itertools.count[int]'
    counters: Counter[str] = attrs.field(factory=Counter)
    _batches_by_coordinator: dict[VmId, _Batch] = attrs.field(factory=dict)
    _pending_by_id: dict[int, _PendingRequest] = attrs.field(factory=dict)

    async def request_grant(
        self, coordinator: VmId, account_id: AccountId
    ) -> AdmissionResult:
        """Request a grant for one request from a pool coordinator."""
        waiter: asyncio.Future[AdmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        batch = self._batches_by_coordinator.setdefault(coordinator, _Batch())
        batch.waiters_by_account.setdefault(account_id, []).append(waiter)
        wait = batch.ready_at - self.clock.now()
        if wait <= 0:
            self._send(coordinator, batch)
        elif not batch.is_scheduled:
            batch.is_scheduled = True
            asyncio.get_running_loop().call_later(
                wait, self._send, coordinator, batch
            )
        return await waiter

    def on_grant(self, envelope: Envelope) -> None:
        """Resolve the waiting requests that one part of an answer covers."""
        grant: Grant = envelope.body
        pending = self._pending_by_id.get(grant.ask_id)
        if pending is None or grant.part in pending.parts:
            return
        pending.parts.add(grant.part)
        if not grant.is_home:
            self._resolve_unanswered(grant.ask_id)
            return
        age = self.clock.now() - pending.sent_at
        granted = GRANTED if age <= grant.lifetime else NO_ANSWER
        if granted is NO_ANSWER:
            self.counters['grants_expired'] += sum(grant.counts.values())
        for account_id, count in grant.counts.items():
            for _ in range(count):
                pending.resolve(account_id, granted)
        for account_id, delay in grant.delays.items():
            refused = AdmissionResult(is_granted=False, delay=delay)
            pending.resolve_rest(account_id, refused)
        if not any(pending.waiters_by_account.values()):
            self._remove_pending(grant.ask_id)

    def _send(self, coordinator: VmId, batch: _Batch) -> None:
        batch.is_scheduled = False
        if not batch.waiters_by_account:
            return
        now = self.clock.now()
        batch.ready_at = now + BATCH_INTERVAL_S
        pending = _PendingRequest(
            sent_at=now, waiters_by_account=batch.waiters_by_account
        )
        batch.waiters_by_account = {}
        ask_id = next(self.request_ids)
        self._pending_by_id[ask_id] = pending
        pending.timer = asyncio.get_running_loop().call_later(
            self.timeout_s, self._expire, ask_id
        )
        counts = {
            account_id: len(waiters)
            for account_id, waiters in pending.waiters_by_account.items()
        }
        self.endpoint.send(
            to=coordinator,
            message=GrantRequest(
                ask_id=ask_id, counts=counts, relayed=self.relayed
            ),
        )

    def _expire(self, ask_id: int) -> None:
        if ask_id in self._pending_by_id:
            self.counters['asks_unanswered'] += 1
            self._resolve_unanswered(ask_id)

    def _resolve_unanswered(self, ask_id: int) -> None:
        pending = self._remove_pending(ask_id)
        for account_id in tuple(pending.waiters_by_account):
            pending.resolve_rest(account_id, NO_ANSWER)

    def _remove_pending(self, ask_id: int) -> _PendingRequest:
        pending = self._pending_by_id.pop(ask_id)
        if pending.timer is not None:
            pending.timer.cancel()
        return pending
