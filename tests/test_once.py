"""Idempotency keys of callers under faults of the table service."""

import asyncio
import random
from typing import Any

import attrs
import pytest
from builders import a_placement

from bronzewall.background import BackgroundTasks
from bronzewall.membership import Members
from bronzewall.once import KeyClaim, KeyLedger
from bronzewall.once_cleanup import OnceSweep
from bronzewall.once_rows import ONCE_TABLE, RETENTION_S, TableClock, row_key
from bronzewall.problems import Ran, Reason, RefusalError
from bronzewall.run_outcome import Outcome, RunRequest
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.standins.memory_faults import FaultyTable, TableFaults
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import (
    AccountId,
    RequestId,
    RouteId,
    RowWrite,
    VmId,
)

OUTCOME = Outcome(status=201, headers=(('Location', '/a'),), body=b'made')
LATENESS_S = 2.0


@attrs.define(kw_only=True)
class Keys:
    """Ledgers of several VMs on one table."""

    platform: MemoryPlatform = attrs.field(
        factory=lambda: MemoryPlatform(clock=VirtualClock())
    )
    ended: set[str] = attrs.field(factory=set)
    attempts: int = 0

    def ledger(self, name: str, faults: Any = None) -> KeyLedger:
        """Return the ledger of a VM with scripted faults in its table calls."""
        clock = VirtualClock()
        table = FaultyTable(
            table=self.platform,
            random=random.Random(1),
            faults=TableFaults(late_delay=LATENESS_S),
            faults_by_call=faults or {},
        )
        return KeyLedger(
            vm_id=VmId(name),
            incarnation=1,
            clock=clock,
            table=table,
            has_ended=lambda vm_id, _incarnation: vm_id in self.ended,
            tasks=BackgroundTasks(),
            table_clock=TableClock(clock=clock, table=table),
        )

    def run_request(
        self, digest: bytes = b'd', seconds: float = 5
    ) -> RunRequest:
        """Return the next attempt with the same key."""
        self.attempts += 1
        return RunRequest(
            account_id=AccountId('gulf-daily'),
            route_id=RouteId('intake/write'),
            key='grid-7',
            run_id=None,
            digest=digest,
            attempt_id=RequestId(f'attempt-{self.attempts}'),
            deadline=VirtualClock().now() + seconds,
        )

    async def claim(self, ledger: KeyLedger) -> KeyClaim:
        """Claim the key, which must be available."""
        claim = await ledger.claim(self.run_request())
        assert isinstance(claim, KeyClaim)
        return claim

    async def refusal(
        self, ledger: KeyLedger, run_request: RunRequest | None = None
    ) -> RefusalError:
        """Return the refusal of an attempt that must not run."""
        with pytest.raises(RefusalError) as found:
            await ledger.claim(run_request or self.run_request())
        return found.value


FAULTS = ('is_down', 'lost', 'dropped', 'late')
STEPS = [
    *(('write', number) for number in range(3)),
    *(('read', number) for number in range(3)),
    *(('time', number) for number in range(2)),
]


@pytest.mark.parametrize('has_run', [True, False])
@pytest.mark.parametrize('second', ['', *FAULTS])
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STEPS)
def test_every_store_fault_at_every_step(
    step: tuple[str, int], fault: str, second: str, has_run: bool
) -> None:
    """Guards against a second run and false refusals after store faults.

    The given step of the first VM fails, and the next operation of the
    same kind may fail too; two more VMs then claim the same key.
    """
    faults = {step: fault, (step[0], step[1] + 1): second}

    async def main() -> None:
        keys = Keys()
        runs = await _attempt(keys, keys.ledger('a', faults), has_run)
        runs += await _attempt(keys, keys.ledger('b'), has_run)
        await asyncio.sleep(40)
        try:
            last = await keys.ledger('c').claim(keys.run_request())
        except RefusalError as refusal:
            assert refusal.reason is Reason.OUTCOME_UNKNOWN
        else:
            assert (last == OUTCOME) is bool(runs)
        assert runs <= 1

    run_virtual(main())


async def _attempt(keys: Keys, ledger: KeyLedger, has_run: bool) -> int:
    """Claim and settle the key; return the number of runs."""
    try:
        claim = await ledger.claim(keys.run_request())
    except RefusalError as refusal:
        if refusal.reason is Reason.STORE_UNAVAILABLE:
            assert refusal.ran is Ran.NO
            assert 'earlier attempts' in refusal.detail
        else:
            assert refusal.ran is Ran.UNKNOWN
        return 0
    if not isinstance(claim, KeyClaim):
        return 0
    # Earlier attempts still retry their writes while this claim is held.
    await asyncio.sleep(1)
    if has_run:
        claim.done(OUTCOME)
    else:
        claim.not_run()
    return int(has_run)


def test_concurrent_attempt_is_refused_then_gets_the_outcome() -> None:
    """Guards against running a request that is in progress elsewhere."""

    async def main() -> None:
        keys = Keys()
        claimant, other = keys.ledger('a'), keys.ledger('b')
        claim = await keys.claim(claimant)
        refusal = await keys.refusal(other)
        assert refusal.reason is Reason.IN_PROGRESS
        assert refusal.retry_after
        claim.done(OUTCOME)
        await asyncio.sleep(1)
        assert await other.claim(keys.run_request()) == OUTCOME
        reused = await keys.refusal(other, keys.run_request(digest=b'other'))
        assert (reused.reason, reused.ran) == (Reason.KEY_REUSED, Ran.NO)

    run_virtual(main())


