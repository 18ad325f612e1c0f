"""Asks to pool homes, several waiting requests in one message."""

import asyncio
import itertools
from collections import Counter

import attrs

from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.quota_messages import Grant, GrantRequest
from bronzewall.types import AccountId, VmId

# In which a grant must be used: the round trip inside a region is 2 ms.
QUICK_LIFETIME_S = 0.02
# Until a pool of another region is taken to be silent: the round trip
# between regions is 16 ms.
RELAY_TIMEOUT_S = 0.03
# Longer than two relayed asks in turn, so that a pool whose relay waits in
# vain is not itself taken to be silent.
ASK_TIMEOUT_S = 0.07
# Lifetime of a grant for which other regions may have been asked.
RELAYED_LIFETIME_S = 0.08
# Requests that arrive this soon after an ask to the same pool share the
# next one.
BATCH_INTERVAL_S = 0.002
# A delay that stands for "unknown".
LONGEST_DELAY_S = 1.0


@attrs.frozen(kw_only=True)
class AdmissionResult:
    """Answer to one waiting request.

    :param is_answered: the pool answered in time.
    :param delay: seconds until the pool expects its next token.
    """

    is_granted: bool
    is_answered: bool = True
    delay: float = LONGEST_DELAY_S


NO_ANSWER = AdmissionResult(is_granted=False, is_answered=False)
GRANTED = AdmissionResult(is_granted=True)


_Waiters = list[asyncio.Future[AdmissionResult]]


@attrs.define(kw_only=True, eq=False)
class _Pending:
    """An ask whose answer is not complete."""

    sent_at: float
    waiters_by_account: dict[AccountId, _Waiters]
    timer: asyncio.TimerHandle | None = None
    parts: set[int] = attrs.field(factory=set)

    def resolve(self, account_id: AccountId, outcome: AdmissionResult) -> None:
        """Answer one waiting request, if there is one."""
        waiters = self.waiters_by_account.get(account_id, [])
        while waiters:
            waiter = waiters.pop()
            if not waiter.done():
                waiter.set_result(outcome)
                return

    def resolve_rest(
        self, account_id: AccountId, outcome: AdmissionResult
    ) -> None:
        """Answer all waiting requests of an account."""
        for waiter in self.waiters_by_account.pop(account_id, ()):
            if not waiter.done():
                waiter.set_result(outcome)


@attrs.define(kw_only=True, eq=False)
class _Batch:
    """Requests that wait for the next ask to one pool."""

    ready_at: float = 0
    is_scheduled: bool = False
    waiters_by_account: dict[AccountId, _Waiters] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class PoolClient:
    """Sends asks to pool homes and matches the grants.

    :param relayed: whether this VM asks as an empty pool.
    :param timeout_s: seconds until a home is taken to be silent.
    """

    clock: Clock
    endpoint: PeerEndpoint
    relayed: bool = False
    timeout_s: float = ASK_TIMEOUT_S
    ids: 'itertools.count[int]'
    counters: Counter[str] = attrs.field(factory=Counter)
    _batches_by_home: dict[VmId, _Batch] = attrs.field(factory=dict)
    _pending_by_id: dict[int, _Pending] = attrs.field(factory=dict)

    async def ask(self, home: VmId, account_id: AccountId) -> AdmissionResult:
        """Ask a pool home to admit one request now."""
        waiter: asyncio.Future[AdmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        batch = self._batches_by_home.setdefault(home, _Batch())
        batch.waiters_by_account.setdefault(account_id, []).append(waiter)
        wait = batch.ready_at - self.clock.now()
        if wait <= 0:
            self._send(home, batch)
        elif not batch.is_scheduled:
            batch.is_scheduled = True
            asyncio.get_running_loop().call_later(wait, self._send, home, batch)
        return await waiter

    def on_grant(self, envelope: Envelope) -> None:
        """Pass one part of an answer to the requests that wait for it."""
        grant: Grant = envelope.body
        pending = self._pending_by_id.get(grant.ask_id)
        if pending is None or grant.part in pending.parts:
            return
        pending.parts.add(grant.part)
        if not grant.is_home:
            self._resolve_silent(grant.ask_id)
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
            self._forget(grant.ask_id)

    def _send(self, home: VmId, batch: _Batch) -> None:
        batch.is_scheduled = False
        if not batch.waiters_by_account:
            return
        now = self.clock.now()
        batch.ready_at = now + BATCH_INTERVAL_S
        pending = _Pending(
            sent_at=now, waiters_by_account=batch.waiters_by_account
        )
        batch.waiters_by_account = {}
        ask_id = next(self.ids)
        self._pending_by_id[ask_id] = pending
        pending.timer = asyncio.get_running_loop().call_later(
            self.timeout_s, self._expire, ask_id
        )
        counts = {
            account_id: len(waiters)
            for account_id, waiters in pending.waiters_by_account.items()
        }
        self.endpoint.send(
            to=home,
            message=GrantRequest(
                ask_id=ask_id, counts=counts, relayed=self.relayed
            ),
        )

    def _expire(self, ask_id: int) -> None:
        if ask_id in self._pending_by_id:
            self.counters['asks_unanswered'] += 1
            self._resolve_silent(ask_id)

    def _resolve_silent(self, ask_id: int) -> None:
        pending = self._forget(ask_id)
        for account_id in tuple(pending.waiters_by_account):
            pending.resolve_rest(account_id, NO_ANSWER)

    def _forget(self, ask_id: int) -> _Pending:
        pending = self._pending_by_id.pop(ask_id)
        if pending.timer is not None:
            pending.timer.cancel()
        return pending