@pytest.mark.parametrize('is_listed_as_destroyed', [True, False])
def test_key_of_an_ended_vm_is_unknown_and_never_runs(
    is_listed_as_destroyed: bool,
) -> None:
    """Guards against a second run while a frozen claimant may still run."""

    async def main() -> None:
        keys = Keys()
        claimant, other = keys.ledger('a'), keys.ledger('b')
        claim = await keys.claim(claimant)
        if is_listed_as_destroyed:
            keys.ended.add('a')
        else:
            await asyncio.sleep(8)
        for _ in range(2):
            refusal = await keys.refusal(other)
            assert refusal.reason is Reason.OUTCOME_UNKNOWN
            assert refusal.ran is Ran.UNKNOWN
        # The claimant was only frozen, and its outcome is valid.
        claim.done(OUTCOME)
        await asyncio.sleep(1)
        assert await other.claim(keys.run_request()) == OUTCOME

    run_virtual(main())


def test_outcome_is_written_after_an_outage() -> None:
    """Guards against losing an outcome whose first write fails."""

    async def main() -> None:
        keys = Keys()
        claim = await keys.claim(keys.ledger('a'))
        keys.platform.faults.is_down = True
        claim.done(OUTCOME)
        await asyncio.sleep(10)
        keys.platform.faults.is_down = False
        await asyncio.sleep(5)
        assert await keys.ledger('b').claim(keys.run_request()) == OUTCOME

    run_virtual(main())


def test_delayed_not_run_write_does_not_release_a_later_claim() -> None:
    """Guards against a delayed ``not_run`` write that hits a newer claim."""

    async def main() -> None:
        keys = Keys()
        # The first write takes effect after its retry.
        first = await keys.claim(keys.ledger('a', {('write', 1): 'late'}))
        first.not_run()
        await asyncio.sleep(1)
        await keys.claim(keys.ledger('b'))
        await asyncio.sleep(LATENESS_S * 2)
        refusal = await keys.refusal(keys.ledger('c'))
        assert refusal.reason is Reason.OUTCOME_UNKNOWN or refusal.retry_after

    run_virtual(main())


def test_unreadable_row_is_refused() -> None:
    """Guards against a run when the row of the key cannot be decoded."""

    async def main() -> None:
        keys = Keys()
        ledger = keys.ledger('a')
        write = RowWrite(
            table=ONCE_TABLE, key=row_key(keys.run_request()), value=b'\xa0'
        )
        await keys.platform.transact(checks=[], writes=[write])
        refusal = await keys.refusal(ledger)
        assert refusal.reason is Reason.STORE_UNAVAILABLE
        assert refusal.ran is Ran.NO

    run_virtual(main())


def test_delayed_claim_of_a_refused_attempt_is_released() -> None:
    """Guards against keys that a claim written after a refusal blocks."""

    async def main() -> None:
        keys = Keys()
        ledger = keys.ledger(
            'a', {('write', 0): 'late', ('read', 0): 'is_down'}
        )
        refusal = await keys.refusal(ledger)
        assert refusal.reason is Reason.STORE_UNAVAILABLE
        await asyncio.sleep(LATENESS_S * 2)
        await keys.claim(keys.ledger('b'))

    run_virtual(main())


def test_keys_are_kept_for_a_day_and_then_deleted() -> None:
    """Guards against early cleanup and against rows that are never deleted."""

    async def main() -> None:
        keys = Keys()
        ledger = keys.ledger('a')
        (await keys.claim(ledger)).done(OUTCOME)
        await asyncio.sleep(RETENTION_S - 1)
        sweep = OnceSweep(
            clock=ledger.clock,
            table=ledger.table,
            table_clock=ledger.table_clock,
            members=Members(own_id=VmId('a'), own_placement=a_placement()),
        )
        prefix = row_key(keys.run_request())[:4]
        await sweep.clean(prefix)
        assert await ledger.claim(keys.run_request()) == OUTCOME
        await asyncio.sleep(2000)
        await sweep.clean(prefix)
        assert not keys.platform.store.rows_by_table[ONCE_TABLE]

    run_virtual(main())


def test_row_that_cannot_be_read_leaves_the_rest_to_be_deleted() -> None:
    """Guards against a prefix that one odd row keeps from being cleaned."""

    async def main() -> None:
        keys = Keys()
        ledger = keys.ledger('a')
        (await keys.claim(ledger)).done(OUTCOME)
        prefix = row_key(keys.run_request())[:4]
        odd = RowWrite(table=ONCE_TABLE, key=f'{prefix}odd', value=b'\xa0')
        await keys.platform.transact(checks=[], writes=[odd])
        await asyncio.sleep(RETENTION_S + 2000)
        sweep = OnceSweep(
            clock=ledger.clock,
            table=ledger.table,
            table_clock=ledger.table_clock,
            members=Members(own_id=VmId('a'), own_placement=a_placement()),
        )
        await sweep.clean(prefix)
        rows = keys.platform.store.rows_by_table[ONCE_TABLE]
        assert list(rows) == [f'{prefix}odd']

    run_virtual(main())


def test_expired_key_can_be_claimed_by_one_attempt() -> None:
    """Guards against two runs of a request whose old row has expired."""

    async def main() -> None:
        keys = Keys()
        (await keys.claim(keys.ledger('a'))).done(OUTCOME)
        await asyncio.sleep(RETENTION_S + 10)
        found = await asyncio.gather(
            *(keys.ledger(name).claim(keys.run_request()) for name in 'abc'),
            return_exceptions=True,
        )
        assert sum(isinstance(item, KeyClaim) for item in found) == 1

    run_virtual(main())
